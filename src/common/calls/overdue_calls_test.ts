import { expect } from "chai";
import { OverdueCalls } from "./overdue_calls.ts";
import type { IOverdueCall } from "./overdue_calls.ts";

const PATIENCE = 2_000;
const FIRST_EVENT = 150;

function callAt(arrivedAt: number): IOverdueCall {
  return { arrivedAt, leavesAt: arrivedAt + PATIENCE };
}

describe("overdue calls", () => {
  // An overload that lasts: nothing is left for calls that are late already.
  // Kept waiting, their callers would leave without an answer two seconds on;
  // told at once, they come back when there is room.
  it("are given up soon when none of them is started", () => {
    const overdue = new OverdueCalls();
    const waiting = [0, 10, 20, 30, 40].map(callAt);
    const hopeless = (now: number) =>
      overdue.findHopeless(waiting, () => FIRST_EVENT, now);
    expect(hopeless(300)).to.have.length(0);
    expect(hopeless(1_000)).to.have.length(0);
    expect(hopeless(1_300).map(({ arrivedAt }) => arrivedAt)).to.deep.equal([
      10, 20, 30, 40,
    ]);
  });

  // A burst that is over: the rest of it is worked off beside new calls.
  it("are kept while they are started in time", () => {
    const overdue = new OverdueCalls();
    const waiting = Array.from({ length: 20 }, (_, index) => callAt(index));
    overdue.findHopeless(waiting, () => FIRST_EVENT, 300);
    for (let now = 300; now < 800; now += 50) {
      overdue.recordStart(now);
      waiting.shift();
    }
    const hopeless = overdue.findHopeless(waiting, () => FIRST_EVENT, 800);
    expect(hopeless).to.have.length(0);
  });

  it("are given up once their callers have left", () => {
    const overdue = new OverdueCalls();
    const hopeless = overdue.findHopeless(
      [callAt(0)],
      () => FIRST_EVENT,
      1_900,
    );
    expect(hopeless).to.have.length(1);
  });
});
