import { expect } from "chai";
import fc from "fast-check";
import { RetryAllowance } from "./retry_allowance.ts";

const BOUNDS = { ratio: 0.2, window: 10_000, slack: 100 };

describe("RetryAllowance", () => {
  // Guards against retries that overload the remaining targets when a domain
  // fails and every process retries every call. The platform bounds the retries
  // of all processes together in any ten seconds.
  it("keeps all processes together within the bound in every window", () => {
    const step = fc.record({
      process: fc.integer({ min: 0, max: 5 }),
      gap: fc.integer({ min: 0, max: 200 }),
      isRetry: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 600 }), (steps) => {
        const processes = Array.from(
          { length: 6 },
          () => new RetryAllowance(BOUNDS),
        );
        const sent: { readonly at: number; readonly isRetry: boolean }[] = [];
        let now = 0;
        for (const { process, gap, isRetry } of steps) {
          now += gap;
          const allowance = processes[process];
          if (!isRetry) {
            allowance?.recordFirstSend(now);
            sent.push({ at: now, isRetry });
          } else if (allowance?.tryTake(now, 6)) {
            sent.push({ at: now, isRetry });
          }
        }
        for (const { at } of sent) {
          const inWindow = sent.filter(
            (one) => one.at <= at && one.at > at - BOUNDS.window,
          );
          const retries = inWindow.filter((one) => one.isRetry).length;
          const first = inWindow.length - retries;
          expect(retries).to.be.at.most(first * 0.2 + 100);
        }
      }),
      { seed: 20261203, numRuns: 60 },
    );
  });

  it("grants a process its share of the slack before its first send", () => {
    const allowance = new RetryAllowance(BOUNDS);
    const taken = Array.from({ length: 30 }, () => allowance.tryTake(0, 6));
    expect(taken.filter(Boolean)).to.have.length(14);
  });

  it("grants the slack again once the window is over", () => {
    const allowance = new RetryAllowance({ ...BOUNDS, slack: 1.2 });
    expect(allowance.tryTake(0, 1)).to.equal(true);
    expect(allowance.tryTake(9_000, 1)).to.equal(false);
    expect(allowance.tryTake(10_001, 1)).to.equal(true);
  });
});
