import { expect } from "chai";
import { StallDetector } from "./stall_detector.ts";
import type { IWatchedStream } from "./silence_limits.ts";

/** Milliseconds between two events of a full group. */
const GAP = 50;
/** Milliseconds between two checks. */
const CHECK = 20;

function stream(group: string, sentAt: number): IWatchedStream {
  return {
    group,
    model: "large",
    gapDuringPrefill: 100,
    longestGap: 250,
    prefillTime: 30,
    sentAt,
    lastEventAt: null,
  };
}

/** Records events every {@link GAP} on all streams, and checks in between. */
function run(
  detector: StallDetector,
  streams: readonly IWatchedStream[],
  times: { readonly from: number; readonly to: number },
): readonly string[] {
  const suspected: string[] = [];
  for (let now = times.from; now <= times.to; now += CHECK / 2) {
    if (now % GAP === 0) {
      streams.forEach((one) => detector.recordEvent(one, now));
    }
    if (now % CHECK === 0) {
      suspected.push(...detector.check(now).suspectedGroups);
    }
  }
  return suspected;
}

describe("StallDetector", () => {
  // Guards against callers that wait in vain in the middle of a response: a
  // member of a group dies, and its head keeps accepting calls and is silent
  // for five seconds.
  it("suspects a stalled group within some step times of its last event", () => {
    const detector = new StallDetector();
    const streams = [stream("one", 0), stream("one", 0)];
    streams.forEach((one) => detector.recordSend(one));
    expect(run(detector, streams, { from: 10, to: 1_000 })).to.deep.equal([]);
    const after = run(detector, [], { from: 1_010, to: 1_400 });
    expect(after).to.deep.equal(["one"]);
    expect(detector.isSuspected("one", 1_400)).to.equal(true);
    expect(detector.suspectedGroups(1_400)).to.deep.equal(["one"]);
  });

  // Guards against a retry for a request that waits for its turn while its
  // group serves the others, and against abandoning that healthy group.
  it("does not suspect a group for one stream that waits", () => {
    const detector = new StallDetector();
    const moving = [stream("one", 0), stream("one", 0)];
    const waiting = stream("one", 0);
    [...moving, waiting].forEach((one) => detector.recordSend(one));
    expect(run(detector, moving, { from: 10, to: 1_000 })).to.deep.equal([]);
  });

  // Guards against abandoning every group at once after this process was paused
  // for a second, by the machine or by its own work, and received nothing in
  // that time.
  it("does not count its own pause as silence of the groups", () => {
    const detector = new StallDetector();
    const streams = [stream("one", 0), stream("two", 0)];
    streams.forEach((one) => detector.recordSend(one));
    run(detector, streams, { from: 10, to: 500 });
    expect(detector.check(1_500).suspectedGroups).to.deep.equal([]);
    expect(detector.check(1_520).suspectedGroups).to.deep.equal([]);
  });

  it("clears a suspicion once an event arrives", () => {
    const detector = new StallDetector();
    const one = stream("one", 0);
    detector.recordSend(one);
    run(detector, [one], { from: 10, to: 100 });
    run(detector, [], { from: 110, to: 600 });
    expect(detector.isSuspected("one", 600)).to.equal(true);
    detector.recordEvent(one, 610);
    expect(detector.isSuspected("one", 610)).to.equal(false);
  });

  it("reports a suspicion once", () => {
    const detector = new StallDetector();
    const one = stream("one", 0);
    detector.recordSend(one);
    run(detector, [one], { from: 10, to: 100 });
    expect(run(detector, [], { from: 110, to: 1_500 })).to.deep.equal(["one"]);
  });

  // Guards against needless retries: a healthy group that prefills several long
  // prompts in one pass is silent for a quarter of a second. Retried elsewhere,
  // its streams would be prefilled again and be late.
  it("retries streams elsewhere only after the longest regular gap", () => {
    const detector = new StallDetector();
    const one = stream("one", 0);
    detector.recordSend(one);
    run(detector, [one], { from: 10, to: 1_000 });
    expect(detector.check(1_040).stalledStreams).to.deep.equal([]);
    expect(detector.check(1_110).suspectedGroups).to.deep.equal([]);
    for (let now = 1_120; now <= 1_480; now += CHECK) {
      expect(detector.check(now).stalledStreams, `at ${now}`).to.deep.equal([]);
    }
    expect(detector.isSuspected("one", 1_480)).to.equal(true);
    expect(detector.check(1_520).stalledStreams).to.deep.equal([one]);
  });

  // Guards against suspecting the groups of a slow model after every pass, by
  // the times of a fast model that has most of the calls.
  it("uses separate limits for each model", () => {
    const detector = new StallDetector();
    const quick = stream("quick", 0);
    const slow = { ...stream("slow", 0), model: "slow" };
    [quick, slow].forEach((one) => detector.recordSend(one));
    let suspected: readonly string[] = [];
    for (let now = 0; now <= 3_000; now += CHECK) {
      detector.recordEvent(quick, now);
      if (now % 240 === 0) {
        detector.recordEvent(slow, now);
      }
      suspected = detector.check(now).suspectedGroups;
    }
    expect(suspected).to.deep.equal([]);
    expect(detector.isSuspected("slow", 3_000)).to.equal(false);
  });
});
