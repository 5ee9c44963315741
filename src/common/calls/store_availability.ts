/**
 * Judges from the answers of the platform's store whether it has been away for
 * so long that entries can have expired although their targets are alive.
 *
 * A watch that is cut off or rejected shows nothing of that while the store
 * answers the list that follows. What counts is that a list fails, that an
 * answer without any new write is overdue, that nothing was read for a while, or
 * that entries are removed while no target at all writes heartbeats which were
 * seen before. A store may show no heartbeat that changes nothing else.
 *
 * One process may be cut off from a store that serves all others. So processes
 * tell each other how long the store has answered without a gap, and an entry
 * that was removed meanwhile has not expired by an outage, whatever a single
 * process has missed.
 */
import type { IServiceSpan } from "../relay/types.ts";
import type { MonotonicTime } from "../types.ts";

/**
 * Heartbeats of a target that fit into an outage before its entry can expire:
 * it expires after three without one, and the last may have just been written.
 */
const HEARTBEATS_IN_OUTAGE = 2;

/** Heartbeat intervals by which a usual answer may be late. */
const USUAL_DELAY = 0.5;

/**
 * Heartbeats from the last write of all targets until their entries have
 * expired in an outage, with what an answer takes to show it.
 */
const HEARTBEATS_UNTIL_EXPIRED = 5;

/** Heartbeats over which the share of targets that write is averaged. */
const SHOWN_OVER_HEARTBEATS = 4;

/** Share of the targets whose writes are seen if heartbeats are shown at all. */
const SHOWN_SHARE = 0.5;

/** A call to the store that has ended. */
export interface IStoreCall {
  readonly sentAt: MonotonicTime;
  /** Milliseconds that the store was asked to wait; 0 for a list. */
  readonly wait: number;
  readonly isList: boolean;
}

/** What an answer of the store shows of the targets. */
export interface IAnswerContent {
  /** Share of the known entries that were written since the answer before. */
  readonly writtenShare: number;
  readonly hasRemovals: boolean;
  /** What was written is later than this time. */
  readonly notBefore: MonotonicTime;
}

/** What is known of the store's outages. */
export interface IStoreTimes {
  /** When the store was last read, by this process or by another one. */
  readonly readAt: MonotonicTime;
  /**
   * End of the last outage in which targets missed their chance to write;
   * negative infinity before the first.
   */
  readonly returnedAt: MonotonicTime;
  /** End of the last interruption, be it as short as it may. */
  readonly interruptedUntil: MonotonicTime;
  /** The last time of service that any process knows of; null for none. */
  readonly service: IServiceTime | null;
  /** Since when it serves without a gap; now if it may not have until now. */
  servesSince(now: MonotonicTime): MonotonicTime;
  /** Whether the store has served without a gap between two times. */
  hasServed(from: MonotonicTime, until: MonotonicTime): boolean;
}

/**
 * A time in which the store has answered without a gap in which entries expire,
 * and targets wrote, where the store shows that.
 */
export interface IServiceTime {
  readonly from: MonotonicTime;
  readonly until: MonotonicTime;
}

/** Availability of the store, as one process has seen it. */
export class StoreAvailability implements IStoreTimes {
  /** Milliseconds between two heartbeats of a target. */
  readonly #heartbeat: number;
  #readAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** Since when an entry was written, or the store was read by another process. */
  #writtenAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #returnedAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #interruptedUntil: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** Share of the targets whose heartbeats were seen, averaged. */
  #shownShare = 0;
  /** As this process has read it; null if that is not known. */
  #ownService: IServiceTime | null = null;
  /** The same, as other processes have read it. */
  #othersService: IServiceTime | null = null;
  /** First failure since the last answer; null for none. */
  #failedSince: MonotonicTime | null = null;
  /** Whether a call has failed that a store in service answers. */
  #isInterrupted = false;

  constructor(heartbeat: number) {
    this.#heartbeat = heartbeat;
  }

  get readAt(): MonotonicTime {
    return this.#readAt;
  }

  get returnedAt(): MonotonicTime {
    return this.#returnedAt;
  }

  get interruptedUntil(): MonotonicTime {
    return this.#interruptedUntil;
  }

  get service(): IServiceTime | null {
    const own = this.#ownService;
    const others = this.#othersService;
    return own && others ? this.#join(own, others) : (own ?? others);
  }

  servesSince(now: MonotonicTime): MonotonicTime {
    const { service } = this;
    const isCurrent = service && !this.#isLongGap(now - service.until);
    return isCurrent ? service.from : now;
  }

  hasServed(from: MonotonicTime, until: MonotonicTime): boolean {
    const { service } = this;
    return (
      service !== null &&
      service.from <= from &&
      !this.#isLongGap(until - service.until)
    );
  }

  recordFailure(call: IStoreCall, now: MonotonicTime): void {
    const isLate = now - call.sentAt - call.wait >= this.#usualDelay;
    this.#failedSince ??= isLate ? call.sentAt : now;
    this.#isInterrupted ||= call.isList || isLate;
  }

  /** Returns whether the answer is the first one after an outage. */
  recordAnswer(
    call: IStoreCall,
    content: IAnswerContent,
    now: MonotonicTime,
  ): boolean {
    const isFirst = this.#writtenAt === Number.NEGATIVE_INFINITY;
    if (isFirst) {
      this.#writtenAt = now;
    } else if (content.writtenShare > 0) {
      this.#writtenAt = Math.max(this.#writtenAt, content.notBefore);
      // After a gap, entries that return are no sign of heartbeats.
      if (!this.#isLongGap(now - this.#readAt)) {
        this.#averageShown(content.writtenShare, now - this.#readAt);
      }
    }
    const isInterrupted = this.#isInterrupted;
    const isReturn = this.#isReturn(call, content, now);
    this.#readAt = now;
    this.#updateService(isReturn, now);
    this.clearFailures();
    if (isReturn) {
      this.#returnedAt = now;
    }
    if (isReturn || isInterrupted) {
      this.#interruptedUntil = now;
    }
    return isReturn;
  }

  /**
   * Records what another process has read, which this one uses.
   *
   * @param returnedAt - end of the last outage that it has seen
   */
  recordRelayed(readAt: MonotonicTime, returnedAt: MonotonicTime): void {
    this.#readAt = Math.max(this.#readAt, readAt);
    this.#writtenAt = Math.max(this.#writtenAt, readAt);
    this.#returnedAt = Math.max(this.#returnedAt, returnedAt);
    this.#interruptedUntil = Math.max(this.#interruptedUntil, returnedAt);
  }

  /**
   * Records for how long the store has served, as another process knows.
   *
   * @param times - between which it was stated: only what is certain is used
   */
  recordService(
    { age, length }: IServiceSpan,
    times: { readonly notBefore: MonotonicTime; readonly now: MonotonicTime },
  ): void {
    const from = times.now - age - length;
    const until = times.notBefore - age;
    const known = this.#othersService;
    if (from <= until) {
      const time = { from, until };
      this.#othersService = known ? this.#join(known, time) : time;
    }
  }

  /** Forgets own failures: another process reads the store in their place. */
  clearFailures(): void {
    this.#failedSince = null;
    this.#isInterrupted = false;
  }

  #isReturn(
    call: IStoreCall,
    content: IAnswerContent,
    now: MonotonicTime,
  ): boolean {
    const failedFor = now - (this.#failedSince ?? now);
    const wasDown = this.#isInterrupted && failedFor >= this.#usualDelay;
    const isUnread = failedFor > 0 && this.#isLongGap(now - this.#readAt);
    const isUnwritten = content.hasRemovals && this.#isUnwritten(now);
    const isOverdue = this.#isOverdue(call, content, now);
    return wasDown || isUnread || isUnwritten || isOverdue;
  }

  /** The store serves targets only until they should have written again. */
  #updateService(isReturn: boolean, now: MonotonicTime): void {
    const until = this.#areHeartbeatsShown(now)
      ? Math.min(now, this.#writtenAt + this.#heartbeat)
      : now;
    const answered = isReturn ? instant(now) : instant(until);
    const known = isReturn ? null : this.#ownService;
    this.#ownService = known ? this.#join(known, answered) : answered;
  }

  /**
   * Averages over the answers that show writes: there are none in an outage, and
   * a store may show no heartbeats that change nothing else.
   */
  #averageShown(writtenShare: number, time: number): void {
    const heartbeats = Math.max(0, time) / this.#heartbeat;
    const share = Math.min(1, writtenShare / Math.min(1, heartbeats));
    const weight = Math.min(1, heartbeats / SHOWN_OVER_HEARTBEATS);
    this.#shownShare += weight * (share - this.#shownShare);
  }

  #areHeartbeatsShown(now: MonotonicTime): boolean {
    const heartbeats = (now - this.#writtenAt) / this.#heartbeat;
    const isRecent = heartbeats < HEARTBEATS_UNTIL_EXPIRED;
    return isRecent && this.#shownShare >= SHOWN_SHARE;
  }

  /** Whether no target has written for long, although writes would be seen. */
  #isUnwritten(now: MonotonicTime): boolean {
    return (
      this.#areHeartbeatsShown(now) && this.#isLongGap(now - this.#writtenAt)
    );
  }

  /** Both times if no gap is between them, else the later one. */
  #join(one: IServiceTime, other: IServiceTime): IServiceTime {
    const [first, last] =
      one.until <= other.until ? [one, other] : [other, one];
    return !this.#isLongGap(last.from - first.until)
      ? { from: Math.min(first.from, last.from), until: last.until }
      : last;
  }

  get #usualDelay(): number {
    return this.#heartbeat * USUAL_DELAY;
  }

  #isLongGap(time: number): boolean {
    return time >= HEARTBEATS_IN_OUTAGE * this.#heartbeat;
  }

  /** An answer with new writes is late because this process read it late. */
  #isOverdue(
    { sentAt, wait }: IStoreCall,
    { writtenShare }: IAnswerContent,
    now: MonotonicTime,
  ): boolean {
    return writtenShare === 0 && now - sentAt - wait >= this.#usualDelay;
  }
}

function instant(time: MonotonicTime): IServiceTime {
  return { from: time, until: time };
}
