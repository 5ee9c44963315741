import { expect } from "chai";
import { Err, Ok } from "ts-results-es";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { CallFailureKind } from "../types.ts";
import { CallRace } from "./call_race.ts";
import type { AttemptResult } from "./call_race.ts";

const TIMEOUT = 2_000;

/** An attempt whose result the test gives. */
class TestAttempt {
  signal: AbortSignal | null = null;
  resolve: (result: AttemptResult) => void = () => undefined;

  readonly run = (signal: AbortSignal): Promise<AttemptResult> => {
    this.signal = signal;
    return new Promise((resolve) => {
      this.resolve = resolve;
    });
  };
}

function failure(kind: CallFailureKind): AttemptResult {
  return Err({ kind, detail: "" });
}

function start(race: CallRace): TestAttempt {
  const attempt = new TestAttempt();
  race.start(attempt.run);
  return attempt;
}

describe("attempts beside each other", () => {
  // Guards against a silent attempt that is given up before another answers.
  it("go on after a timeout, and the first answer is used", async () => {
    const clock = new ManualClock();
    using race = new CallRace(clock, new AbortController().signal);
    const first = start(race);
    const waiting = race.next(TIMEOUT);
    clock.advance(TIMEOUT);
    expect(await waiting).to.equal(null);
    expect(first.signal?.aborted).to.equal(false);
    const second = start(race);
    first.resolve(Ok("late"));
    second.resolve(failure(CallFailureKind.Unknown));
    expect(await race.next(TIMEOUT)).to.deep.equal(Ok("late"));
  });

  // Guards against an answer that is left behind another attempt's failure.
  it("have further results until all are taken", async () => {
    const clock = new ManualClock();
    using race = new CallRace(clock, new AbortController().signal);
    const attempts = [start(race), start(race)];
    attempts[0]?.resolve(failure(CallFailureKind.NotSent));
    attempts[1]?.resolve(Ok("answer"));
    await Promise.resolve();
    expect((await race.next(TIMEOUT))?.isErr()).to.equal(true);
    expect(race.hasNext).to.equal(true);
    expect(await race.next(TIMEOUT)).to.deep.equal(Ok("answer"));
    expect(race.hasNext).to.equal(false);
  });

  // Guards against a caller that is told "not run" while a target runs the call.
  it("may have run while one is pending or ended unknown", async () => {
    const clock = new ManualClock();
    using race = new CallRace(clock, new AbortController().signal);
    const attempt = start(race);
    expect(race.mayHaveRun).to.equal(true);
    attempt.resolve(failure(CallFailureKind.NotSent));
    await race.next(TIMEOUT);
    expect(race.mayHaveRun).to.equal(false);
    start(race).resolve(failure(CallFailureKind.Unknown));
    await race.next(TIMEOUT);
    expect(race.mayHaveRun).to.equal(true);
  });

  // Guards against targets that work on for a call that is over.
  it("are aborted when the caller leaves, and at the end", () => {
    const clock = new ManualClock();
    const caller = new AbortController();
    const left = start(new CallRace(clock, caller.signal));
    caller.abort();
    expect(left.signal?.aborted).to.equal(true);
    const race = new CallRace(clock, new AbortController().signal);
    const over = start(race);
    race[Symbol.dispose]();
    expect(over.signal?.aborted).to.equal(true);
  });

  // Guards against a fault of one call that ends the process.
  it("fail with a fault that nothing else takes", async () => {
    using race = new CallRace(new ManualClock(), new AbortController().signal);
    race.start(() => Promise.reject(new RangeError("too deep")));
    const result = await race.next(TIMEOUT);
    expect(result?.isErr() && result.error).to.include({
      kind: CallFailureKind.Unknown,
      detail: "RangeError: too deep",
    });
  });
});
