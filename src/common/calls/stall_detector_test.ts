import { expect } from "chai";
import { StallDetector } from "./stall_detector.ts";
import type { IWatchedStream } from "./silence_limits.ts";

/** Milliseconds between two events of a full group, and of the model's limit. */
const GAP = 50;
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

/** Plays events every {@link GAP} on all streams, and checks in between. */
function play(
  watch: StallDetector,
  streams: readonly IWatchedStream[],
  times: { readonly from: number; readonly to: number },
): readonly string[] {
  const suspected: string[] = [];
  for (let now = times.from; now <= times.to; now += CHECK / 2) {
    if (now % GAP === 0) {
      streams.forEach((one) => watch.recordEvent(one, now));
    }
    if (now % CHECK === 0) {
      suspected.push(...watch.check(now).suspectedGroups);
    }
  }
  return suspected;
}

describe("noticing a group that stands still", () => {
  // A member of a group dies. Its head goes on accepting and says nothing for
  // five seconds, so callers in the middle of an answer wait for nothing.
  it("suspects it within some step times of its last event", () => {
    const watch = new StallDetector();
    const streams = [stream("one", 0), stream("one", 0)];
    streams.forEach((one) => watch.recordSend(one));
    expect(play(watch, streams, { from: 10, to: 1_000 })).to.deep.equal([]);
    const after = play(watch, [], { from: 1_010, to: 1_400 });
    expect(after).to.deep.equal(["one"]);
    expect(watch.isSuspected("one", 1_400)).to.equal(true);
    expect(watch.suspectedGroups(1_400)).to.deep.equal(["one"]);
  });

  // One request waits for its turn while its group serves the others. Taking
  // it elsewhere would cost a repeat, and taking all would break a good group.
  it("does not suspect a group for one stream that waits", () => {
    const watch = new StallDetector();
    const moving = [stream("one", 0), stream("one", 0)];
    const waiting = stream("one", 0);
    [...moving, waiting].forEach((one) => watch.recordSend(one));
    expect(play(watch, moving, { from: 10, to: 1_000 })).to.deep.equal([]);
  });

  // This process is paused for a second, by the machine or by its own work.
  // Nothing was heard in that time, but that was not the groups' fault; were
  // it counted, every group would be given up at once.
  it("does not take its own pause for the groups' silence", () => {
    const watch = new StallDetector();
    const streams = [stream("one", 0), stream("two", 0)];
    streams.forEach((one) => watch.recordSend(one));
    play(watch, streams, { from: 10, to: 500 });
    expect(watch.check(1_500).suspectedGroups).to.deep.equal([]);
    expect(watch.check(1_520).suspectedGroups).to.deep.equal([]);
  });

  it("trusts a group again once an event comes", () => {
    const watch = new StallDetector();
    const one = stream("one", 0);
    watch.recordSend(one);
    play(watch, [one], { from: 10, to: 100 });
    play(watch, [], { from: 110, to: 600 });
    expect(watch.isSuspected("one", 600)).to.equal(true);
    watch.recordEvent(one, 610);
    expect(watch.isSuspected("one", 610)).to.equal(false);
  });

  it("reports a suspicion once", () => {
    const watch = new StallDetector();
    const one = stream("one", 0);
    watch.recordSend(one);
    play(watch, [one], { from: 10, to: 100 });
    expect(play(watch, [], { from: 110, to: 1_500 })).to.deep.equal(["one"]);
  });

  // Several long prompts are read in one pass, and a group in order says
  // nothing for a quarter of a second. Its streams would be taken elsewhere,
  // their prompts read again there, and they would be late for nothing.
  it("takes streams elsewhere only after the longest regular gap", () => {
    const watch = new StallDetector();
    const one = stream("one", 0);
    watch.recordSend(one);
    play(watch, [one], { from: 10, to: 1_000 });
    expect(watch.check(1_040).stalledStreams).to.deep.equal([]);
    expect(watch.check(1_110).suspectedGroups).to.deep.equal([]);
    for (let now = 1_120; now <= 1_480; now += CHECK) {
      expect(watch.check(now).stalledStreams, `at ${now}`).to.deep.equal([]);
    }
    expect(watch.isSuspected("one", 1_480)).to.equal(true);
    expect(watch.check(1_520).stalledStreams).to.deep.equal([one]);
  });

  // A quick model has most of the calls. Judged by its times, every pass of a
  // slow one would be a silence.
  it("judges each model by its own times", () => {
    const watch = new StallDetector();
    const quick = stream("quick", 0);
    const slow = { ...stream("slow", 0), model: "slow" };
    [quick, slow].forEach((one) => watch.recordSend(one));
    let suspects: readonly string[] = [];
    for (let now = 0; now <= 3_000; now += CHECK) {
      watch.recordEvent(quick, now);
      if (now % 240 === 0) {
        watch.recordEvent(slow, now);
      }
      suspects = watch.check(now).suspectedGroups;
    }
    expect(suspects).to.deep.equal([]);
    expect(watch.isSuspected("slow", 3_000)).to.equal(false);
  });
});
