/**
 * A conditional write of a domain record that is not settled yet.
 *
 * What goes wrong without it: a write whose answer was lost may still be on
 * its way after a read has shown the old version. Were it forgotten then, it
 * could land later and put groups in force that the holder, ordering by what
 * it last read, knows nothing of. So a write in doubt is sent again with the
 * same content until a newer version has been seen: after that no earlier
 * write can take effect any more.
 */
import type { MonotonicTime } from "../types.ts";
import type { IDomainRecord } from "./types.ts";

/** What is known of a write. */
export enum WriteState {
  /** Sent; the answer is awaited. */
  Sent = "sent",
  /** An answer was lost: it may have taken effect, or still may. */
  InDoubt = "in_doubt",
  /** The record had moved on; what it is now must be read. */
  Conflicted = "conflicted",
}

/** What a write carries. */
export interface IWriteContent {
  readonly record: IDomainRecord;
  /** Null creates the object. */
  readonly expectedVersion: number | null;
  /** Whether the groups differ from those last seen. */
  readonly isChange: boolean;
}

/** One write from its first sending until it is settled. */
export class PendingWrite {
  readonly content: IWriteContent;
  /** The first sending: whichever took effect, the lease counts from here. */
  readonly sentAt: MonotonicTime;
  #state = WriteState.Sent;
  #wasLost = false;
  #lastTry: MonotonicTime;

  constructor(content: IWriteContent, now: MonotonicTime) {
    this.content = content;
    this.sentAt = now;
    this.#lastTry = now;
  }

  get state(): WriteState {
    return this.#state;
  }

  /** Whether orders by the record last seen could be against the truth. */
  get blocksOrders(): boolean {
    return this.content.isChange || this.#state === WriteState.Conflicted;
  }

  isAttempt(attempt: string): boolean {
    return this.content.record.attempt === attempt;
  }

  /** An answer was lost. */
  markInDoubt(): void {
    this.#wasLost = true;
    this.#state = WriteState.InDoubt;
  }

  markConflicted(): void {
    this.#state = WriteState.Conflicted;
  }

  /** This sending had no effect; says whether an earlier one still may. */
  handleFailure(): boolean {
    this.#state = this.#wasLost ? WriteState.InDoubt : this.#state;
    return this.#wasLost;
  }

  /** Whether to try to settle it now; at most once in each period. */
  isDue(now: MonotonicTime, period: number): boolean {
    if (this.#state === WriteState.Sent || now - this.#lastTry < period) {
      return false;
    }
    this.#lastTry = now;
    return true;
  }

  /** It is being sent again. */
  markResent(): void {
    this.#state = WriteState.Sent;
  }
}
