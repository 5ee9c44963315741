/** Model calls of a process that stops. */
import { expect } from "chai";
import { routeOf } from "../../../test/support/call_fixtures.ts";
import type { RecordingReply } from "../../../test/support/call_fixtures.ts";
import {
  ModelCallsHarness as Harness,
  SUCCESS_HEAD,
} from "../../../test/support/model_calls_harness.ts";
import { CallRefusalKind, CallRefusalReason } from "./types.ts";

/** Runs for about 0.9 s in a full group of the harness. */
const SHORT = { prompt: 1_000, output: 100 };

/** Runs for about 8.4 s. */
const LONG = { prompt: 1_000, output: 1_000 };

const DEADLINE = 30_000;

/** A head that has not run the call. */
const NOT_RUN_HEAD = { ...SUCCESS_HEAD, status: 503, isNotRun: true };

function expectRefused({ refusal }: RecordingReply): void {
  expect(refusal).to.include({
    kind: CallRefusalKind.NotRun,
    reason: CallRefusalReason.Stopping,
  });
  expect(refusal?.retryAfter).to.be.greaterThan(0);
}

/** Lets the process end after some milliseconds. */
function stopIn(
  { calls, clock }: Harness,
  time: number,
  removalTime = 0,
): void {
  const now = clock.now();
  const removedAt = now + removalTime;
  calls.stopAt({ startedAt: now, removedAt, end: now + time });
}

/** Answers a send with events at a period, and completes it. */
function answer(
  harness: Harness,
  index: number,
  { events, period }: { readonly events: number; readonly period: number },
): void {
  const { receiver } = harness.getSend(index).options;
  receiver.onHead(SUCCESS_HEAD);
  for (let id = 1; id <= events; id += 1) {
    harness.clock.advance(period);
    harness.deliverEvent(index, id);
  }
  receiver.onEnd();
}

describe("model calls while the process stops", () => {
  // Guards against a stream that is sent though it cannot end within the grace
  // period: it is cut, and its caller has waited in vain.
  it("refuses a call that cannot end, unsent", () => {
    const harness = new Harness(["a"]);
    stopIn(harness, 7_300);
    const { reply } = harness.submit({ tokens: LONG, deadline: DEADLINE });
    expectRefused(reply);
    expect(harness.sends).to.deep.equal([]);
  });

  // Guards against refusals of calls that this process can still serve.
  it("serves calls that end in time, by themselves or at their deadline", () => {
    const harness = new Harness(["a"]);
    stopIn(harness, 4_000);
    harness.submit({ id: "short", tokens: SHORT, deadline: DEADLINE });
    harness.submit({ id: "bounded", tokens: LONG, deadline: 3_900 });
    const calls = harness.sends.map(({ call }) => call);
    expect(calls).to.deep.equal(["short", "bounded"]);
  });

  // Guards against refusals right after the signal, when the balancer still
  // sends callers back here: a stream that is cut can be resumed elsewhere.
  it("begins a resumable stream until the balancer has removed it", () => {
    const harness = new Harness(["a"]);
    stopIn(harness, 6_500, 1_000);
    const call = { tokens: LONG, deadline: DEADLINE };
    const once = { ...call, route: routeOf({ isResumable: false }) };
    expect(harness.submit(call).reply.refusal).to.equal(null);
    expectRefused(harness.submit(once).reply);
    harness.clock.advance(1_000);
    expectRefused(harness.submit(call).reply);
    expect(harness.sends).to.have.length(1);
  });

  // Guards against a call without an announced length that is taken for short.
  it("refuses a call of unknown length that may be cut", () => {
    const harness = new Harness(["a"]);
    stopIn(harness, 4_000);
    const tokens = { prompt: 0, output: 0 };
    expectRefused(harness.submit({ tokens, deadline: DEADLINE }).reply);
    expect(harness.sends).to.deep.equal([]);
  });

  // Guards against calls that are given up at the stop signal: those that may
  // have run are served as long as the process lasts.
  it("goes on with a call that was sent before", () => {
    const harness = new Harness(["a"]);
    const { reply } = harness.submit({ tokens: LONG, deadline: DEADLINE });
    stopIn(harness, 1_000);
    answer(harness, 0, { events: 10, period: 90 });
    expect(harness.getSend(0).isAborted).to.equal(false);
    expect(reply.isEnded).to.equal(true);
  });

  // Guards against a started stream that is ended at the loss of its group
  // because the process stops: most of the rest may still be passed on.
  it("continues a started stream elsewhere", () => {
    const harness = new Harness(["a", "b"]);
    const { reply } = harness.submit({ tokens: LONG, deadline: DEADLINE });
    harness.getSend(0).options.receiver.onHead(SUCCESS_HEAD);
    harness.deliverEvent(0, 1);
    stopIn(harness, 1_000);
    const group = harness.getSend(0).target.replace("head-", "");
    harness.calls.handleGroupsChanged([group]);
    expect(harness.getSend(1).options.lastEventId).to.equal("1");
    expect(reply.isBroken).to.equal(false);
  });

  // Guards against a call that waits for a group when the signal comes, is sent
  // seconds later, and is cut; and against its refusal before that.
  it("keeps a waiting call while it can end, and then refuses it", () => {
    const harness = new Harness(["a"]);
    const route = routeOf({ objective: 5_000 });
    for (const id of ["first", "second"]) {
      harness.submit({ id, route, tokens: LONG, deadline: DEADLINE });
    }
    const call = { id: "waiting", route, tokens: SHORT, deadline: DEADLINE };
    const { reply } = harness.submit(call);
    stopIn(harness, 7_000);
    harness.clock.advance(800);
    expect(reply.refusal).to.equal(null);
    harness.clock.advance(400);
    expectRefused(reply);
    expect(harness.sends).to.have.length(2);
  });

  // Guards against a call that arrives behind a queue, and whose wait leaves it
  // too little time.
  it("counts the wait of a call that arrives behind others", () => {
    const harness = new Harness(["a"]);
    const call = { tokens: SHORT, deadline: DEADLINE };
    for (const id of ["first", "second", "third", "fourth"]) {
      harness.submit({ id, ...call });
    }
    stopIn(harness, 3_000);
    expectRefused(harness.submit({ id: "fifth", ...call }).reply);
  });

  // Guards against a call that is sent again after a rejection, late in the
  // grace period, and is cut.
  it("retries a call that has not run only if it can still end", () => {
    const harness = new Harness(["a", "b"]);
    const { reply } = harness.submit({ tokens: SHORT, deadline: DEADLINE });
    stopIn(harness, 1_500);
    harness.clock.advance(400);
    const { receiver } = harness.getSend(0).options;
    receiver.onHead(NOT_RUN_HEAD);
    receiver.onEnd();
    expectRefused(reply);
    expect(harness.sends).to.have.length(1);
  });

  // Guards against a call whose connection closes with the process, so that its
  // caller does not know whether to try elsewhere.
  it("answers what it cannot end, and says truly whether it has run", () => {
    const harness = new Harness(["a"]);
    const call = { tokens: SHORT, deadline: DEADLINE };
    const [sent, started, waiting] = ["sent", "started", "waiting"].map(
      (id) => harness.submit({ id, ...call }).reply,
    );
    harness.getSend(1).options.receiver.onHead(SUCCESS_HEAD);
    harness.deliverEvent(1, 1);
    stopIn(harness, 3_000);
    harness.calls.endUnfinished();
    expect(sent?.refusal?.kind).to.equal(CallRefusalKind.TargetFailed);
    expect(waiting?.refusal?.kind).to.equal(CallRefusalKind.NotRun);
    expect(started?.isBroken).to.equal(true);
    expect(harness.sends.every(({ isAborted }) => isAborted)).to.equal(true);
  });

  // Guards against a forecast by the published figures alone, when groups are
  // slower: prompts of others are prefilled between the tokens of a call.
  it("forecasts by the times that it has seen", () => {
    const harness = new Harness(["a"]);
    const call = { tokens: SHORT, deadline: DEADLINE };
    harness.submit(call);
    answer(harness, 0, { events: 20, period: 150 });
    stopIn(harness, 2_000);
    expectRefused(harness.submit(call).reply);
    expect(harness.sends).to.have.length(1);
  });
});
