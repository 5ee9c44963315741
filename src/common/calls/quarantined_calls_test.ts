import { expect } from "chai";
import { routeOf } from "../../../test/support/call_fixtures.ts";
import {
  ModelCallsHarness,
  SUCCESS_HEAD,
} from "../../../test/support/model_calls_harness.ts";
import { CallRefusalKind, CallRefusalReason, SendFailure } from "./types.ts";

/** Allows more attempts than engines may crash under one call. */
const route = routeOf({ maximumAttempts: 4 });
const CRASHING = { promptParts: ["system", "bad"], route };
const SOUND = { promptParts: ["system", "fine"], route };

describe("model calls with quarantined parts", () => {
  function breakOff(harness: ModelCallsHarness, index: number): void {
    const { receiver } = harness.getSend(index).options;
    receiver.onFailure(SendFailure.Broken, "other side closed");
  }

  function begin(harness: ModelCallsHarness, index: number): void {
    harness.getSend(index).options.receiver.onHead(SUCCESS_HEAD);
    harness.deliverEvent(index, 1);
  }

  // Guards against a call that crashes an engine although its part is known.
  it("are refused as not run, and no other call is", () => {
    const harness = new ModelCallsHarness(["a", "b"]);
    harness.quarantine.parts.add("bad");
    const { reply } = harness.submit(CRASHING);
    harness.submit(SOUND);
    expect(reply.refusal).to.deep.equal({
      kind: CallRefusalKind.NotRun,
      reason: CallRefusalReason.Quarantined,
      retryAfter: 60_000,
    });
    expect(harness.sends).to.have.length(1);
  });

  // Guards against calls that crash engines after their part is known, since
  // they had been accepted before.
  it("are ended where they wait and where they have not begun", () => {
    const harness = new ModelCallsHarness(["a"]);
    const replies = Array.from({ length: 8 }, () => harness.submit(CRASHING));
    const sent = harness.sends.length;
    expect(sent).to.be.within(1, 7);
    harness.quarantine.parts.add("bad");
    harness.calls.handleQuarantineChanged();
    harness.clock.advance(500);
    expect(harness.sends).to.have.length(sent);
    expect(harness.sends.every(({ isAborted }) => isAborted)).to.equal(true);
    const kinds = replies.map(({ reply }) => reply.refusal?.kind);
    const counted = (kind: CallRefusalKind) =>
      kinds.filter((one) => one === kind).length;
    expect(counted(CallRefusalKind.TargetFailed)).to.equal(sent);
    expect(counted(CallRefusalKind.NotRun)).to.equal(8 - sent);
  });

  it("go on where an answer has gone on for long", () => {
    const harness = new ModelCallsHarness(["a"]);
    const { reply } = harness.submit(CRASHING);
    begin(harness, 0);
    for (let id = 2; id <= 25; id += 1) {
      harness.deliverEvent(0, id);
      harness.clock.advance(50);
    }
    harness.quarantine.parts.add("bad");
    harness.calls.handleQuarantineChanged();
    harness.getSend(0).options.receiver.onEnd();
    expect(reply.refusal).to.equal(null);
  });

  // Guards against a call that crashes one engine after the other before
  // anything is known of its parts.
  it("are sent to no third engine after two have crashed", () => {
    const harness = new ModelCallsHarness(["a", "b", "c", "d"]);
    const { reply } = harness.submit(CRASHING);
    harness.quarantine.crashed.add(harness.getSend(0).target);
    breakOff(harness, 0);
    harness.quarantine.isVerdictPending = true;
    breakOff(harness, 1);
    expect(harness.sends).to.have.length(2);
    harness.quarantine.crashed.add(harness.getSend(1).target);
    harness.quarantine.onVerdict();
    harness.clock.advance(100);
    expect(harness.sends).to.have.length(2);
    expect(reply.refusal?.reason).to.equal(CallRefusalReason.TargetLost);
    const repeats = harness.quarantine.broken.map((one) => one.isRepeated);
    expect(repeats).to.deep.equal([false, true]);
  });

  // Guards against sound calls given up for engines that break answers off and
  // run on.
  it("are sent on after broken answers of engines that run", () => {
    const harness = new ModelCallsHarness(["a", "b", "c", "d"]);
    const { reply } = harness.submit(SOUND);
    breakOff(harness, 0);
    breakOff(harness, 1);
    expect(harness.sends).to.have.length(3);
    expect(reply.refusal).to.equal(null);
  });

  it("show their parts sound by an answer that goes on or ends", () => {
    const harness = new ModelCallsHarness(["a", "b"]);
    harness.submit({ ...SOUND, id: "whole" });
    harness.submit({ ...SOUND, id: "short" });
    begin(harness, 0);
    begin(harness, 1);
    const [whole, short] = harness.quarantine.begun;
    expect([whole?.isSound(), short?.isSound()]).to.deep.equal([false, false]);
    harness.getSend(0).options.receiver.onEnd();
    breakOff(harness, 1);
    expect([whole?.isSound(), short?.isSound()]).to.deep.equal([true, false]);
  });
});
