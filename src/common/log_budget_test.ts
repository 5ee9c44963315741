import { expect } from "chai";
import { LINES_A_SECOND, LogBudget } from "./log_budget.ts";

/** Lines let through of so many in one second, evenly spread. */
function play(budget: LogBudget, count: number, isImportant: boolean): number {
  let written = 0;
  for (let line = 0; line < count; line += 1) {
    const now = (line * 1_000) / count;
    written += budget.take(isImportant, now) ? 1 : 0;
  }
  return written;
}

describe("the budget of log lines", () => {
  it("lets the usual load through", () => {
    expect(play(new LogBudget(), 100, false)).to.equal(100);
  });

  // Every call fails and is asked again. The log must stay readable, and its
  // cost must not grow with the trouble.
  it("bounds what an outage writes", () => {
    const written = play(new LogBudget(), 10_000, true);
    expect(written).to.be.at.most(400 + LINES_A_SECOND);
  });

  it("leaves out successes before failures", () => {
    const budget = new LogBudget();
    expect(play(budget, 5_000, false)).to.be.at.most(200 + LINES_A_SECOND);
    budget.take(false, 1_000);
    expect(budget.take(false, 1_000)).to.equal(false);
    expect(budget.take(true, 1_000)).to.equal(true);
  });

  it("tells what was left out once a second", () => {
    const budget = new LogBudget();
    const written = play(budget, 10_000, true);
    expect(budget.takeLeftOut(1_000)).to.equal(10_000 - written);
    expect(budget.takeLeftOut(1_500)).to.equal(0);
    budget.lost();
    expect(budget.takeLeftOut(1_900)).to.equal(0);
    expect(budget.takeLeftOut(2_000)).to.equal(1);
  });
});
