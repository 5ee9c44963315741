import { expect } from "chai";
import { LINES_PER_SECOND, LogRateLimiter } from "./log_rate_limiter.ts";

/**
 * Number of lines allowed out of `count` that are spread evenly over one
 * second.
 */
function countAllowed(
  limiter: LogRateLimiter,
  count: number,
  isImportant: boolean,
): number {
  let written = 0;
  for (let line = 0; line < count; line += 1) {
    const now = (line * 1_000) / count;
    written += limiter.tryAcquire(isImportant, now) ? 1 : 0;
  }
  return written;
}

describe("log rate limiter", () => {
  it("allows all lines under normal load", () => {
    expect(countAllowed(new LogRateLimiter(), 100, false)).to.equal(100);
  });

  // Every call fails and is retried: the log must stay readable, and its cost
  // must not grow with the failures.
  it("limits the lines written in an outage", () => {
    const written = countAllowed(new LogRateLimiter(), 10_000, true);
    expect(written).to.be.at.most(400 + LINES_PER_SECOND);
  });

  it("omits successes before failures", () => {
    const limiter = new LogRateLimiter();
    expect(countAllowed(limiter, 5_000, false)).to.be.at.most(
      200 + LINES_PER_SECOND,
    );
    limiter.tryAcquire(false, 1_000);
    expect(limiter.tryAcquire(false, 1_000)).to.equal(false);
    expect(limiter.tryAcquire(true, 1_000)).to.equal(true);
  });

  it("reports the omitted lines once per second", () => {
    const limiter = new LogRateLimiter();
    const written = countAllowed(limiter, 10_000, true);
    expect(limiter.takeOmittedCount(1_000)).to.equal(10_000 - written);
    expect(limiter.takeOmittedCount(1_500)).to.equal(0);
    limiter.recordLostLine();
    expect(limiter.takeOmittedCount(1_900)).to.equal(0);
    expect(limiter.takeOmittedCount(2_000)).to.equal(1);
  });
});
