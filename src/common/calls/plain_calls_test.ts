import { expect } from "chai";
import {
  callOf,
  RecordingReply,
  routeOf,
} from "../../../test/support/call_fixtures.ts";
import { listedEngine } from "../../../test/support/engine_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import {
  RecordingLog,
  NO_METRICS,
} from "../../../test/support/recording_services.ts";
import { ObservingSender } from "./observing_sender.ts";
import { PlainCalls } from "./plain_calls.ts";
import { PlainTargetSelector } from "./plain_target_selector.ts";
import { ServiceRetryAllowances } from "./service_retry_allowances.ts";
import { TargetRateLimits } from "./target_rate_limits.ts";
import { CallRefusalKind, CallKind, SendFailure } from "./types.ts";
import type {
  IResponseHead,
  IResponseReceiver,
  ISendOptions,
} from "./types.ts";

const SAFE = routeOf({ kind: CallKind.Safe, timeout: 800, objective: 120 });
const UNSAFE = routeOf({
  kind: CallKind.Unsafe,
  timeout: 800,
  objective: 120,
  maximumAttempts: 2,
});

function headOf(status: number, isNotRun = false): IResponseHead {
  return {
    status,
    headers: [],
    isNotRun,
    isForOtherRequest: false,
    rateLimit: null,
    retryAfter: null,
    load: null,
  };
}

interface ISend {
  readonly target: string;
  readonly options: ISendOptions & { readonly receiver: IResponseReceiver };
  isAborted: boolean;
}

/** The plain calls of one process, with targets controlled by the test. */
class PlainCallsHarness {
  readonly clock = new ManualClock();
  readonly sends: ISend[] = [];
  readonly #calls: PlainCalls;

  constructor() {
    const listed = ["a", "b", "c"].map((id) => listedEngine(id));
    const bounds = { ratio: 0.2, window: 10_000, slack: 100 };
    const limits = new TargetRateLimits({
      clock: this.clock,
      log: new RecordingLog(),
      processes: () => 1,
    });
    this.#calls = new PlainCalls({
      targets: new PlainTargetSelector(),
      readyTargets: () => listed,
      limits,
      sender: new ObservingSender({
        sender: {
          send: (target, _, options) => {
            const send = { target: target.id, options, isAborted: false };
            this.sends.push(send);
            return { abort: () => (send.isAborted = true) };
          },
        },
        limits,
        clock: this.clock,
        log: new RecordingLog(),
      }),
      retries: new ServiceRetryAllowances(bounds, {
        processes: () => 1,
        replacesAnotherSince: null,
      }),
      clock: this.clock,
      log: new RecordingLog(),
      metrics: NO_METRICS,
      zone: "one",
    });
  }

  submit(route = SAFE): RecordingReply {
    const reply = new RecordingReply();
    const now = this.clock.now();
    const deadline = now + route.timeout;
    const call = callOf({ route, model: null, arrivedAt: now, deadline });
    this.#calls.submit(call, reply);
    return reply;
  }

  answer(index: number, head: IResponseHead, text = ""): void {
    const receiver = this.sends[index]?.options.receiver;
    receiver?.onHead(head);
    receiver?.onData(new TextEncoder().encode(text));
    receiver?.onEnd();
  }
}

describe("plain calls", () => {
  it("passes on a complete response", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit();
    harness.answer(0, headOf(200), "page");
    expect(reply.text).to.equal("page");
    expect(reply.head?.status).to.equal(200);
  });

  // Guards against callers that wait for their whole timeout because one of
  // three targets is silent, although the others respond in a tenth of it.
  it("retries a safe call at another target when one does not respond", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit();
    harness.clock.advance(100);
    expect(harness.sends[0]?.isAborted).to.equal(true);
    harness.answer(1, headOf(200), "page");
    expect(reply.text).to.equal("page");
    expect(harness.sends[1]?.target).to.not.equal(harness.sends[0]?.target);
  });

  // Guards against an unsafe call that runs twice: no response came, and the
  // call is retried, or its caller is told "not run" and retries it.
  it("never retries an unsafe call, and does not report it as not run", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit(UNSAFE);
    harness.clock.advance(801);
    expect(harness.sends).to.have.length(1);
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.TimedOut);
    const broken = harness.submit(UNSAFE);
    harness.sends[1]?.options.receiver.onFailure(SendFailure.Broken, "reset");
    expect(harness.sends).to.have.length(2);
    expect(broken.refusal?.kind).to.equal(CallRefusalKind.TargetFailed);
  });

  it("retries an unsafe call that the target has not run", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit(UNSAFE);
    harness.answer(0, headOf(503, true));
    harness.answer(1, headOf(200), "done");
    expect(reply.text).to.equal("done");
  });

  // Guards against a needless refusal when a target has lost its power and
  // accepts no connection: nothing was sent, so another one may run the call
  // even if only one attempt is allowed.
  it("retries an unsafe call when no connection could be made", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit({ ...UNSAFE, maximumAttempts: 1 });
    harness.sends[0]?.options.receiver.onFailure(
      SendFailure.NotSent,
      "no connection",
    );
    harness.answer(1, headOf(200), "done");
    expect(reply.text).to.equal("done");
  });

  // Guards against an unsafe call lost on a pooled connection that has gone
  // dead: it may have run, so it could not be retried.
  it("sends an unsafe call on a new connection", () => {
    const harness = new PlainCallsHarness();
    harness.submit(UNSAFE);
    harness.submit(SAFE);
    expect(
      harness.sends.map(({ options }) => options.needsNewConnection),
    ).to.deep.equal([true, false]);
  });

  it("retries a failed safe call, and passes on the last response", () => {
    const harness = new PlainCallsHarness();
    const reply = harness.submit();
    harness.answer(0, headOf(500), "first");
    harness.answer(1, headOf(500), "second");
    expect(harness.sends).to.have.length(2);
    expect(reply.head?.status).to.equal(500);
    expect(reply.text).to.equal("second");
  });

  // Guards against overloading a plain target that asks for fewer requests.
  it("sends a plain target no more requests than it takes", () => {
    const harness = new PlainCallsHarness();
    const limited = { ...headOf(200), rateLimit: 1.5 };
    const atLimited: number[] = [];
    for (let index = 0; index < 100; index += 1) {
      harness.submit(UNSAFE);
      const isLimited = harness.sends.at(-1)?.target === "a";
      if (isLimited) {
        atLimited.push(harness.clock.now());
      }
      harness.answer(index, isLimited ? limited : headOf(200), "done");
      harness.clock.advance(100);
    }
    expect(atLimited.length).to.be.within(2, 1.5 * 10 + 2);
  });
});
