/**
 * One plain call: its sends, its retries and its response. A target that is
 * silent keeps the call while another one is asked; the first answer is used.
 */
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { SoundRequests } from "../quarantine/sound_requests.ts";
import type { ICallQuarantine, IPromptedCall } from "../quarantine/types.ts";
import type { ITargetPaths } from "../forwarding/types.ts";
import type { TargetCooldowns } from "../target_cooldowns.ts";
import type { InstanceId, MonotonicTime, ZoneName } from "../types.ts";
import type { IAnswerBoundRecorder } from "./answer_bounds.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import { PlainSend } from "./plain_send.ts";
import type { IPlainResponse, IReceivedAnswers } from "./plain_send.ts";
import type { PlainTargetSelector } from "./plain_target_selector.ts";
import type { OpenSend, ResponseTimes } from "./response_times.ts";
import type { ServiceRetryAllowances } from "./service_retry_allowances.ts";
import { STOPPING_RETRY_AFTER } from "./stopping.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";
import {
  CallRefusalKind,
  CallKind,
  CallRefusalReason,
  SendFailure,
} from "./types.ts";
import type {
  IResponseHead,
  ICall,
  ICallReply,
  ICallSender,
  IListedTarget,
} from "./types.ts";

const STATUS_SERVER_ERROR = 500;

/**
 * Share of the objective after which a safe call without a response is sent to
 * another target: late enough that a healthy target has usually responded,
 * early enough that the second response can still be on time.
 */
const RETRY_SHARE = 0.5;

/** Retry-after time of refused calls, milliseconds. */
const RETRY_AFTER = 250;

/** Milliseconds over which callers return while no path is known. */
const UNREACHABLE_SPREAD = 500;

/** Retry-after of a request that would crash a target, milliseconds. */
const QUARANTINE_RETRY_AFTER = 60_000;

/** Outcome of a call whose target's response was passed on. */
const WHOLE = "whole";

/** Failures after which no target can have run the call. */
const UNSENT: ReadonlySet<SendFailure> = new Set([
  SendFailure.NotSent,
  SendFailure.Withheld,
  SendFailure.Unreachable,
]);

/** Failures that are not the target's. */
const NO_FAULT: ReadonlySet<SendFailure> = new Set([
  SendFailure.Withheld,
  SendFailure.Unreachable,
  SendFailure.PathLost,
]);

/** Dependencies of plain calls. */
export interface IPlainCallParts {
  readonly targets: PlainTargetSelector;
  /** The listed targets of a service that accept new calls. */
  readonly readyTargets: (service: string) => readonly IListedTarget[];
  readonly sender: ICallSender;
  readonly paths: ITargetPaths;
  readonly memory: AnswerMemory;
  readonly bounds: IAnswerBoundRecorder;
  readonly quarantine: ICallQuarantine;
  readonly retries: ServiceRetryAllowances;
  readonly limits: Pick<TargetRateLimits, "maySend">;
  readonly cooldowns: Pick<
    TargetCooldowns,
    "isActive" | "retryAfter" | "shortestWait"
  >;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly zone: ZoneName;
  /** Milliseconds by which this process is behind; see {@link EventLoopLag}. */
  readonly lag: () => number;
}

/** One plain call. */
export class PlainRun {
  readonly #call: ICall;
  readonly #reply: ICallReply;
  readonly #parts: IPlainCallParts;
  readonly #isAdmitted: () => boolean;
  readonly #soundRequests: SoundRequests;
  readonly #responseTimes: ResponseTimes;
  readonly #stoppingFor: () => number | null;
  readonly #onFinished: () => void;
  readonly #triedTargets = new Set<InstanceId>();
  readonly #timers: IDisposable[] = [];
  readonly #lagWhenRead: number;
  #lastSentAt: MonotonicTime | null = null;
  /** Number of targets that the call may have reached. */
  #sendCount = 0;
  /** Those without an end, and their response times so far. */
  readonly #openSends = new Map<PlainSend, OpenSend>();
  readonly #received: IReceivedAnswers = { bytes: 0, pieces: 0 };
  #mayHaveRun = false;
  #isFinished = false;
  /** Targets that broke the call off. */
  readonly #brokenOffBy: InstanceId[] = [];

  constructor(
    call: ICall,
    rest: {
      readonly reply: ICallReply;
      readonly parts: IPlainCallParts;
      /** Whether a stopping process still serves it if it is sent now. */
      readonly isAdmitted: () => boolean;
      readonly soundRequests: SoundRequests;
      readonly responseTimes: ResponseTimes;
      /** Milliseconds since the process received the signal; null before. */
      readonly stoppingFor: () => number | null;
      readonly onFinished: () => void;
    },
  ) {
    this.#call = call;
    this.#reply = rest.reply;
    this.#parts = rest.parts;
    this.#isAdmitted = rest.isAdmitted;
    this.#soundRequests = rest.soundRequests;
    this.#responseTimes = rest.responseTimes;
    this.#stoppingFor = rest.stoppingFor;
    this.#onFinished = rest.onFinished;
    this.#lagWhenRead = rest.parts.lag();
  }

  start(): void {
    const { clock } = this.#parts;
    const left = this.#call.deadline - clock.now();
    this.#timers.push(clock.after(left, () => this.#handleTimeout()));
    this.#send();
  }

  handleDisconnect(): void {
    if (!this.#isFinished) {
      this.#abortSends();
      this.#finish("caller_left", {});
    }
  }

  endWithProcess(): void {
    this.#logCut();
    this.#abortSends();
    this.#refuse(CallRefusalReason.Stopping);
  }

  #logCut(): void {
    const { clock, log } = this.#parts;
    const now = clock.now();
    const sentAt = this.#lastSentAt;
    log.warn("call_cut", {
      request: this.#call.id,
      route: this.#call.route.name,
      targets: [...this.#openSends.keys()]
        .map(({ target }) => target)
        .join(","),
      sends: this.#sendCount,
      took_ms: Math.round(now - this.#call.arrivedAt),
      silent_ms: sentAt === null ? null : Math.round(now - sentAt),
      stopping_ms: this.#stoppingFor(),
    });
  }

  get #isSafe(): boolean {
    return this.#call.route.kind === CallKind.Safe;
  }

  /** What the quarantine knows the call by. */
  get #suspect(): IPromptedCall {
    const { service, fingerprint } = this.#call;
    const isSound =
      fingerprint === null ||
      this.#soundRequests.has(fingerprint, this.#parts.clock.now());
    const known = isSound ? null : fingerprint;
    return { service, promptParts: [], fingerprint: known };
  }

  #send(): void {
    const now = this.#parts.clock.now();
    if (this.#parts.quarantine.isQuarantined(this.#suspect)) {
      this.#refuse(CallRefusalReason.Quarantined);
      return;
    }
    const isUnrun = !this.#mayHaveRun && this.#openSends.size === 0;
    if (isUnrun && !this.#isAdmitted()) {
      this.#refuse(CallRefusalReason.Stopping);
      return;
    }
    const { service } = this.#call;
    if (!this.#parts.paths.hasPath(service)) {
      this.#refuse(CallRefusalReason.Unreachable);
      return;
    }
    const target = this.#parts.targets.choose(this.#usableTargets, {
      zone: this.#parts.zone,
      excluded: this.#triedTargets,
      now,
    });
    if (target === null) {
      if (this.#openSends.size === 0) {
        this.#refuse(this.#reasonWithoutTarget);
      }
      return;
    }
    if (this.#triedTargets.size === 0) {
      this.#parts.retries.recordFirstSend(service, now);
    }
    this.#triedTargets.add(target.id);
    this.#sendCount += 1;
    this.#lastSentAt = now;
    this.#parts.targets.recordSend(target.id);
    const { id, address } = target;
    const { memory, bounds } = this.#parts;
    const received = this.#received;
    const kept = { memory, bounds, received };
    const sent = { target: id, address, sentAt: now, ...kept };
    const send: PlainSend = new PlainSend(sent, {
      ended: (answer) => this.#handleEnd(send, answer),
      silence: (detail) => this.#retryBeside(send, detail),
    });
    this.#openSends.set(send, this.#responseTimes.startSend(service, now));
    send.handle = this.#parts.sender.send(target, this.#call, {
      timeLeft: this.#call.deadline - now,
      lastEventId: this.#call.lastEventId,
      needsNewConnection: !this.#isSafe,
      receiver: send,
    });
    this.#scheduleRetry(send, now);
  }

  /** Ready targets that take another request. */
  get #usableTargets(): readonly IListedTarget[] {
    const { limits, cooldowns, readyTargets } = this.#parts;
    return readyTargets(this.#call.service).filter(
      ({ id }) => limits.maySend(id) && !cooldowns.isActive(id),
    );
  }

  get #reasonWithoutTarget(): CallRefusalReason {
    if (this.#mayHaveRun) {
      return CallRefusalReason.TargetLost;
    }
    const { cooldowns, readyTargets } = this.#parts;
    const others = readyTargets(this.#call.service)
      .map(({ id }) => id)
      .filter((id) => !this.#triedTargets.has(id));
    if (cooldowns.shortestWait(others) > 0) {
      return CallRefusalReason.Overloaded;
    }
    return others.length > 0
      ? CallRefusalReason.RateLimited
      : CallRefusalReason.NoTarget;
  }

  /**
   * A call that may not be repeated waits for its target, but its silence may
   * show that this process does not reach the targets.
   */
  #scheduleSilence(send: PlainSend): void {
    const { clock, paths } = this.#parts;
    const { route, service } = this.#call;
    const timer = clock.after(route.objective, () => {
      if (this.#openSends.has(send)) {
        paths.recordSilence(service, send.target);
      }
    });
    this.#timers.push(timer);
  }

  /** Retries a safe call elsewhere if the target does not respond soon. */
  #scheduleRetry(send: PlainSend, now: MonotonicTime): void {
    if (!this.#isSafe) {
      this.#scheduleSilence(send);
      return;
    }
    const delay = this.#call.route.objective * RETRY_SHARE;
    const left = this.#call.deadline - now;
    const timer = this.#parts.clock.after(Math.min(delay, left), () => {
      if (this.#openSends.has(send) && !send.isReplaced) {
        this.#recordSilence(send.target);
        this.#retryBeside(send, "silent");
      }
    });
    this.#timers.push(timer);
  }

  /** Sends a safe call to another target beside one that is silent. */
  #retryBeside(send: PlainSend, detail: string): void {
    if (this.#isSafe && !send.isReplaced && this.#takeRetry()) {
      send.isReplaced = true;
      send.handle?.handleSilence?.();
      this.#logFailure(send.target, detail);
      this.#send();
    }
  }

  #recordSilence(target: InstanceId): void {
    const { targets, paths, clock } = this.#parts;
    targets.recordNoResponse(target, clock.now());
    paths.recordSilence(this.#call.service, target);
  }

  #handleEnd(send: PlainSend, answer: IPlainResponse): void {
    const openSend = this.#openSends.get(send);
    if (openSend === undefined) {
      return;
    }
    this.#openSends.delete(send);
    const { targets, clock } = this.#parts;
    targets.recordEnd(send.target);
    const { head, failure } = answer;
    const isUnsent = failure !== null && UNSENT.has(failure);
    const isNotRun = isUnsent || head?.isNotRun === true;
    this.#sendCount -= isUnsent ? 1 : 0;
    this.#mayHaveRun ||= !isNotRun;
    const isGood =
      failure === null && head !== null && head.status < STATUS_SERVER_ERROR;
    if (isGood && !isNotRun) {
      targets.recordSuccess(send.target, head.load, clock.now());
      openSend.complete(clock.now());
    } else if (failure === SendFailure.NotSent) {
      targets.recordNoResponse(send.target, clock.now());
    } else if (failure === null || !NO_FAULT.has(failure)) {
      targets.recordFailure(send.target, clock.now());
    }
    openSend.dispose();
    if (isGood && !isNotRun) {
      if (this.#call.fingerprint !== null) {
        this.#soundRequests.record(this.#call.fingerprint, clock.now());
      }
      this.#abortSends();
      this.#passOn(head, answer.body);
    } else if (failure === SendFailure.Broken) {
      this.#handleBreak(send, { answer, isNotRun });
    } else {
      this.#handleFailure(send.target, { answer, isNotRun });
    }
  }

  /** The target may have crashed under the request. */
  #handleBreak(
    { target: id, address }: PlainSend,
    end: { readonly answer: IPlainResponse; readonly isNotRun: boolean },
  ): void {
    const { quarantine } = this.#parts;
    const call = this.#suspect;
    const isRepeated = this.#brokenOffBy.length > 0;
    quarantine.recordBroken(
      { call, target: { id, address }, beganAt: null },
      isRepeated,
    );
    this.#brokenOffBy.push(id);
    if (quarantine.mayCrashAnother(call)) {
      this.#handleFailure(id, end);
      return;
    }
    quarantine.waitForVerdicts(this.#brokenOffBy, () => {
      if (!this.#isFinished) {
        this.#handleFailure(id, end);
      }
    });
  }

  #handleFailure(
    target: InstanceId,
    end: { readonly answer: IPlainResponse; readonly isNotRun: boolean },
  ): void {
    const { head, failure, detail, body } = end.answer;
    this.#logFailure(target, detail || `status ${head?.status ?? 0}`);
    const isRetryable = this.#isSafe || !this.#mayHaveRun;
    const hasOpen = this.#openSends.size > 0;
    if (failure === SendFailure.Unreachable && !this.#mayHaveRun && !hasOpen) {
      this.#refuse(CallRefusalReason.Unreachable);
    } else if (isRetryable && this.#takeRetry()) {
      this.#send();
    } else if (failure === null && head !== null && !end.isNotRun) {
      this.#abortSends();
      this.#passOn(head, body);
    } else if (hasOpen) {
      // One of the targets that have the call may still answer.
    } else if (end.isNotRun && !this.#mayHaveRun) {
      this.#refuse(CallRefusalReason.TargetRefused);
    } else {
      this.#refuse(CallRefusalReason.TargetLost);
    }
  }

  /** Takes a retry from the allowance if the call may be sent again. */
  #takeRetry(): boolean {
    const { clock, retries, paths, quarantine } = this.#parts;
    const { service, route, deadline } = this.#call;
    const now = clock.now();
    const hasOther = this.#usableTargets.some(
      ({ id }) => !this.#triedTargets.has(id),
    );
    return (
      hasOther &&
      paths.hasPath(service) &&
      !quarantine.isQuarantined(this.#suspect) &&
      now < deadline &&
      this.#sendCount < route.maximumAttempts &&
      retries.tryTake(service, now)
    );
  }

  #abortSends(): void {
    for (const [send, openSend] of this.#openSends) {
      this.#openSends.delete(send);
      openSend.dispose();
      this.#mayHaveRun = true;
      send.handle?.abort();
      send.dispose();
      this.#parts.targets.recordEnd(send.target);
    }
  }

  #handleTimeout(): void {
    if (this.#isFinished) {
      return;
    }
    for (const { target } of this.#openSends.keys()) {
      this.#recordSilence(target);
    }
    this.#abortSends();
    this.#refuse(CallRefusalReason.DeadlinePassed);
  }

  #passOn(head: IResponseHead, body: readonly Uint8Array[]): void {
    this.#finish(WHOLE, { status: head.status });
    const length = body.reduce((sum, bytes) => sum + bytes.length, 0);
    this.#reply.start(head, length);
    for (const bytes of body) {
      this.#reply.write(bytes);
    }
    this.#reply.end();
  }

  #refuse(reason: CallRefusalReason): void {
    const kind = this.#refusalKindOf(reason);
    const retryAfter = this.#retryAfterOf(reason);
    this.#finish(kind, { reason });
    this.#reply.refuse({ kind, reason, retryAfter });
  }

  /** Milliseconds after which the caller may retry. */
  #retryAfterOf(reason: CallRefusalReason): number {
    switch (reason) {
      case CallRefusalReason.Stopping:
        return STOPPING_RETRY_AFTER;
      case CallRefusalReason.Quarantined:
        return QUARANTINE_RETRY_AFTER;
      default:
        return this.#retryAfter;
    }
  }

  /** Milliseconds after which a target takes calls. */
  get #retryAfter(): number {
    const { cooldowns, paths, random, readyTargets } = this.#parts;
    const { service } = this.#call;
    const ids = readyTargets(service).map(({ id }) => id);
    const chance = random.next();
    const spread = paths.hasPath(service) ? 0 : chance * UNREACHABLE_SPREAD;
    return cooldowns.retryAfter(ids, chance) ?? RETRY_AFTER + spread;
  }

  #refusalKindOf(reason: CallRefusalReason): CallRefusalKind {
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
    this.#isFinished = true;
    this.#onFinished();
    for (const timer of this.#timers) {
      timer.dispose();
    }
    const { arrivedAt } = this.#call;
    const took = this.#parts.clock.now() - arrivedAt;
    const sentAt = this.#lastSentAt;
    this.#parts.metrics.count("plain_calls", { outcome });
    this.#parts.metrics.observe("plain_call_duration", took);
    const line = {
      request: this.#call.id,
      route: this.#call.route.name,
      outcome,
      last_sent_ms: sentAt === null ? null : Math.round(sentAt - arrivedAt),
      took_ms: Math.round(took),
      read_lag_ms: Math.round(this.#lagWhenRead),
      targets: [...this.#triedTargets].join(","),
      answer_bytes: this.#received.bytes,
      answer_pieces: this.#received.pieces,
      stopping_ms: this.#stoppingFor(),
      ...fields,
    };
    if (outcome === WHOLE) {
      this.#parts.log.info("plain_call", line);
    } else {
      this.#parts.log.warn("plain_call", line);
    }
  }
}
