/**
 * One model call from its arrival to its response: its sends, what the caller
 * has received, and whether it may be sent again.
 *
 * A send that is silent goes on beside the one that is to replace it, and the
 * first to send an event is kept. Given up before, it would be lost to the
 * caller whenever no other target takes the call or answers it.
 */
import type { IWorkItem } from "../decisions/work_item.ts";
import type { IDisposable } from "../disposable.ts";
import type { MonotonicTime } from "../types.ts";
import type { IAnswerBoundRecorder } from "./answer_bounds.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import type { ICompleteEvent } from "./event_splitter.ts";
import { ModelSend, SendOutcome } from "./model_send.ts";
import type {
  IModelResponse,
  IModelSendOwner,
  ISendEnd,
} from "./model_send.ts";
import type { IServingGroup } from "./serving_groups.ts";
import type { IWatchedStream } from "./silence_limits.ts";
import { CallKind } from "./types.ts";
import type {
  ICall,
  ICallReply,
  IResponseHead,
  IResponseReceiver,
  ISendHandle,
} from "./types.ts";

/** Sends beyond the route's attempts, for targets that reject the call. */
const EXTRA_SENDS = 3;

/** Sends that may fail to reach a target before the call is abandoned. */
const MAXIMUM_UNDELIVERED_SENDS = 5;

/** Outcomes after which no target can have run the call. */
const UNSENT: ReadonlySet<SendOutcome> = new Set([
  SendOutcome.NotRun,
  SendOutcome.NotDelivered,
  SendOutcome.Unreachable,
]);

/** Receives the events and the outcomes of a run's sends. */
export interface IModelRunOwner {
  onEvents(run: ModelRun, send: ModelSend): void;
  /** A send was aborted, since another one has answered. */
  onSendReplaced(run: ModelRun, send: ModelSend): void;
  onSendEnded(run: ModelRun, send: ModelSend, end: ISendEnd): void;
  /** The path of a send is silent. */
  onSendSilent(run: ModelRun, send: ModelSend, detail: string): void;
}

/** Timestamps of a run, for its log line. */
export interface IRunTimes {
  firstSentAt: MonotonicTime | null;
  lastSentAt: MonotonicTime | null;
  firstEventAt: MonotonicTime | null;
  lastEventAt: MonotonicTime | null;
  /** Longest time between two events that arrived, milliseconds. */
  longestPause: number;
  /** By how much the process was behind when it read the call. */
  lagWhenRead: number;
}

/** Where and when a call is sent. */
export interface ISendStart {
  readonly group: IServingGroup;
  readonly stream: IWatchedStream;
  readonly sentAt: MonotonicTime;
}

/** A model call with its sends. */
export class ModelRun implements IModelSendOwner {
  readonly call: ICall;
  readonly reply: ICallReply;
  /** Its queue item; replaced when the call is overdue or has started. */
  queueItem: IWorkItem;
  readonly #owner: IModelRunOwner;
  readonly #memory: AnswerMemory;
  readonly #bounds: IAnswerBoundRecorder;
  /** Ends the call at its deadline. */
  deadlineTimer: IDisposable | null = null;
  isFinished = false;
  /** Groups that this call was sent to. */
  readonly triedGroups = new Set<string>();
  /** Engines that broke it off when they had hardly begun to answer. */
  readonly suspectedTargets = new Set<string>();
  /** Whether a target may have started to run it. */
  mayHaveRun = false;
  /** Whether the next send already has its retry from the allowance. */
  hasRetryGrant = false;
  readonly #openSends = new Set<ModelSend>();
  #sendCount = 0;
  /** Sends of which nothing was written to a target. */
  #undeliveredSends = 0;
  #countedTargets = 0;
  #lastEventId: string | null;
  #eventCount = 0;
  readonly times: IRunTimes = {
    firstSentAt: null,
    lastSentAt: null,
    firstEventAt: null,
    lastEventAt: null,
    longestPause: 0,
    lagWhenRead: 0,
  };

  constructor(
    parts: {
      readonly call: ICall;
      readonly reply: ICallReply;
      readonly work: IWorkItem;
      readonly memory: AnswerMemory;
      readonly bounds: IAnswerBoundRecorder;
    },
    owner: IModelRunOwner,
  ) {
    this.call = parts.call;
    this.reply = parts.reply;
    this.queueItem = parts.work;
    this.#memory = parts.memory;
    this.#bounds = parts.bounds;
    this.#owner = owner;
    this.#lastEventId = parts.call.lastEventId;
  }

  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /** Number of events sent to the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  get sendCount(): number {
    return this.#sendCount;
  }

  /** The sends in progress, the latest last. */
  get openSends(): readonly ModelSend[] {
    return [...this.#openSends];
  }

  hasOpen(send: ModelSend): boolean {
    return this.#openSends.has(send);
  }

  /**
   * Targets counted against the route's attempts: all that may have received
   * the call, unless they rejected it as not run. Neither silence nor the loss
   * of the target's group shows that it did not run the call.
   */
  get countedTargets(): number {
    return this.#countedTargets;
  }

  /** Whether a target may have received the call. */
  get mayHaveReachedTarget(): boolean {
    return this.#sendCount > this.#undeliveredSends;
  }

  /** Whether the call may go to another target, beside the open sends. */
  get canRetry(): boolean {
    const { isResumable, kind } = this.call.route;
    const isRepeatable = isResumable || kind === CallKind.Safe;
    const isUnrun = !this.mayHaveRun && this.#openSends.size === 0;
    return (isRepeatable || isUnrun) && this.#hasAttempts;
  }

  /** Whether every send in progress may be lost, and another one may help. */
  get needsAnotherSend(): boolean {
    const open = this.openSends;
    return (
      open.length > 0 &&
      open.every(({ isDoubtful }) => isDoubtful) &&
      this.canRetry
    );
  }

  get #hasAttempts(): boolean {
    const { maximumAttempts } = this.call.route;
    const delivered = this.#sendCount - this.#undeliveredSends;
    return (
      this.#countedTargets + this.#openSends.size < maximumAttempts &&
      delivered < maximumAttempts + EXTRA_SENDS &&
      this.#undeliveredSends < MAXIMUM_UNDELIVERED_SENDS
    );
  }

  /** Starts a send; its response comes to this object. */
  startSend(
    start: ISendStart,
    open: (receiver: IResponseReceiver) => ISendHandle,
  ): void {
    const { call } = this;
    const kept = { memory: this.#memory, bounds: this.#bounds };
    const send = new ModelSend({ ...start, call, ...kept }, this);
    this.#openSends.add(send);
    this.#sendCount += 1;
    this.times.firstSentAt ??= start.sentAt;
    this.times.lastSentAt = start.sentAt;
    this.triedGroups.add(start.group.group);
    send.start(open);
  }

  /** Aborts all sends; their targets may have run the call. */
  abort(): readonly ModelSend[] {
    return this.#abortAllBut(null);
  }

  onEvents(send: ModelSend, events: readonly ICompleteEvent[]): void {
    send.isDoubtful = false;
    this.#replaceOthers(send);
    for (const event of events) {
      this.#passOnEvent(send, event);
    }
    this.#owner.onEvents(this, send);
  }

  onResponse(send: ModelSend, { head, body }: IModelResponse): ISendEnd {
    this.mayHaveRun = true;
    const { status } = head;
    if (body !== null && this.reply.isStarted) {
      return {
        outcome: SendOutcome.Broken,
        detail: `status ${status} on resumption`,
        isDelivered: true,
      };
    }
    this.#replaceOthers(send);
    if (body === null) {
      this.#startReply(head);
    } else {
      const length = body.reduce((sum, { byteLength }) => sum + byteLength, 0);
      this.reply.start(head, length);
      body.forEach((bytes) => this.reply.write(bytes));
    }
    const detail = body === null ? "" : `status ${status}`;
    return { outcome: SendOutcome.Whole, detail, isDelivered: true };
  }

  onEnded(send: ModelSend, end: ISendEnd): void {
    this.#openSends.delete(send);
    this.#undeliveredSends += end.isDelivered ? 0 : 1;
    if (!UNSENT.has(end.outcome)) {
      this.#countTarget();
    }
    this.#owner.onSendEnded(this, send, end);
  }

  onSilence(send: ModelSend, detail: string): void {
    this.#owner.onSendSilent(this, send, detail);
  }

  /** The first send that answers is kept. */
  #replaceOthers(send: ModelSend): void {
    for (const other of this.#abortAllBut(send)) {
      this.#owner.onSendReplaced(this, other);
    }
  }

  #abortAllBut(kept: ModelSend | null): readonly ModelSend[] {
    const aborted = this.openSends.filter((send) => send !== kept);
    for (const send of aborted) {
      this.#openSends.delete(send);
      send.abort();
      this.#countTarget();
    }
    return aborted;
  }

  #passOnEvent(send: ModelSend, event: ICompleteEvent): void {
    this.mayHaveRun = true;
    if (this.#isDuplicate(event)) {
      return;
    }
    if (send.head !== null) {
      this.#startReply(send.head);
    }
    this.reply.write(event.bytes);
    this.#eventCount += 1;
    this.#lastEventId = event.id ?? this.#lastEventId;
  }

  /** Whether the caller already has the event. */
  #isDuplicate(event: ICompleteEvent): boolean {
    if (event.id === null || this.#lastEventId === null) {
      return false;
    }
    return Number(event.id) <= Number(this.#lastEventId);
  }

  /** Starts the reply with the head of the first target that responds. */
  #startReply(head: IResponseHead): void {
    if (!this.reply.isStarted) {
      this.reply.start(head, null);
    }
  }

  #countTarget(): void {
    this.#countedTargets += 1;
    this.mayHaveRun = true;
  }
}
