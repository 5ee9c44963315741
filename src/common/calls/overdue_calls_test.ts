import { expect } from "chai";
import { OverdueCalls } from "./overdue_calls.ts";
import type { IOverdueCall } from "./overdue_calls.ts";

/** How long a caller waits for its first event, milliseconds. */
const PATIENCE = 2_000;
/** Time from a call's start to its first event, milliseconds. */
const FIRST_EVENT = 150;

function callAt(arrivedAt: number): IOverdueCall {
  return { arrivedAt, leavesAt: arrivedAt + PATIENCE };
}

describe("overdue calls", () => {
  // Guards against overdue calls kept waiting in a lasting overload that leaves
  // no capacity for them. Their callers would leave without a response after
  // two seconds; refused at once, they return when there is capacity.
  it("are refused soon when none of them is started", () => {
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

  // Guards against needless refusals after a burst: its remaining calls are
  // started in time beside new ones.
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

  it("are refused when their callers would leave first", () => {
    const overdue = new OverdueCalls();
    const hopeless = overdue.findHopeless(
      [callAt(0)],
      () => FIRST_EVENT,
      1_900,
    );
    expect(hopeless).to.have.length(1);
  });
});
