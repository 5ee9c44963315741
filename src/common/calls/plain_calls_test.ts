import { expect } from "chai";
import { callOf, KeptReply, routeOf } from "../../../test/support/calls.ts";
import { listedEngine } from "../../../test/support/engines.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { KeptLog, NO_METRICS } from "../../../test/support/quiet_services.ts";
import { PlainCalls } from "./plain_calls.ts";
import { PlainTargetSelector } from "./plain_target_selector.ts";
import { ServiceRetryAllowances } from "./service_retry_allowances.ts";
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
    load: null,
  };
}

interface ISend {
  readonly target: string;
  readonly options: ISendOptions & { readonly receiver: IResponseReceiver };
  isAborted: boolean;
}

/** Plain calls of one process; targets answer as the test says. */
class Play {
  readonly clock = new ManualClock();
  readonly sends: ISend[] = [];
  readonly #calls: PlainCalls;

  constructor() {
    const listed = ["a", "b", "c"].map((id) => listedEngine(id));
    const bounds = { ratio: 0.2, window: 10_000, slack: 100 };
    this.#calls = new PlainCalls({
      targets: new PlainTargetSelector(),
      readyTargets: () => listed,
      sender: {
        send: (target, _, options) => {
          const send = { target: target.id, options, isAborted: false };
          this.sends.push(send);
          return { abort: () => (send.isAborted = true) };
        },
      },
      retries: new ServiceRetryAllowances(bounds, {
        processes: () => 1,
        replacesAnotherSince: null,
      }),
      clock: this.clock,
      log: new KeptLog(),
      metrics: NO_METRICS,
      zone: "one",
    });
  }

  take(route = SAFE): KeptReply {
    const reply = new KeptReply();
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
  it("passes a whole answer on", () => {
    const play = new Play();
    const reply = play.take();
    play.answer(0, headOf(200), "page");
    expect(reply.text).to.equal("page");
    expect(reply.head?.status).to.equal(200);
  });

  // One of three targets goes silent. Its callers would wait for their whole
  // timeout although the others answer in a tenth of it.
  it("asks another target when one does not answer a safe call", () => {
    const play = new Play();
    const reply = play.take();
    play.clock.advance(100);
    expect(play.sends[0]?.isAborted).to.equal(true);
    play.answer(1, headOf(200), "page");
    expect(reply.text).to.equal("page");
    expect(play.sends[1]?.target).to.not.equal(play.sends[0]?.target);
  });

  // An order was sent and no answer came. Sent once more, the wood is bought
  // twice; told "not run", the caller sends it once more himself.
  it("never sends an unsafe call again, and does not say it has not run", () => {
    const play = new Play();
    const reply = play.take(UNSAFE);
    play.clock.advance(801);
    expect(play.sends).to.have.length(1);
    expect(reply.refusal?.kind).to.equal(CallRefusalKind.TimedOut);
    const broken = play.take(UNSAFE);
    play.sends[1]?.options.receiver.onFailure(SendFailure.Broken, "reset");
    expect(play.sends).to.have.length(2);
    expect(broken.refusal?.kind).to.equal(CallRefusalKind.TargetFailed);
  });

  it("sends an unsafe call on where the target has not run it", () => {
    const play = new Play();
    const reply = play.take(UNSAFE);
    play.answer(0, headOf(503, true));
    play.answer(1, headOf(200), "done");
    expect(reply.text).to.equal("done");
  });

  // A target has lost its power and takes no connection. Nothing was sent, so
  // the caller need not be turned away, even where one attempt is allowed.
  it("sends an unsafe call on where no connection could be made", () => {
    const play = new Play();
    const reply = play.take({ ...UNSAFE, maximumAttempts: 1 });
    play.sends[0]?.options.receiver.onFailure(
      SendFailure.NotSent,
      "no connection",
    );
    play.answer(1, headOf(200), "done");
    expect(reply.text).to.equal("done");
  });

  it("sends an unsafe call on a connection of its own", () => {
    const play = new Play();
    play.take(UNSAFE);
    play.take(SAFE);
    expect(
      play.sends.map(({ options }) => options.onNewConnection),
    ).to.deep.equal([true, false]);
  });

  it("asks again after a safe call's failure, and passes the last one on", () => {
    const play = new Play();
    const reply = play.take();
    play.answer(0, headOf(500), "first");
    play.answer(1, headOf(500), "second");
    expect(play.sends).to.have.length(2);
    expect(reply.head?.status).to.equal(500);
    expect(reply.text).to.equal("second");
  });
});
