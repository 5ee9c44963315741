/**
 * One model call from its arrival to its response: its sends, what the caller
 * has received, and whether it may be sent again.
 */
import type { IWorkItem } from "../decisions/work_item.ts";
import type { IDisposable } from "../disposable.ts";
import type { MonotonicTime } from "../types.ts";
import { AnswerBuffer } from "./answer_memory.ts";
import type { AnswerMemory, AnswerShare } from "./answer_memory.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { ICompleteEvent } from "./event_splitter.ts";
import type { IServingGroup } from "./serving_groups.ts";
import type { IWatchedStream } from "./silence_limits.ts";
import { CallKind, SendFailure } from "./types.ts";
import type {
  IResponseHead,
  IResponseReceiver,
  ICall,
  ICallReply,
  ISendHandle,
} from "./types.ts";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Sends beyond the route's attempts, for targets that reject the call. */
const EXTRA_SENDS = 3;

/** Sends that may fail to reach a target before the call is abandoned. */
const MAXIMUM_UNDELIVERED_SENDS = 5;

/** Outcome of one send. */
export enum SendOutcome {
  /** The complete response was passed on. */
  Whole = "whole",
  /** The target did not run the call and will not. */
  NotRun = "not_run",
  /** Nothing was written to a target. */
  NotDelivered = "missed",
  /** The target may have run the call, partly or completely. */
  Broken = "broken",
  /** Nothing was written, for lack of a path to the target. */
  Unreachable = "unreachable",
  /** The path was lost; the target may have run the call. */
  PathLost = "path_lost",
}

/** Outcomes after which no target can have run the call. */
const UNSENT: ReadonlySet<SendOutcome> = new Set([
  SendOutcome.NotRun,
  SendOutcome.NotDelivered,
  SendOutcome.Unreachable,
]);

/** Receives the events and the outcomes of a run's sends. */
export interface IModelRunOwner {
  onEvents(run: ModelRun): void;
  onSendEnded(run: ModelRun, end: SendOutcome, detail: string): void;
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

/** The send in progress. */
export interface ICurrentSend {
  readonly group: IServingGroup;
  readonly stream: IWatchedStream;
  readonly sentAt: MonotonicTime;
  /** When its first event arrived; null before. */
  beganAt: MonotonicTime | null;
  /** Whether its complete response was passed on. */
  isWhole: boolean;
}

/** A model call with its sends; receives their responses. */
export class ModelRun implements IResponseReceiver {
  readonly call: ICall;
  readonly reply: ICallReply;
  /** Its queue item; replaced when the call is overdue or has started. */
  queueItem: IWorkItem;
  readonly #owner: IModelRunOwner;
  /** Ends the call at its deadline. */
  deadlineTimer: IDisposable | null = null;
  currentSend: ICurrentSend | null = null;
  isFinished = false;
  /** Groups that this call was sent to. */
  readonly triedGroups = new Set<string>();
  /** Engines that broke it off when they had hardly begun to answer. */
  readonly suspectedTargets = new Set<string>();
  /** Whether a target may have started to run it. */
  mayHaveRun = false;
  #sendHandle: ISendHandle | null = null;
  #sendCount = 0;
  /** Sends of which nothing was written to a target. */
  #undeliveredSends = 0;
  /** Whether the next send already has its retry from the allowance. */
  hasRetryGrant = false;
  #countedTargets = 0;
  #lastEventId: string | null;
  #splitter = new EventSplitter();
  #head: IResponseHead | null = null;
  /** Body of a response that is passed on only when complete. */
  readonly #body: AnswerBuffer;
  /** What the part of an event takes that is not complete. */
  readonly #eventShare: AnswerShare;
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
    },
    owner: IModelRunOwner,
  ) {
    this.call = parts.call;
    this.reply = parts.reply;
    this.queueItem = parts.work;
    this.#owner = owner;
    this.#body = new AnswerBuffer(parts.memory);
    this.#eventShare = parts.memory.createShare();
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

  /** Whether the call may go to another target after a failed send. */
  get canRetry(): boolean {
    return (this.#isRetryable || !this.mayHaveRun) && this.#hasAttempts(0);
  }

  /** Whether the current send may be aborted for another one. */
  get canRetryAfterAbort(): boolean {
    return this.#isRetryable && this.#hasAttempts(1);
  }

  get #isRetryable(): boolean {
    const { isResumable, kind } = this.call.route;
    return isResumable || kind === CallKind.Safe;
  }

  /** @param uncounted - targets that are not counted yet */
  #hasAttempts(uncounted: number): boolean {
    const { maximumAttempts } = this.call.route;
    const delivered = this.#sendCount - this.#undeliveredSends;
    const ran = this.countedTargets + uncounted;
    return (
      ran < maximumAttempts &&
      delivered < maximumAttempts + EXTRA_SENDS &&
      this.#undeliveredSends < MAXIMUM_UNDELIVERED_SENDS
    );
  }

  /** Starts a send; its response comes to this object. */
  startSend(current: ICurrentSend, open: () => ISendHandle): void {
    this.currentSend = current;
    this.#sendCount += 1;
    this.times.firstSentAt ??= current.sentAt;
    this.times.lastSentAt = current.sentAt;
    this.#discardAnswer();
    this.#head = null;
    this.triedGroups.add(current.group.group);
    this.#sendHandle = open();
  }

  /** Aborts the current send; the target may have run it. */
  abort(): void {
    this.#sendHandle?.abort();
    this.#sendHandle = null;
    this.#discardAnswer();
    this.#countTarget();
  }

  onHead(head: IResponseHead): void {
    this.#head = head;
    if (head.isForOtherRequest) {
      this.#abortSend(SendOutcome.Broken, "answer to another request");
    }
  }

  onData(bytes: Uint8Array): void {
    if (!this.#isStream) {
      if (!this.#body.push(bytes)) {
        this.#endTooLong();
      }
      return;
    }
    const events = this.#splitter.push(bytes);
    for (const event of events) {
      this.#passOnEvent(event);
    }
    if (events.length > 0) {
      this.#owner.onEvents(this);
    } else if (this.#splitter.isTooLong || !this.#keepsEvent()) {
      this.#abortSend(SendOutcome.Broken, "event exceeds the size limit");
    }
  }

  /** Whether there is memory for the part of an event that has arrived. */
  #keepsEvent(): boolean {
    return this.#eventShare.resize(this.#splitter.bufferedLength);
  }

  /** A target that has rejected the call has not run it, whatever follows. */
  #endTooLong(): void {
    const end = this.#head?.isNotRun ? SendOutcome.NotRun : SendOutcome.Broken;
    this.#abortSend(end, "answer exceeds the size limit");
  }

  #discardAnswer(): void {
    this.#splitter = new EventSplitter();
    this.#body.dispose();
    this.#eventShare.dispose();
  }

  onEnd(): void {
    const head = this.#head;
    if (head === null) {
      this.#abortSend(SendOutcome.Broken, "response ended without a head");
    } else if (head.isNotRun) {
      this.#abortSend(SendOutcome.NotRun, `status ${head.status}`);
    } else if (!this.#isStream) {
      this.#passOnComplete(head);
    } else if (this.#splitter.hasPartialEvent) {
      this.#abortSend(SendOutcome.Broken, "response ended within an event");
    } else {
      this.#startReply(head);
      this.#endSend(SendOutcome.Whole, "");
    }
  }

  onFailure(failure: SendFailure, detail: string): void {
    if (failure === SendFailure.NotSent) {
      this.#undeliveredSends += 1;
      this.#endSend(SendOutcome.NotDelivered, detail);
    } else if (failure === SendFailure.Withheld) {
      this.#undeliveredSends += 1;
      this.#endSend(SendOutcome.NotRun, detail);
    } else if (failure === SendFailure.Unreachable) {
      this.#undeliveredSends += 1;
      this.#endSend(SendOutcome.Unreachable, detail);
    } else if (failure === SendFailure.PathLost) {
      this.#endSend(SendOutcome.PathLost, detail);
    } else {
      this.#endSend(SendOutcome.Broken, detail);
    }
  }

  /** Events are passed on as they arrive, other responses when complete. */
  get #isStream(): boolean {
    const status = this.#head?.status ?? 0;
    const isSuccess = status >= STATUS_OK && status < STATUS_REDIRECT;
    return isSuccess && this.call.route.kind === CallKind.Stream;
  }

  #passOnEvent(event: ICompleteEvent): void {
    this.mayHaveRun = true;
    if (this.#isDuplicate(event)) {
      return;
    }
    if (this.#head !== null) {
      this.#startReply(this.#head);
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

  #passOnComplete(head: IResponseHead): void {
    this.mayHaveRun = true;
    if (this.reply.isStarted) {
      this.#abortSend(
        SendOutcome.Broken,
        `status ${head.status} on resumption`,
      );
      return;
    }
    const { chunks, length } = this.#body;
    this.#body.dispose();
    this.reply.start(head, length);
    for (const bytes of chunks) {
      this.reply.write(bytes);
    }
    this.#endSend(SendOutcome.Whole, `status ${head.status}`);
  }

  /** Aborts the request, if it still runs, and ends the send. */
  #abortSend(end: SendOutcome, detail: string): void {
    this.#sendHandle?.abort();
    this.#endSend(end, detail);
  }

  #countTarget(): void {
    this.#countedTargets += 1;
    this.mayHaveRun = true;
  }

  #endSend(end: SendOutcome, detail: string): void {
    this.#sendHandle = null;
    this.#discardAnswer();
    if (!UNSENT.has(end)) {
      this.#countTarget();
    }
    this.#owner.onSendEnded(this, end, detail);
  }
}
