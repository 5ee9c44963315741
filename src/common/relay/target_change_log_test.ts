import { expect } from "chai";
import { listedEngine } from "../../../test/support/engines.ts";
import type { IListedTarget } from "../calls/types.ts";
import { TargetChangeLog } from "./target_change_log.ts";

/** A list that is changed and noted step by step. */
class NotedList {
  readonly log = new TargetChangeLog();
  readonly #all = new Map<string, IListedTarget>();
  #version = 0;

  whole(...ids: readonly string[]): void {
    this.#all.clear();
    ids.forEach((id) => this.#all.set(id, listedEngine(id)));
    this.#note(ids, true);
  }

  set(id: string, part: Partial<IListedTarget> = {}): void {
    this.#all.set(id, { ...listedEngine(id), ...part });
    this.#note([id], false);
  }

  remove(id: string): void {
    this.#all.delete(id);
    this.#note([id], false);
  }

  #note(ids: readonly string[], isWhole: boolean): void {
    this.#version += 1;
    this.log.record({ version: this.#version, isWhole, ids, all: this.#all });
  }
}

describe("the log of target changes", () => {
  // Each target writes its heartbeat to the list every second. Passed on, each
  // of them would wake every process of the deployment.
  it("keeps what changed and not what was only written again", () => {
    const list = new NotedList();
    list.whole("a", "b");
    list.set("a");
    expect(list.log.changedVersion).to.equal(1);
    list.set("b", { address: "10.0.0.9:1" });
    expect(list.log.changedVersion).to.equal(3);
    const changes = list.log.changesSince(1);
    expect(changes?.targets.map(({ id }) => id)).to.deep.equal(["b"]);
    expect(list.log.changesSince(3)).to.deep.equal({
      targets: [],
      removed: [],
    });
  });

  it("names what is gone", () => {
    const list = new NotedList();
    list.whole("a", "b");
    list.remove("a");
    expect(list.log.changesSince(1)?.removed).to.deep.equal(["a"]);
  });

  // The holder's link to the store was cut, and it has read the whole list
  // anew. What went on meanwhile it cannot tell; a process that took its
  // silence for calm would keep a target that has left.
  it("admits what it does not know", () => {
    const list = new NotedList();
    list.whole("a");
    list.set("b");
    list.whole("b");
    expect(list.log.changesSince(2)).to.equal(null);
    expect(list.log.changesSince(3)).to.deep.equal({
      targets: [],
      removed: [],
    });
  });
});
