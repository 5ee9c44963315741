import { expect } from "chai";
import { routeOf } from "../../../test/support/calls.ts";
import type { KeptReply } from "../../../test/support/calls.ts";
import {
  group,
  HEAD,
  ModelCallsPlay as Play,
} from "../../../test/support/model_calls_play.ts";
import { CallRefusalKind, CallRefusalReason, SendFailure } from "./types.ts";

/** A stream with one event, whose group is then given up; returns its reply. */
function beginAndLoseGroup(play: Play): KeptReply {
  const { reply } = play.take();
  const group = play.send(0).target.replace("head-", "");
  play.send(0).options.receiver.onHead(HEAD);
  play.event(0, 1);
  play.calls.handleGroupsChanged([group]);
  return reply;
}

describe("model calls", () => {
  it("passes events on as they come, and the end", () => {
    const play = new Play(["a"]);
    const { reply } = play.take();
    play.send(0).options.receiver.onHead(HEAD);
    play.event(0, 1);
    expect(reply.text).to.equal("id: 1\ndata: x\n\n");
    play.send(0).options.receiver.onEnd();
    expect(reply.isEnded).to.equal(true);
  });

  // The group loses a member in the middle of an answer. The caller should
  // read on without a gap, and without the same words twice.
  it("goes on elsewhere after the caller's last event", () => {
    const play = new Play(["a", "b"]);
    const { reply } = play.take();
    const first = play.send(0);
    first.options.receiver.onHead(HEAD);
    play.event(0, 1);
    play.event(0, 2);
    play.clock.advance(1_000);
    expect(first.isAborted).to.equal(true);
    const second = play.send(1);
    expect(second.target).to.not.equal(first.target);
    expect(second.options.lastEventId).to.equal("2");
    second.options.receiver.onHead(HEAD);
    play.event(1, 2);
    play.event(1, 3);
    second.options.receiver.onEnd();
    expect(reply.text.match(/id: \d/g)).to.deep.equal([
      "id: 1",
      "id: 2",
      "id: 3",
    ]);
    expect(reply.isEnded).to.equal(true);
  });

  it("leaves a group that the lease holder gives up at once", () => {
    const play = new Play(["a", "b"]);
    play.take();
    const lost = play.send(0).target.replace("head-", "");
    play.groups.replace(["a", "b"].filter((one) => one !== lost).map(group));
    play.calls.handleGroupsChanged([lost]);
    expect(play.send(0).isAborted).to.equal(true);
    expect(play.sends).to.have.length(2);
  });

  // A stream that may not be resumed has begun and breaks. Ending it like a
  // whole one would give the caller half an answer that looks complete.
  it("resets the caller's connection when it cannot go on", () => {
    const play = new Play(["a", "b"]);
    const { reply } = play.take({ route: routeOf({ isResumable: false }) });
    play.send(0).options.receiver.onHead(HEAD);
    play.event(0, 1);
    play.send(0).options.receiver.onFailure(SendFailure.Broken, "reset");
    expect(reply.isBroken).to.equal(true);
    expect(reply.isEnded).to.equal(false);
    expect(play.sends).to.have.length(1);
  });

  it("says not run only where no target can have begun", () => {
    const play = new Play(["a"]);
    const route = routeOf({ isResumable: false });
    const refused = play.take({ route });
    const { receiver } = play.send(0).options;
    receiver.onHead({ ...HEAD, status: 503, isNotRun: true });
    receiver.onEnd();
    play.clock.advance(9_000);
    expect(refused.reply.refusal?.kind).to.equal(CallRefusalKind.NotRun);
    const broken = play.take({ route });
    play
      .send(play.sends.length - 1)
      .options.receiver.onFailure(SendFailure.Broken, "reset");
    expect(broken.reply.refusal?.kind).to.equal(CallRefusalKind.TargetFailed);
  });

  // All groups of a model are down. A call held until its deadline keeps its
  // caller from asking again when they are back.
  it("refuses soon while a model has no group", () => {
    const play = new Play([]);
    const { reply } = play.take();
    play.clock.advance(1_500);
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.NotRun);
    expect(reply.refusal?.reason).to.equal(CallRefusalReason.Hopeless);
    expect(reply.refusal?.retryAfter).to.be.greaterThan(0);
  });

  it("gives up its send when the caller leaves", () => {
    const play = new Play(["a"]);
    const { leave } = play.take();
    leave();
    expect(play.send(0).isAborted).to.equal(true);
    expect(play.groups.ownInFlight.size).to.equal(0);
  });

  it("answers at the deadline whatever the target does", () => {
    const play = new Play(["a"]);
    const route = routeOf({ isResumable: false });
    const { reply } = play.take({ deadline: 800, route });
    play.clock.advance(801);
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.TimedOut);
  });

  // A burst: more calls than places. The rest waits here, in order, and goes
  // to whichever group has a place first.
  it("sends no more than a group has slots, and the rest as places come", () => {
    const play = new Play(["a"]);
    const calls = [1, 2, 3].map((id) => play.take({ id: `attempt-${id}` }));
    expect(play.sends).to.have.length(2);
    calls[0]?.leave();
    expect(play.sends).to.have.length(3);
  });

  // An outage makes every call fail at once. Past the allowance a call ends,
  // so that repeats do not outgrow what is left to serve them.
  it("does not send once more without an allowance", () => {
    const play = new Play(["a", "b"], 0);
    const { reply } = play.take();
    play.send(0).options.receiver.onFailure(SendFailure.Broken, "reset");
    expect(play.sends).to.have.length(1);
    expect(reply.refusal?.reason).to.equal(CallRefusalReason.TargetLost);
  });

  // Engines turn slow for some seconds, and there are not repeats enough to
  // take all their streams elsewhere. A stream that is broken off for want of
  // one ends in an error, where its caller would have got it whole but late.
  it("leaves a slow stream where it is without an allowance", () => {
    const play = new Play(["a", "b"], 0);
    const { reply } = play.take();
    play.send(0).options.receiver.onHead(HEAD);
    play.event(0, 1);
    play.clock.advance(900);
    expect(play.send(0).isAborted).to.equal(false);
    play.event(0, 2);
    play.send(0).options.receiver.onEnd();
    expect(reply.isEnded).to.equal(true);
  });

  // Guards against half-read answers cut for a group's loss while its head still
  // answers.
  it("lets a stream that moves end in a lost group when it cannot go on", () => {
    const play = new Play(["a", "b"], 0);
    const reply = beginAndLoseGroup(play);
    for (let id = 2; id <= 5; id += 1) {
      play.clock.advance(40);
      play.event(0, id);
    }
    expect(reply.isBroken).to.equal(false);
    play.send(0).options.receiver.onEnd();
    expect(reply.isEnded).to.equal(true);
  });

  // Guards against callers held until the bound on silences although nothing
  // more can come from their group.
  it("ends a silent stream of a lost group soon when it cannot go on", () => {
    const play = new Play(["a", "b"], 0);
    const reply = beginAndLoseGroup(play);
    play.clock.advance(1_000);
    expect(reply.isBroken).to.equal(true);
  });

  // The links to another zone are cut: connections do not come about, and the
  // call has reached nobody. Counted as repeats, some dozen of them would use
  // up the allowance that broken streams need.
  it("takes no repeat for a call that has reached no target", () => {
    const play = new Play(["a", "b"], 0);
    play.take();
    play
      .send(0)
      .options.receiver.onFailure(SendFailure.NotSent, "no connection");
    expect(play.sends).to.have.length(2);
  });

  // A burst is over, but its queue is not. In order of arrival each new call
  // waits behind it and is late as well, for as long as the queue stands.
  it("starts calls that can be on time before those that cannot", () => {
    const play = new Play(["a"]);
    const first = play.take({ id: "first" });
    play.take({ id: "second" });
    [0, 1].forEach((index) => play.send(index).options.receiver.onHead(HEAD));
    const late = [1, 2].map((id) => play.take({ id: `late-${id}` }));
    for (let id = 1; id <= 5; id += 1) {
      play.clock.advance(90);
      play.event(0, id);
      play.event(1, id);
    }
    const prompt = play.take({ id: "prompt" });
    first.leave();
    expect(play.sends).to.have.length(3);
    const [waiting] = late;
    expect(waiting?.reply.refusal).to.equal(null);
    play.send(2).options.receiver.onHead(HEAD);
    play.event(2, 1);
    expect(prompt.reply.isStarted).to.equal(true);
  });

  // Groups that are only slow say nothing for a while, and a call is taken from
  // one to the next. Each may have begun to run it all the same: past the
  // route's attempts its caller pays for work that nobody reads.
  it("counts a group left silent as one that may have run the call", () => {
    const play = new Play(["a", "b", "c"]);
    play.take();
    play.clock.advance(1_900);
    expect(play.sends).to.have.length(2);
    play.groups.replace(["b", "c"].map(group));
    const first = play.send(0).target.replace("head-", "");
    play.calls.handleGroupsChanged([first]);
    play.clock.advance(1_900);
    expect(play.sends).to.have.length(3);
  });

  // Guards against a call that runs on more targets than its route allows
  // because each that it was resumed at answered with a failure.
  it("counts a failure on resuming as an attempt", () => {
    const play = new Play(["a", "b", "c"]);
    const { reply } = play.take();
    play.send(0).options.receiver.onHead(HEAD);
    play.event(0, 1);
    play.send(0).options.receiver.onFailure(SendFailure.Broken, "reset");
    const { receiver } = play.send(1).options;
    receiver.onHead({ ...HEAD, status: 500 });
    receiver.onEnd();
    expect(play.sends).to.have.length(2);
    expect(reply.isBroken).to.equal(true);
  });

  // Guards against a half-read answer cut although its target, silent for some
  // seconds, goes on with it.
  it("waits for a silent target when the answer cannot go on elsewhere", () => {
    const play = new Play(["a", "b"], 0);
    const { reply } = play.take();
    play.send(0).options.receiver.onHead(HEAD);
    play.event(0, 1);
    play.clock.advance(3_000);
    expect(play.send(0).isAborted).to.equal(false);
    play.event(0, 2);
    play.send(0).options.receiver.onEnd();
    expect(reply.text).to.contain("id: 2");
    expect(reply.isEnded).to.equal(true);
  });
});
