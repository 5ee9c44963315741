import { expect } from "chai";
import { listedEngine } from "../../../test/support/engine_fixtures.ts";
import type { IListedTarget } from "../calls/types.ts";
import { TargetChangeLog } from "./target_change_log.ts";

/** A target list whose changes are recorded step by step. */
class RecordedList {
  readonly log = new TargetChangeLog();
  readonly #all = new Map<string, IListedTarget>();
  #version = 0;

  replaceAll(...ids: readonly string[]): void {
    this.#all.clear();
    ids.forEach((id) => this.#all.set(id, listedEngine(id)));
    this.#record(ids, true);
  }

  set(id: string, part: Partial<IListedTarget> = {}): void {
    this.#all.set(id, { ...listedEngine(id), ...part });
    this.#record([id], false);
  }

  remove(id: string): void {
    this.#all.delete(id);
    this.#record([id], false);
  }

  #record(ids: readonly string[], isFullList: boolean): void {
    this.#version += 1;
    this.log.record({
      version: this.#version,
      isFullList,
      ids,
      all: this.#all,
      timeLeft: () => null,
    });
  }
}

describe("TargetChangeLog", () => {
  // Guards against waking every process of the deployment with the heartbeat
  // that each target writes to the list every second.
  it("records changed targets, not those written again unchanged", () => {
    const list = new RecordedList();
    list.replaceAll("a", "b");
    list.set("a");
    expect(list.log.changedVersion).to.equal(1);
    list.set("b", { address: "10.0.0.9:1" });
    expect(list.log.changedVersion).to.equal(3);
    const changes = list.log.changesSince(1);
    expect(changes?.targets.map(({ id }) => id)).to.deep.equal(["b"]);
    expect(list.log.changesSince(3)).to.deep.equal({
      targets: [],
      removed: [],
      expiring: {},
    });
  });

  it("names removed targets", () => {
    const list = new RecordedList();
    list.replaceAll("a", "b");
    list.remove("a");
    expect(list.log.changesSince(1)?.removed).to.deep.equal(["a"]);
  });

  // Guards against keeping a target that has left: the holder was cut off from
  // the store and read the whole list again, so the changes in between are
  // unknown.
  it("returns null for changes that it does not know", () => {
    const list = new RecordedList();
    list.replaceAll("a");
    list.set("b");
    list.replaceAll("b");
    expect(list.log.changesSince(2)).to.equal(null);
    expect(list.log.changesSince(3)).to.deep.equal({
      targets: [],
      removed: [],
      expiring: {},
    });
  });
});
