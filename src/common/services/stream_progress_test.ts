import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { CallFailureKind } from "../types.ts";
import { StreamProgress } from "./stream_progress.ts";
import type { ICallerRequest } from "./types.ts";

const BROKEN = { kind: CallFailureKind.Unknown, detail: "other side closed" };

/** The effort for a request that has a minute. */
function startEffort(clock: ManualClock): StreamProgress {
  const request = {
    resumeFrom: 0,
    deadline: 60_000,
    signal: new AbortController().signal,
  } as ICallerRequest;
  return new StreamProgress(request, clock);
}

describe("the effort for one stream", () => {
  // Guards against a half-read answer given up because its groups broke off
  // often, although each of them had gone on with it.
  it("goes on as long as each attempt brings the stream further", () => {
    using effort = startEffort(new ManualClock());
    for (let sequence = 0; sequence < 20; sequence += 1) {
      effort.recordTokens([{ sequence, text: "word", isEnd: false }]);
      effort.recordFailure("group-1", BROKEN);
      expect(effort.mayAttempt).to.equal(true);
    }
    expect(effort.position).to.equal(20);
  });

  it("ends when attempts in a row bring nothing", () => {
    using effort = startEffort(new ManualClock());
    effort.recordTokens([{ sequence: 0, text: "word", isEnd: false }]);
    for (let attempt = 0; attempt < 6; attempt += 1) {
      expect(effort.mayAttempt).to.equal(true);
      effort.recordFailure("group-1", BROKEN);
    }
    expect(effort.mayAttempt).to.equal(false);
  });

  it("ends at the deadline", () => {
    const clock = new ManualClock();
    using effort = startEffort(clock);
    effort.recordTokens([{ sequence: 0, text: "word", isEnd: false }]);
    clock.advance(60_001);
    expect(effort.mayAttempt).to.equal(false);
    expect(effort.isDeadlinePassed).to.equal(true);
  });
});
