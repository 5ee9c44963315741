import { expect } from "chai";
import { LINES_PER_SECOND, LogRateLimiter } from "./log_rate_limiter.ts";

/** Lines let through of so many in one second, evenly spread. */
function play(
  budget: LogRateLimiter,
  count: number,
  isImportant: boolean,
): number {
  let written = 0;
  for (let line = 0; line < count; line += 1) {
    const now = (line * 1_000) / count;
    written += budget.tryAcquire(isImportant, now) ? 1 : 0;
  }
  return written;
}

describe("the budget of log lines", () => {
  it("lets the usual load through", () => {
    expect(play(new LogRateLimiter(), 100, false)).to.equal(100);
  });

  // Every call fails and is asked again. The log must stay readable, and its
  // cost must not grow with the trouble.
  it("bounds what an outage writes", () => {
    const written = play(new LogRateLimiter(), 10_000, true);
    expect(written).to.be.at.most(400 + LINES_PER_SECOND);
  });

  it("leaves out successes before failures", () => {
    const budget = new LogRateLimiter();
    expect(play(budget, 5_000, false)).to.be.at.most(200 + LINES_PER_SECOND);
    budget.tryAcquire(false, 1_000);
    expect(budget.tryAcquire(false, 1_000)).to.equal(false);
    expect(budget.tryAcquire(true, 1_000)).to.equal(true);
  });

  it("tells what was left out once a second", () => {
    const budget = new LogRateLimiter();
    const written = play(budget, 10_000, true);
    expect(budget.takeOmittedCount(1_000)).to.equal(10_000 - written);
    expect(budget.takeOmittedCount(1_500)).to.equal(0);
    budget.recordLostLine();
    expect(budget.takeOmittedCount(1_900)).to.equal(0);
    expect(budget.takeOmittedCount(2_000)).to.equal(1);
  });
});
