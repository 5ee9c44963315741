/**
 * One model call from its arrival to its answer: its sends, what the caller
 * has of the answer, and whether it may be sent once more.
 */
import type { IWorkItem } from "../decisions/work_item.ts";
import type { IDisposable } from "../disposable.ts";
import type { MonotonicTime } from "../types.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { IWholeEvent } from "./event_splitter.ts";
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

/** Sends beyond those that ran; each found its group standing still. */
const EXTRA_SENDS = 3;

/** Sends that may reach no target at all before a call is given up. */
const MOST_MISSED_SENDS = 5;

/** How one send ended. */
export enum SendOutcome {
  /** The answer was passed on whole. */
  Whole = "whole",
  /** The target has not run it and will not. */
  NotRun = "not_run",
  /** Nothing of it reached a target. */
  NotDelivered = "missed",
  /** It may have run, in part or whole. */
  Broken = "broken",
}

/** Hears how the sends of a run end. */
export interface IModelRunOwner {
  onEvents(run: ModelRun): void;
  onSendEnded(run: ModelRun, end: SendOutcome, detail: string): void;
  /** Whether a group was found lost: nothing begins to run there. */
  isLostGroup(group: string): boolean;
}

/** Moments of a run, for its log line. */
export interface IRunTimes {
  firstSentAt: MonotonicTime | null;
  firstEventAt: MonotonicTime | null;
  lastEventAt: MonotonicTime | null;
  /** Longest time between two events that the caller got. */
  longestPause: number;
}

/** One send on its way. */
export interface ICurrentSend {
  readonly group: IServingGroup;
  readonly stream: IWatchedStream;
  readonly sentAt: MonotonicTime;
}

/** One model call. */
export class ModelRun implements IResponseReceiver {
  readonly call: ICall;
  readonly reply: ICallReply;
  /** As the queue knows it; another once the answer has begun. */
  queueItem: IWorkItem;
  readonly #owner: IModelRunOwner;
  /** Ends the call at its deadline. */
  deadlineTimer: IDisposable | null = null;
  currentSend: ICurrentSend | null = null;
  isFinished = false;
  /** Groups that this call was sent to. */
  readonly triedGroups = new Set<string>();
  /** Whether a target may have begun to run it. */
  mayHaveRun = false;
  #send: ISendHandle | null = null;
  #sends = 0;
  /** Sends of which nothing was written to a target. */
  #missedSends = 0;
  /** Whether a repeat was taken from the allowance for the next send. */
  hasRetryGrant = false;
  #targetsThatRan = 0;
  /**
   * Groups that were left for their silence before any event. One that only
   * was slow may have begun to run the call all the same.
   */
  readonly #leftSilent: string[] = [];
  #lastEvent: string | null;
  #splitter = new EventSplitter();
  #head: IResponseHead | null = null;
  /** The body of an answer that is passed on whole only. */
  #collected: Uint8Array[] = [];
  #hasEvents = false;
  #events = 0;
  readonly times: IRunTimes = {
    firstSentAt: null,
    firstEventAt: null,
    lastEventAt: null,
    longestPause: 0,
  };

  constructor(
    parts: {
      readonly call: ICall;
      readonly reply: ICallReply;
      readonly work: IWorkItem;
    },
    owner: IModelRunOwner,
  ) {
    this.call = parts.call;
    this.reply = parts.reply;
    this.queueItem = parts.work;
    this.#owner = owner;
    this.#lastEvent = parts.call.lastEventId;
  }

  get lastEventId(): string | null {
    return this.#lastEvent;
  }

  /** Events that the caller was sent. */
  get eventCount(): number {
    return this.#events;
  }

  get sendCount(): number {
    return this.#sends;
  }

  /** Whether a target may have received the call. */
  get mayHaveReachedTarget(): boolean {
    return this.#sends > this.#missedSends;
  }

  /** Whether another target may be sent the call after this one failed. */
  get canRetry(): boolean {
    return (this.#isRepeatable || !this.mayHaveRun) && this.#hasAttempts(0);
  }

  /** Whether the present send may be given up for another. */
  get canRetryAfterAbort(): boolean {
    const group = this.currentSend?.group.group ?? "";
    const isCounted = this.#hasEvents || this.#owner.isLostGroup(group);
    return this.#isRepeatable && this.#hasAttempts(isCounted ? 0 : 1);
  }

  get #isRepeatable(): boolean {
    const { isResumable, kind } = this.call.route;
    return isResumable || kind === CallKind.Safe;
  }

  /** @param uncounted - targets besides that may have begun to run it */
  #hasAttempts(uncounted: number): boolean {
    const { maximumAttempts } = this.call.route;
    const arrived = this.#sends - this.#missedSends;
    const mayHaveBegun = this.#leftSilent.filter(
      (group) => !this.#owner.isLostGroup(group),
    );
    const ran = this.#targetsThatRan + mayHaveBegun.length + uncounted;
    return (
      ran < maximumAttempts &&
      arrived < maximumAttempts + EXTRA_SENDS &&
      this.#missedSends < MOST_MISSED_SENDS
    );
  }

  /** A send begins; its events come to this object. */
  startSend(current: ICurrentSend, open: () => ISendHandle): void {
    this.currentSend = current;
    this.#sends += 1;
    this.times.firstSentAt ??= current.sentAt;
    this.#splitter = new EventSplitter();
    this.#head = null;
    this.#collected = [];
    this.#hasEvents = false;
    this.triedGroups.add(current.group.group);
    this.#send = open();
  }

  /** Gives the present send up; it may have run. */
  abort(): void {
    this.#send?.abort();
    if (!this.#hasEvents && this.currentSend !== null) {
      this.#leftSilent.push(this.currentSend.group.group);
    }
    this.#send = null;
    this.mayHaveRun = true;
  }

  onHead(head: IResponseHead): void {
    this.#head = head;
    if (head.isForOtherRequest) {
      this.#giveUp(SendOutcome.Broken, "answer to another request");
    }
  }

  onData(bytes: Uint8Array): void {
    if (!this.#isStream) {
      this.#collected.push(bytes);
      return;
    }
    const events = this.#splitter.push(bytes);
    for (const event of events) {
      this.#pass(event);
    }
    if (events.length > 0) {
      this.#owner.onEvents(this);
    } else if (this.#splitter.isTooLong) {
      this.#giveUp(SendOutcome.Broken, "event without end");
    }
  }

  onEnd(): void {
    const head = this.#head;
    if (head === null) {
      this.#giveUp(SendOutcome.Broken, "ended without a head");
    } else if (head.isNotRun) {
      this.#giveUp(SendOutcome.NotRun, `status ${head.status}`);
    } else if (!this.#isStream) {
      this.#passWhole(head);
    } else if (this.#splitter.hasPartialEvent) {
      this.#giveUp(SendOutcome.Broken, "ended within an event");
    } else {
      this.#beginReply(head);
      this.#finish(SendOutcome.Whole, "");
    }
  }

  onFailure(failure: SendFailure, detail: string): void {
    if (failure === SendFailure.NotSent) {
      this.#missedSends += 1;
      this.#finish(SendOutcome.NotDelivered, detail);
    } else {
      this.#finish(SendOutcome.Broken, detail);
    }
  }

  /** Events are passed on as they come; any other answer once it is whole. */
  get #isStream(): boolean {
    const status = this.#head?.status ?? 0;
    const isSuccess = status >= STATUS_OK && status < STATUS_REDIRECT;
    return isSuccess && this.call.route.kind === CallKind.Stream;
  }

  #pass(event: IWholeEvent): void {
    if (!this.#hasEvents) {
      this.#hasEvents = true;
      this.#targetsThatRan += 1;
      this.mayHaveRun = true;
    }
    if (this.#isKnown(event)) {
      return;
    }
    if (this.#head !== null) {
      this.#beginReply(this.#head);
    }
    this.reply.write(event.bytes);
    this.#events += 1;
    this.#lastEvent = event.id ?? this.#lastEvent;
  }

  /** Whether the caller has the event already. */
  #isKnown(event: IWholeEvent): boolean {
    if (event.id === null || this.#lastEvent === null) {
      return false;
    }
    return Number(event.id) <= Number(this.#lastEvent);
  }

  /** The answer keeps the head of its first target. */
  #beginReply(head: IResponseHead): void {
    if (!this.reply.isStarted) {
      this.reply.start(head, null);
    }
  }

  #passWhole(head: IResponseHead): void {
    this.mayHaveRun = true;
    if (this.reply.isStarted) {
      this.#targetsThatRan += 1;
      this.#giveUp(SendOutcome.Broken, `status ${head.status} on resuming`);
      return;
    }
    const length = this.#collected.reduce((sum, { length }) => sum + length, 0);
    this.reply.start(head, length);
    for (const bytes of this.#collected) {
      this.reply.write(bytes);
    }
    this.#finish(SendOutcome.Whole, `status ${head.status}`);
  }

  #giveUp(end: SendOutcome, detail: string): void {
    this.#send?.abort();
    this.#finish(end, detail);
  }

  #finish(end: SendOutcome, detail: string): void {
    this.#send = null;
    if (end !== SendOutcome.NotRun && end !== SendOutcome.NotDelivered) {
      this.mayHaveRun = true;
    }
    this.#owner.onSendEnded(this, end, detail);
  }
}
