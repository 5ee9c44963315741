/** Model calls of a process that has lost its own path to the targets. */
import { expect } from "chai";
import { routeOf } from "../../../test/support/call_fixtures.ts";
import {
  ModelCallsHarness as Harness,
  SUCCESS_HEAD,
} from "../../../test/support/model_calls_harness.ts";
import { CallRefusalKind, CallRefusalReason, SendFailure } from "./types.ts";

const SERVICE = "summaries";

function start(harness: Harness, index: number): void {
  harness.getSend(index).options.receiver.onHead(SUCCESS_HEAD);
  harness.deliverEvent(index, 1);
}

describe("model calls whose process has lost its path", () => {
  // Guards against groups that stay suspected for a cut of this process's own
  // links, so that waiting calls are refused though another path is known.
  it("are placed in groups that were suspected before", () => {
    const harness = new Harness(["a"]);
    harness.submit();
    harness.getSend(0).options.receiver.onFailure(SendFailure.NotSent, "");
    harness.submit();
    const before = harness.sends.length;
    harness.calls.handlePathLost(SERVICE);
    expect(before).to.equal(1);
    expect(harness.sends).to.have.length(3);
  });

  // Guards against a stream on a dead connection that keeps its whole group
  // suspected.
  it("do not let silent streams keep their groups suspected", () => {
    const harness = new Harness(["a"]);
    const route = routeOf({ isResumable: false });
    harness.submit({ route });
    start(harness, 0);
    harness.clock.advance(1_000);
    harness.calls.handlePathLost(SERVICE);
    harness.clock.advance(1_000);
    harness.submit();
    expect(harness.sends).to.have.length(2);
  });

  // Guards against streams that stand still until their callers leave, since
  // they were sent before the cut was noticed.
  it("go on elsewhere after their silence", () => {
    const harness = new Harness(["a", "b"]);
    harness.submit();
    start(harness, 0);
    harness.calls.handlePathLost(SERVICE);
    harness.clock.advance(1_000);
    expect(harness.getSend(1).options.lastEventId).to.equal("1");
    expect(harness.getSend(0).isAborted).to.equal(false);
    harness.getSend(1).options.receiver.onHead(SUCCESS_HEAD);
    harness.deliverEvent(1, 2);
    expect(harness.getSend(0).isAborted).to.equal(true);
  });

  // Guards against streams that are moved, at the cost of a second prefill,
  // although their connections live on.
  it("stay where they progress", () => {
    const harness = new Harness(["a", "b"]);
    harness.submit();
    start(harness, 0);
    harness.calls.handlePathLost(SERVICE);
    for (let event = 2; event < 50; event += 1) {
      harness.clock.advance(40);
      harness.deliverEvent(0, event);
    }
    expect(harness.getSend(0).isAborted).to.equal(false);
  });

  // Guards against groups that are held down, here and by the lease holder, for
  // the loss of the process between.
  it("do not make a group suspected with the process between", () => {
    const harness = new Harness(["a"]);
    harness.submit();
    start(harness, 0);
    const { receiver } = harness.getSend(0).options;
    receiver.onFailure(SendFailure.PathLost, "peer killed");
    expect(harness.calls.suspectedGroups).to.deep.equal([]);
    expect(harness.getSend(1).options.lastEventId).to.equal("1");
  });

  // Guards against callers that wait for their deadline, or are told that their
  // call may have run, when no process reaches the targets.
  it("are refused at once, as not run, without any path", () => {
    const harness = new Harness(["a", "b"]);
    const { reply } = harness.submit();
    const { receiver } = harness.getSend(0).options;
    receiver.onFailure(SendFailure.Unreachable, "no process");
    expect(reply.refusal).to.include({
      kind: CallRefusalKind.NotRun,
      reason: CallRefusalReason.Unreachable,
    });
    expect(reply.refusal?.retryAfter).to.be.greaterThan(0);
    expect(harness.sends).to.have.length(1);
  });

  it("are refused unsent while no path is known", () => {
    const harness = new Harness(["a"]);
    harness.hasPath = false;
    const { reply } = harness.submit();
    expect(reply.refusal?.reason).to.equal(CallRefusalReason.Unreachable);
    expect(harness.sends).to.have.length(0);
  });

  // Guards against calls that another process runs a second time.
  it("are not repeated after the loss of the process between", () => {
    const harness = new Harness(["a", "b"]);
    const route = routeOf({ isResumable: false });
    const { reply } = harness.submit({ route });
    const { receiver } = harness.getSend(0).options;
    receiver.onFailure(SendFailure.PathLost, "peer killed");
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.TargetFailed);
    expect(harness.sends).to.have.length(1);
  });

  it("report the silence of a group's head as evidence", () => {
    const harness = new Harness(["a"]);
    harness.submit();
    harness.clock.advance(1_000);
    expect(harness.silences).to.include("head-a");
  });
});
