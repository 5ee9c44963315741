/**
 * A conditional write of a domain record that is not settled yet.
 *
 * A write whose answer was lost may still be in flight after a read has
 * returned the old version. If it were forgotten then, it could land later and
 * install groups that the holder, which sends orders by its last read, does not
 * know. So a write in doubt is sent again with the same content until a newer
 * version has been seen: after that no earlier write can take effect.
 */
import type { MonotonicTime } from "../types.ts";
import type { IDomainRecord } from "./types.ts";

/** The known state of a write. */
export enum WriteState {
  /** Sent; waiting for the answer. */
  Sent = "sent",
  /** An answer was lost: it may have taken effect, or may still do so. */
  InDoubt = "in_doubt",
  /** The record's version had changed; the current one must be read. */
  Conflicted = "conflicted",
}

/** The content of a write. */
export interface IWriteContent {
  readonly record: IDomainRecord;
  /** Null creates the object. */
  readonly expectedVersion: number | null;
  /** Whether it changes the groups or releases the lease. */
  readonly isChange: boolean;
}

/** One write from its first request until it is settled. */
export class PendingWrite {
  readonly content: IWriteContent;
  /**
   * When it was first sent: whichever request took effect, the lease counts
   * from here.
   */
  readonly sentAt: MonotonicTime;
  #state = WriteState.Sent;
  #wasInDoubt = false;
  #lastAttempt: MonotonicTime;

  constructor(content: IWriteContent, now: MonotonicTime) {
    this.content = content;
    this.sentAt = now;
    this.#lastAttempt = now;
  }

  get state(): WriteState {
    return this.#state;
  }

  /** Whether the stored groups may differ from those last seen. */
  get blocksOrders(): boolean {
    return this.content.isChange || this.#state === WriteState.Conflicted;
  }

  isAttempt(attempt: string): boolean {
    return this.content.record.attempt === attempt;
  }

  /** Records that an answer was lost. */
  markInDoubt(): void {
    this.#wasInDoubt = true;
    this.#state = WriteState.InDoubt;
  }

  markConflicted(): void {
    this.#state = WriteState.Conflicted;
  }

  /**
   * Records that the last request had no effect; returns whether an earlier one
   * may still take effect.
   */
  handleFailure(): boolean {
    this.#state = this.#wasInDoubt ? WriteState.InDoubt : this.#state;
    return this.#wasInDoubt;
  }

  /** Whether to try to settle it now; at most once per period. */
  isDue(now: MonotonicTime, period: number): boolean {
    if (this.#state === WriteState.Sent || now - this.#lastAttempt < period) {
      return false;
    }
    this.#lastAttempt = now;
    return true;
  }

  /** Records that it is sent again. */
  markResent(): void {
    this.#state = WriteState.Sent;
  }
}
