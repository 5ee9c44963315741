import { expect } from "chai";
import fc from "fast-check";
import { RetryAllowance } from "./retry_allowance.ts";

const BOUNDS = { ratio: 0.2, window: 10_000, slack: 100 };

describe("the allowance of repeats", () => {
  // A domain goes dark and every call of every process is sent again. The
  // platform counts repeats over all processes in any ten seconds; past its
  // bound the targets that still live drown in repeats.
  it("keeps all processes together within the bound in every window", () => {
    const step = fc.record({
      process: fc.integer({ min: 0, max: 5 }),
      gap: fc.integer({ min: 0, max: 200 }),
      isRepeat: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 600 }), (steps) => {
        const processes = Array.from(
          { length: 6 },
          () => new RetryAllowance(BOUNDS),
        );
        const sent: { readonly at: number; readonly isRepeat: boolean }[] = [];
        let now = 0;
        for (const { process, gap, isRepeat } of steps) {
          now += gap;
          const allowance = processes[process];
          if (!isRepeat) {
            allowance?.recordFirstSend(now);
            sent.push({ at: now, isRepeat });
          } else if (allowance?.tryTake(now, 6)) {
            sent.push({ at: now, isRepeat });
          }
        }
        for (const { at } of sent) {
          const inWindow = sent.filter(
            (one) => one.at <= at && one.at > at - BOUNDS.window,
          );
          const repeats = inWindow.filter((one) => one.isRepeat).length;
          const first = inWindow.length - repeats;
          expect(repeats).to.be.at.most(first * 0.2 + 100);
        }
      }),
      { seed: 20261203, numRuns: 60 },
    );
  });

  it("gives a process its part of the slack before it has sent anything", () => {
    const allowance = new RetryAllowance(BOUNDS);
    const taken = Array.from({ length: 30 }, () => allowance.tryTake(0, 6));
    expect(taken.filter(Boolean)).to.have.length(14);
  });

  it("gives it anew once the window is over", () => {
    const allowance = new RetryAllowance({ ...BOUNDS, slack: 1.2 });
    expect(allowance.tryTake(0, 1)).to.equal(true);
    expect(allowance.tryTake(9_000, 1)).to.equal(false);
    expect(allowance.tryTake(10_001, 1)).to.equal(true);
  });
});
