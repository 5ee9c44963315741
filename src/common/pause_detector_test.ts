import { expect } from "chai";
import { PauseDetector } from "./pause_detector.ts";

describe("pause detector", () => {
  it("detects no pause while ticks arrive in time", () => {
    const pauses = new PauseDetector(400);
    for (let now = 100; now <= 1_000; now += 100) {
      pauses.tick(now);
    }
    expect(pauses.runningSince(1_300)).to.equal(100);
  });

  // Guards against a decision made after a pause and before the next tick.
  it("detects a pause before and after the next tick", () => {
    const pauses = new PauseDetector(400);
    pauses.tick(100);
    expect(pauses.runningSince(3_000)).to.equal(3_000);
    pauses.tick(3_010);
    expect(pauses.runningSince(3_200)).to.equal(3_010);
  });
});
