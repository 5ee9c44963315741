import { expect } from "chai";
import { PlainTargetSelector } from "./plain_target_selector.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

function target(id: string, zone: string): IListedTarget {
  return {
    id,
    startedAt: 0,
    service: "orders",
    address: "10.0.0.1:80",
    zone,
    slots: 6,
    state: ListedState.Ready,
    engine: { staged: [], model: null, membership: null, domain: "" },
  };
}

const THREE = [target("a", "one"), target("b", "two"), target("c", "three")];

function choose(
  targets: PlainTargetSelector,
  now: number,
  excluded: readonly string[] = [],
): string | null {
  const options = { zone: "one", excluded: new Set(excluded), now };
  return targets.choose(THREE, options)?.id ?? null;
}

describe("PlainTargetSelector", () => {
  it("prefers its own zone until that target is busier", () => {
    const targets = new PlainTargetSelector();
    expect(choose(targets, 0)).to.equal("a");
    targets.recordSend("a");
    targets.recordSend("a");
    expect(choose(targets, 0)).to.equal("b");
  });

  // Guards against a third of all calls waiting for their deadline because one
  // of three targets stops responding while it looks healthy.
  it("ejects a silent target for longer each time", () => {
    const targets = new PlainTargetSelector();
    targets.recordNoResponse("a", 0);
    expect(choose(targets, 400)).to.equal("b");
    expect(choose(targets, 600)).to.equal("a");
    targets.recordNoResponse("a", 600);
    expect(choose(targets, 1_500)).to.equal("b");
    expect(choose(targets, 1_700)).to.equal("a");
  });

  // Guards against refusals that outlast a failure of this process's link,
  // during which all targets look silent.
  it("keeps using targets when all are silent", () => {
    const targets = new PlainTargetSelector();
    THREE.forEach(({ id }) => targets.recordNoResponse(id, 0));
    expect(choose(targets, 100)).to.not.equal(null);
  });

  // Guards against ejecting healthy targets, which also fail single calls.
  it("does not eject a target for single failures", () => {
    const targets = new PlainTargetSelector();
    for (let call = 0; call < 3; call += 1) {
      targets.recordFailure("a", 0);
    }
    expect(choose(targets, 0)).to.equal("a");
    targets.recordFailure("a", 0);
    expect(choose(targets, 0)).to.equal("b");
  });

  it("never chooses a target that the call was already sent to", () => {
    const targets = new PlainTargetSelector();
    expect(choose(targets, 0, ["a", "b", "c"])).to.equal(null);
    expect(choose(targets, 0, ["a"])).to.equal("b");
  });
});
