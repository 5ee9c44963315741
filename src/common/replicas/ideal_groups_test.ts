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

describe("the number of groups of each model", () => {
  // Groups of two form of whatever is free, groups of four only where four
  // are free together. Without an aim the small model takes instance after
  // instance, and the large one queues beside idle groups.
  it("loads all models alike", () => {
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

  it("goes by the shares while nothing is asked", () => {
    const groups = idealGroupCounts([LARGE, SMALL], new Map(), 12);
    expect(groups.get("large")).to.be.closeTo(2, 0.001);
    expect(groups.get("small")).to.be.closeTo(2, 0.001);
  });
});
