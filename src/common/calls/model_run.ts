/**
 * One model call from its arrival to its answer: its sends, what the caller
 * has of the answer, and whether it may be sent once more.
 */
import type { IWork } from "../decisions/work.ts";
import type { IDisposable } from "../disposable.ts";
import type { MonotonicTime } from "../types.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { IWholeEvent } from "./event_splitter.ts";
import type { IServingGroup } from "./serving_groups.ts";
import type { IWatchedStream } from "./silence_limits.ts";
import { CallKind, SendFailure } from "./types.ts";
import type {
  IAnswerHead,
  IAnswerReceiver,
  ICall,
  ICallReply,
  IOpenSend,
} from "./types.ts";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Sends beyond those that ran; each found its group standing still. */
const EXTRA_SENDS = 3;

/** Sends that may reach no target at all before a call is given up. */
const MOST_MISSED_SENDS = 5;

/** How one send ended. */
export enum SendEnd {
  /** The answer was passed on whole. */
  Whole = "whole",
  /** The target has not run it and will not. */
  NotRun = "not_run",
  /** Nothing of it reached a target. */
  Missed = "missed",
  /** It may have run, in part or whole. */
  Broken = "broken",
}

/** Hears how the sends of a run end. */
export interface IModelRunOwner {
  heard(run: ModelRun): void;
  sendEnded(run: ModelRun, end: SendEnd, detail: string): void;
  /** Whether a group was found lost: nothing begins to run there. */
  isLost(group: string): boolean;
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
  readonly watched: IWatchedStream;
  readonly sentAt: MonotonicTime;
}

/** One model call. */
export class ModelRun implements IAnswerReceiver {
  readonly call: ICall;
  readonly reply: ICallReply;
  /** As the queue knows it; another once the answer has begun. */
  work: IWork;
  readonly #owner: IModelRunOwner;
  /** Ends the call at its deadline. */
  deadlineTimer: IDisposable | null = null;
  current: ICurrentSend | null = null;
  isOver = false;
  /** Groups that this call was sent to. */
  readonly tried = new Set<string>();
  /** Whether a target may have begun to run it. */
  mayHaveRun = false;
  #send: IOpenSend | null = null;
  #sends = 0;
  /** Sends of which nothing was written to a target. */
  #missedSends = 0;
  /** Whether a repeat was taken from the allowance for the next send. */
  hasRepeat = false;
  #targetsThatRan = 0;
  /**
   * Groups that were left for their silence before any event. One that only
   * was slow may have begun to run the call all the same.
   */
  readonly #leftSilent: string[] = [];
  #lastEvent: string | null;
  #splitter = new EventSplitter();
  #head: IAnswerHead | null = null;
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
      readonly work: IWork;
    },
    owner: IModelRunOwner,
  ) {
    this.call = parts.call;
    this.reply = parts.reply;
    this.work = parts.work;
    this.#owner = owner;
    this.#lastEvent = parts.call.lastEvent;
  }

  get lastEvent(): string | null {
    return this.#lastEvent;
  }

  /** Events that the caller was sent. */
  get events(): number {
    return this.#events;
  }

  get sends(): number {
    return this.#sends;
  }

  /** Whether a target may have received the call. */
  get hasArrived(): boolean {
    return this.#sends > this.#missedSends;
  }

  /** Whether another target may be sent the call after this one failed. */
  get mayGoOn(): boolean {
    return (this.#isRepeatable || !this.mayHaveRun) && this.#hasAttempts(0);
  }

  /** Whether the present send may be given up for another. */
  get mayGoOnAfterAbort(): boolean {
    const group = this.current?.group.group ?? "";
    const isCounted = this.#hasEvents || this.#owner.isLost(group);
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
      (group) => !this.#owner.isLost(group),
    );
    const ran = this.#targetsThatRan + mayHaveBegun.length + uncounted;
    return (
      ran < maximumAttempts &&
      arrived < maximumAttempts + EXTRA_SENDS &&
      this.#missedSends < MOST_MISSED_SENDS
    );
  }

  /** A send begins; its events come to this object. */
  begin(current: ICurrentSend, open: () => IOpenSend): void {
    this.current = current;
    this.#sends += 1;
    this.times.firstSentAt ??= current.sentAt;
    this.#splitter = new EventSplitter();
    this.#head = null;
    this.#collected = [];
    this.#hasEvents = false;
    this.tried.add(current.group.group);
    this.#send = open();
  }

  /** Gives the present send up; it may have run. */
  abort(): void {
    this.#send?.abort();
    if (!this.#hasEvents && this.current !== null) {
      this.#leftSilent.push(this.current.group.group);
    }
    this.#send = null;
    this.mayHaveRun = true;
  }

  head(head: IAnswerHead): void {
    this.#head = head;
    if (head.isForeign) {
      this.#giveUp(SendEnd.Broken, "answer to another request");
    }
  }

  piece(bytes: Uint8Array): void {
    if (!this.#isStream) {
      this.#collected.push(bytes);
      return;
    }
    const events = this.#splitter.take(bytes);
    for (const event of events) {
      this.#pass(event);
    }
    if (events.length > 0) {
      this.#owner.heard(this);
    } else if (this.#splitter.isTooLong) {
      this.#giveUp(SendEnd.Broken, "event without end");
    }
  }

  ended(): void {
    const head = this.#head;
    if (head === null) {
      this.#giveUp(SendEnd.Broken, "ended without a head");
    } else if (head.isNotRun) {
      this.#giveUp(SendEnd.NotRun, `status ${head.status}`);
    } else if (!this.#isStream) {
      this.#passWhole(head);
    } else if (this.#splitter.hasRest) {
      this.#giveUp(SendEnd.Broken, "ended within an event");
    } else {
      this.#beginReply(head);
      this.#finish(SendEnd.Whole, "");
    }
  }

  failed(failure: SendFailure, detail: string): void {
    if (failure === SendFailure.NotSent) {
      this.#missedSends += 1;
      this.#finish(SendEnd.Missed, detail);
    } else {
      this.#finish(SendEnd.Broken, detail);
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
    this.reply.piece(event.bytes);
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
  #beginReply(head: IAnswerHead): void {
    if (!this.reply.isBegun) {
      this.reply.begin(head, null);
    }
  }

  #passWhole(head: IAnswerHead): void {
    this.mayHaveRun = true;
    if (this.reply.isBegun) {
      this.#targetsThatRan += 1;
      this.#giveUp(SendEnd.Broken, `status ${head.status} on resuming`);
      return;
    }
    const length = this.#collected.reduce((sum, { length }) => sum + length, 0);
    this.reply.begin(head, length);
    for (const bytes of this.#collected) {
      this.reply.piece(bytes);
    }
    this.#finish(SendEnd.Whole, `status ${head.status}`);
  }

  #giveUp(end: SendEnd, detail: string): void {
    this.#send?.abort();
    this.#finish(end, detail);
  }

  #finish(end: SendEnd, detail: string): void {
    this.#send = null;
    if (end !== SendEnd.NotRun && end !== SendEnd.Missed) {
      this.mayHaveRun = true;
    }
    this.#owner.sendEnded(this, end, detail);
  }
}
