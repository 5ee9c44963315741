import { expect } from "chai";
import { idealGroupCounts } from "./ideal_groups.ts";

const LARGE = {
  name: "large",
  size: 4,
  share: 0.5,
  pace: 1,
  loadTime: 16_000,
  warmTime: 1_600,
};
const SMALL = { ...LARGE, name: "small", size: 2, pace: 0.6 };

describe("idealGroupCounts", () => {
  // Guards against queues for the large model beside idle groups of the small
  // one: groups of two form of any free instances, groups of four only where
  // four are free together.
  it("gives all models the same load per slot", () => {
    const demand = new Map([
      ["large", 3.7],
      ["small", 7.7],
    ]);
    const groups = idealGroupCounts([LARGE, SMALL], demand, 42);
    const large = groups.get("large") ?? 0;
    const small = groups.get("small") ?? 0;
    expect(large * 4 + small * 2).to.be.closeTo(42, 0.001);
    expect(large / 3.8).to.be.closeTo(small / 7.8, 0.001);
  });

  it("uses the shares while there is no demand", () => {
    const groups = idealGroupCounts([LARGE, SMALL], new Map(), 12);
    expect(groups.get("large")).to.be.closeTo(2, 0.001);
    expect(groups.get("small")).to.be.closeTo(2, 0.001);
  });
});
