/**
 * Sends calls to plain services. Answers are passed on once they are whole, so
 * that a broken one can be asked for again where that does no harm.
 */
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { InstanceId, MonotonicTime, ZoneName } from "../types.ts";
import type { PlainTargetSelector } from "./plain_target_selector.ts";
import type { ServiceRetryAllowances } from "./service_retry_allowances.ts";
import {
  CallRefusalKind,
  CallKind,
  CallRefusalReason,
  SendFailure,
} from "./types.ts";
import type {
  IResponseHead,
  IResponseReceiver,
  ICall,
  ICallReply,
  ICallSender,
  IListedTarget,
  ISendHandle,
} from "./types.ts";

const STATUS_SERVER_ERROR = 500;

/**
 * Share of the objective after which a safe call that has no answer is sent to
 * another target: late enough that a sound target has usually answered, early
 * enough that the second answer can still be on time.
 */
const SECOND_TRY_SHARE = 0.5;

/** When to come back where no target could be sent to, milliseconds. */
const RETRY_AFTER = 250;

/** The outcome of a call whose target's answer was passed on. */
const WHOLE = "whole";

/** What the plain calls need. */
export interface IPlainCallParts {
  readonly targets: PlainTargetSelector;
  /** The listed targets of a service that take work. */
  readonly readyTargets: (service: string) => readonly IListedTarget[];
  readonly sender: ICallSender;
  readonly retries: ServiceRetryAllowances;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly zone: ZoneName;
}

/** All plain calls of one process. */
export class PlainCalls {
  readonly #parts: IPlainCallParts;

  constructor(parts: IPlainCallParts) {
    this.#parts = parts;
  }

  /** Returns what to do when the caller leaves. */
  submit(call: ICall, reply: ICallReply): () => void {
    const run = new PlainRun(call, { reply, parts: this.#parts });
    run.start();
    return () => run.callerLeft();
  }
}

/** One plain call. */
class PlainRun {
  readonly #call: ICall;
  readonly #reply: ICallReply;
  readonly #parts: IPlainCallParts;
  readonly #tried = new Set<InstanceId>();
  readonly #timers: IDisposable[] = [];
  /** Targets that the call may have reached. */
  #sends = 0;
  #current: PlainSend | null = null;
  #mayHaveRun = false;
  #isOver = false;

  constructor(
    call: ICall,
    rest: { readonly reply: ICallReply; readonly parts: IPlainCallParts },
  ) {
    this.#call = call;
    this.#reply = rest.reply;
    this.#parts = rest.parts;
  }

  start(): void {
    const { clock } = this.#parts;
    const left = this.#call.deadline - clock.now();
    this.#timers.push(clock.after(left, () => this.#timedOut()));
    this.#send();
  }

  callerLeft(): void {
    if (!this.#isOver) {
      this.#dropSend();
      this.#finish("caller_left", {});
    }
  }

  get #isSafe(): boolean {
    return this.#call.route.kind === CallKind.Safe;
  }

  #send(): void {
    const now = this.#parts.clock.now();
    const { service } = this.#call;
    const target = this.#parts.targets.choose(
      this.#parts.readyTargets(service),
      {
        zone: this.#parts.zone,
        excluded: this.#tried,
        now,
      },
    );
    if (target === null) {
      this.#refuse(
        this.#mayHaveRun
          ? CallRefusalReason.TargetLost
          : CallRefusalReason.NoTarget,
      );
      return;
    }
    if (this.#tried.size === 0) {
      this.#parts.retries.recordFirstSend(service, now);
    }
    this.#tried.add(target.id);
    this.#sends += 1;
    this.#parts.targets.recordSend(target.id);
    const send = new PlainSend(target.id, (answer) => this.#ended(answer));
    this.#current = send;
    send.open = this.#parts.sender.send(target, this.#call, {
      timeLeft: this.#call.deadline - now,
      lastEventId: this.#call.lastEventId,
      onNewConnection: !this.#isSafe,
      receiver: send,
    });
    this.#watchSilence(send, now);
  }

  /** A safe call is not left with a target that does not answer. */
  #watchSilence(send: PlainSend, now: MonotonicTime): void {
    if (!this.#isSafe) {
      return;
    }
    const patience = this.#call.route.objective * SECOND_TRY_SHARE;
    const left = this.#call.deadline - now;
    const timer = this.#parts.clock.after(Math.min(patience, left), () => {
      if (this.#current === send && !this.#isOver && this.#mayTryAgain()) {
        this.#parts.targets.recordNoResponse(
          send.target,
          this.#parts.clock.now(),
        );
        this.#dropSend();
        this.#logFailure(send.target, "silent");
        this.#send();
      }
    });
    this.#timers.push(timer);
  }

  #ended(answer: IPlainAnswer): void {
    const send = this.#current;
    if (send === null || this.#isOver) {
      return;
    }
    this.#current = null;
    const { targets, clock } = this.#parts;
    targets.recordEnd(send.target);
    const { head, failure } = answer;
    const isNotRun = failure === SendFailure.NotSent || head?.isNotRun === true;
    this.#sends -= failure === SendFailure.NotSent ? 1 : 0;
    this.#mayHaveRun ||= !isNotRun;
    const isGood =
      failure === null && head !== null && head.status < STATUS_SERVER_ERROR;
    if (isGood && !isNotRun) {
      targets.recordSuccess(send.target, head.load, clock.now());
    } else if (failure === SendFailure.NotSent) {
      targets.recordNoResponse(send.target, clock.now());
    } else {
      targets.recordFailure(send.target, clock.now());
    }
    if (isGood && !isNotRun) {
      this.#pass(head, answer.body);
    } else {
      this.#failed(send.target, { answer, isNotRun });
    }
  }

  #failed(
    target: InstanceId,
    end: { readonly answer: IPlainAnswer; readonly isNotRun: boolean },
  ): void {
    const { head, failure, detail, body } = end.answer;
    this.#logFailure(target, detail || `status ${head?.status ?? 0}`);
    const isRepeatable = this.#isSafe || !this.#mayHaveRun;
    if (isRepeatable && this.#mayTryAgain()) {
      this.#send();
    } else if (failure === null && head !== null && !end.isNotRun) {
      this.#pass(head, body);
    } else if (end.isNotRun && !this.#mayHaveRun) {
      this.#refuse(CallRefusalReason.TargetRefused);
    } else {
      this.#refuse(CallRefusalReason.TargetLost);
    }
  }

  /** Takes a repeat from the allowance if the call may have one. */
  #mayTryAgain(): boolean {
    const { clock, retries, readyTargets } = this.#parts;
    const { service, route, deadline } = this.#call;
    const now = clock.now();
    const hasOther = readyTargets(service).some(
      ({ id }) => !this.#tried.has(id),
    );
    return (
      hasOther &&
      now < deadline &&
      this.#sends < route.maximumAttempts &&
      retries.tryTake(service, now)
    );
  }

  #dropSend(): void {
    const send = this.#current;
    if (send !== null) {
      this.#current = null;
      this.#mayHaveRun = true;
      send.open?.abort();
      this.#parts.targets.recordEnd(send.target);
    }
  }

  #timedOut(): void {
    if (this.#isOver) {
      return;
    }
    const send = this.#current;
    if (send !== null) {
      this.#parts.targets.recordNoResponse(
        send.target,
        this.#parts.clock.now(),
      );
    }
    this.#dropSend();
    this.#refuse(CallRefusalReason.DeadlinePassed);
  }

  #pass(head: IResponseHead, body: readonly Uint8Array[]): void {
    this.#finish(WHOLE, { status: head.status });
    const length = body.reduce((sum, { length }) => sum + length, 0);
    this.#reply.start(head, length);
    for (const bytes of body) {
      this.#reply.write(bytes);
    }
    this.#reply.end();
  }

  #refuse(reason: CallRefusalReason): void {
    const end = this.#endOf(reason);
    this.#finish(end, { reason });
    this.#reply.refuse({ kind: end, reason, retryAfter: RETRY_AFTER });
  }

  #endOf(reason: CallRefusalReason): CallRefusalKind {
    if (!this.#mayHaveRun) {
      return CallRefusalKind.NotRun;
    }
    return reason === CallRefusalReason.DeadlinePassed
      ? CallRefusalKind.TimedOut
      : CallRefusalKind.TargetFailed;
  }

  #logFailure(target: InstanceId, detail: string): void {
    this.#parts.log.info("send_failed", {
      request: this.#call.id,
      target,
      detail,
    });
  }

  #finish(
    outcome: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    this.#isOver = true;
    for (const timer of this.#timers) {
      timer.dispose();
    }
    const took = this.#parts.clock.now() - this.#call.arrivedAt;
    this.#parts.metrics.count("plain_calls", { outcome });
    this.#parts.metrics.observe("plain_call_duration", took);
    const line = {
      request: this.#call.id,
      route: this.#call.route.name,
      outcome,
      took_ms: Math.round(took),
      targets: [...this.#tried].join(","),
      ...fields,
    };
    if (outcome === WHOLE) {
      this.#parts.log.info("plain_call", line);
    } else {
      this.#parts.log.warn("plain_call", line);
    }
  }
}

/** How one send ended. */
interface IPlainAnswer {
  readonly head: IResponseHead | null;
  readonly body: readonly Uint8Array[];
  /** Null when the answer is whole. */
  readonly failure: SendFailure | null;
  readonly detail: string;
}

/** Collects one answer. */
class PlainSend implements IResponseReceiver {
  readonly target: InstanceId;
  open: ISendHandle | null = null;
  readonly #ended: (answer: IPlainAnswer) => void;
  readonly #body: Uint8Array[] = [];
  #head: IResponseHead | null = null;

  constructor(target: InstanceId, ended: (answer: IPlainAnswer) => void) {
    this.target = target;
    this.#ended = ended;
  }

  onHead(head: IResponseHead): void {
    this.#head = head;
    if (head.isForOtherRequest) {
      this.open?.abort();
      this.onFailure(SendFailure.Broken, "answer to another request");
    }
  }

  onData(bytes: Uint8Array): void {
    this.#body.push(bytes);
  }

  onEnd(): void {
    this.#ended(this.#answer(null, ""));
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#ended(this.#answer(failure, detail));
  }

  #answer(failure: SendFailure | null, detail: string): IPlainAnswer {
    return { head: this.#head, body: this.#body, failure, detail };
  }
}
