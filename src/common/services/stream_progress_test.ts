import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { CallFailureKind } from "../types.ts";
import { StreamProgress } from "./stream_progress.ts";
import type { ICallerRequest } from "./types.ts";

const BROKEN = { kind: CallFailureKind.Unknown, detail: "other side closed" };

/** Starts the progress of a request whose deadline is in one minute. */
function startProgress(clock: ManualClock): StreamProgress {
  const request = {
    resumeFrom: 0,
    deadline: 60_000,
    signal: new AbortController().signal,
  } as ICallerRequest;
  return new StreamProgress(request, clock);
}

describe("StreamProgress", () => {
  // Guards against failing a partly read answer because of many interrupted
  // attempts, although each of them yielded tokens.
  it("allows attempts as long as each yields a token", () => {
    using progress = startProgress(new ManualClock());
    for (let sequence = 0; sequence < 20; sequence += 1) {
      progress.recordTokens([{ sequence, text: "word", isEnd: false }]);
      progress.recordFailure("group-1", BROKEN);
      expect(progress.mayAttempt).to.equal(true);
    }
    expect(progress.position).to.equal(20);
  });

  // Guards against retrying for ever on groups that yield nothing.
  it("stops after consecutive attempts without a token", () => {
    using progress = startProgress(new ManualClock());
    progress.recordTokens([{ sequence: 0, text: "word", isEnd: false }]);
    for (let attempt = 0; attempt < 6; attempt += 1) {
      expect(progress.mayAttempt).to.equal(true);
      progress.recordFailure("group-1", BROKEN);
    }
    expect(progress.mayAttempt).to.equal(false);
  });

  // Guards against attempts after the caller's deadline.
  it("stops at the deadline", () => {
    const clock = new ManualClock();
    using progress = startProgress(clock);
    progress.recordTokens([{ sequence: 0, text: "word", isEnd: false }]);
    clock.advance(60_001);
    expect(progress.mayAttempt).to.equal(false);
    expect(progress.isDeadlinePassed).to.equal(true);
  });
});
