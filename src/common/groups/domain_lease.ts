/**
 * The lease on a fabric domain's record, as a state machine without side
 * effects. Without it two daemons would order the same engines into two groups.
 *
 * Clocks are never compared: an observer takes over once it has seen the same
 * version for the lease time plus a margin on its own clock; a holder counts
 * from the moment it *sent* the last renewal that succeeded. A process that was
 * paused beyond its lease still assumes that it holds it, so a gap between two
 * ticks suspends the lease until a renewal succeeds.
 */
import { getInitialSnapshot, getNextSnapshot } from "xstate";
import type { DaemonId, DomainName, MonotonicTime } from "../types.ts";
import { LEASE_MACHINE, LeaseEvent, LeaseState } from "./lease_machine.ts";
import { PendingWrite, WriteState } from "./pending_write.ts";
import type { IWriteContent } from "./pending_write.ts";
import { LeaseActionKind } from "./types.ts";
import type {
  IDomainRecord,
  ILeaseTiming,
  IVersionedRecord,
  LeaseAction,
} from "./types.ts";

/** Share of the renewal period after which a write in doubt is retried. */
const SETTLE_SHARE = 0.25;

/** The record of a domain that has none yet. */
function emptyRecord(domain: DomainName): IDomainRecord {
  return {
    domain,
    epoch: 0,
    holder: null,
    attempt: "",
    nextGroup: 1,
    groups: [],
  };
}

/** One daemon's view of one domain's lease. */
export class DomainLease {
  readonly #daemon: DaemonId;
  readonly #domain: DomainName;
  readonly #timing: ILeaseTiming;
  readonly #bidDelay: () => number;
  #snapshot = getInitialSnapshot(LEASE_MACHINE);
  #lastSeen: IVersionedRecord | null = null;
  #seenSince: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** When a read last returned the same version again. */
  #confirmedAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #heldUntil: MonotonicTime = Number.NEGATIVE_INFINITY;
  #renewAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #lastTick: MonotonicTime | null = null;
  #pending: PendingWrite | null = null;
  #attempts = 0;
  /** A holder whose process is known to have ended. */
  #endedHolder: DaemonId | null = null;
  /** Since when it could take the lease over; null while it cannot. */
  #freeSince: MonotonicTime | null = null;
  /** Since when reads have found no object; null while there is one. */
  #absentSince: MonotonicTime | null = null;

  /**
   * @param bidDelay - milliseconds for which it leaves a free lease to others
   */
  constructor(
    daemon: DaemonId,
    domain: DomainName,
    timing: ILeaseTiming,
    bidDelay: () => number = () => 0,
  ) {
    this.#daemon = daemon;
    this.#domain = domain;
    this.#timing = timing;
    this.#bidDelay = bidDelay;
  }

  /** The newest record seen; null before the first read. */
  get lastSeen(): IVersionedRecord | null {
    return this.#lastSeen;
  }

  get state(): LeaseState {
    return this.#snapshot.value as LeaseState;
  }

  /**
   * Whether an order sent now is covered by the lease and follows the current
   * groups: not while a change to them is unsettled.
   */
  mayOrder(now: MonotonicTime): boolean {
    return (
      this.state === LeaseState.Holding &&
      now < this.#heldUntil - this.#timing.safetyMargin &&
      !this.#isPaused(now) &&
      !this.#pending?.blocksOrders
    );
  }

  /**
   * Advances the time. Call it at least once in every half of the pause bound.
   */
  tick(now: MonotonicTime): readonly LeaseAction[] {
    const before = this.state;
    if (this.#isPaused(now)) {
      this.#dispatch(LeaseEvent.Paused);
      this.#renewAt = now;
    }
    this.#lastTick = now;
    const isOver = now >= this.#heldUntil - this.#timing.safetyMargin;
    if (isOver && before === LeaseState.Holding) {
      this.#dispatch(LeaseEvent.Lapsed);
    }
    return [...this.#holdingChange(before), ...this.#writeIfDue(now)];
  }

  /** Handles a record from a read or a watch; null when there is none. */
  observe(
    seen: IVersionedRecord | null,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (seen === null) {
      this.#absentSince ??= now;
      return [];
    }
    this.#absentSince = null;
    const known = this.#lastSeen?.version ?? -1;
    if (seen.version === known) {
      this.#confirmedAt = now;
    }
    if (seen.version <= known) {
      return [];
    }
    const before = this.state;
    this.#lastSeen = seen;
    this.#seenSince = now;
    const pending = this.#pending;
    this.#pending = null;
    if (pending?.isAttempt(seen.record.attempt)) {
      this.#extendLease(pending.sentAt);
    } else if (seen.record.holder !== this.#daemon) {
      this.#dispatch(LeaseEvent.HolderChanged);
    }
    return this.#holdingChange(before);
  }

  /**
   * Handles a proof that a holder has ended: another process answers at its
   * address, so its lease need not be waited out. Silence or a refused
   * connection is no such proof, since a network partition looks the same.
   */
  handleHolderEnded(holder: DaemonId): void {
    this.#endedHolder = holder;
  }

  /** Writes new groups; does nothing unless the lease covers it. */
  changeGroups(
    groups: Pick<IDomainRecord, "groups" | "nextGroup">,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (!this.mayOrder(now) || this.#pending !== null || !this.#lastSeen) {
      return [];
    }
    const record = { ...this.#lastSeen.record, ...groups };
    return this.#write({ record, isChange: true }, now);
  }

  /** Releases the lease, so that another daemon need not wait for its end. */
  release(now: MonotonicTime): readonly LeaseAction[] {
    if (this.state === LeaseState.Observing || !this.#lastSeen) {
      return [];
    }
    const before = this.state;
    const record = { ...this.#lastSeen.record, holder: null };
    const actions = this.#write({ record, isChange: true }, now);
    this.#dispatch(LeaseEvent.HolderChanged);
    this.#pending = null;
    return [...this.#holdingChange(before), ...actions];
  }

  /** Handles a write that took effect as this version. */
  handleWriteSucceeded(
    attempt: string,
    version: number,
  ): readonly LeaseAction[] {
    const pending = this.#pending;
    if (!pending?.isAttempt(attempt)) {
      return [];
    }
    const before = this.state;
    this.#pending = null;
    this.#absentSince = null;
    this.#lastSeen = { version, record: pending.content.record };
    this.#extendLease(pending.sentAt);
    return this.#holdingChange(before);
  }

  /** Handles a write without effect, since the record's version had changed. */
  handleWriteConflict(attempt: string): readonly LeaseAction[] {
    if (this.#pending?.isAttempt(attempt)) {
      this.#pending.markConflicted();
    }
    return [{ kind: LeaseActionKind.Read }];
  }

  /** Handles a write request that certainly had no effect. */
  handleWriteFailed(attempt: string): readonly LeaseAction[] {
    if (this.#pending?.isAttempt(attempt) && !this.#pending.handleFailure()) {
      this.#pending = null;
    }
    return [];
  }

  /** Handles a lost answer: only a read shows whether the write took effect. */
  handleWriteUnknown(attempt: string): readonly LeaseAction[] {
    if (this.#pending?.isAttempt(attempt)) {
      this.#pending.markInDoubt();
    }
    return [{ kind: LeaseActionKind.Read }];
  }

  #isPaused(now: MonotonicTime): boolean {
    const gap = this.#lastTick === null ? 0 : now - this.#lastTick;
    return gap > this.#timing.pauseBound;
  }

  #extendLease(sentAt: MonotonicTime): void {
    this.#heldUntil = sentAt + this.#timing.leaseTime;
    this.#renewAt = sentAt + this.#timing.renewEvery;
    this.#dispatch(LeaseEvent.WriteSucceeded);
  }

  #writeIfDue(now: MonotonicTime): readonly LeaseAction[] {
    if (this.#pending !== null) {
      return this.#settlePending(this.#pending, now);
    }
    if (this.#isAbsentTooLong(now)) {
      this.#dispatch(LeaseEvent.HolderChanged);
    }
    if (this.state !== LeaseState.Observing && this.#lastSeen) {
      const { record } = this.#lastSeen;
      const isDue = now >= this.#renewAt && this.#absentSince === null;
      return isDue ? this.#write({ record, isChange: false }, now) : [];
    }
    return this.#isTurn(now) ? this.#takeOver(now) : [];
  }

  #settlePending(
    pending: PendingWrite,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (!pending.isDue(now, this.#timing.renewEvery * SETTLE_SHARE)) {
      return [];
    }
    if (pending.state === WriteState.InDoubt) {
      pending.markResent();
      return [writeAction(pending.content)];
    }
    if (this.#isAbsentTooLong(now)) {
      this.#pending = null;
    }
    return [{ kind: LeaseActionKind.Read }];
  }

  #isTurn(now: MonotonicTime): boolean {
    if (!this.#mayTakeOver(now)) {
      this.#freeSince = null;
      return false;
    }
    this.#freeSince ??= now;
    const isOwn = this.#lastSeen?.record.holder === this.#daemon;
    return isOwn || now - this.#freeSince >= this.#bidDelay();
  }

  #mayTakeOver(now: MonotonicTime): boolean {
    const holder = this.#lastSeen?.record.holder ?? null;
    if (this.#absentSince !== null) {
      return this.#lastSeen === null || this.#isAbsentTooLong(now);
    }
    const isFree =
      holder === null ||
      holder === this.#daemon ||
      holder === this.#endedHolder;
    // Confirmed by a read: otherwise each of many daemons that read seldom
    // would try to take over from a holder whose renewals it has not seen.
    const isOver = this.#confirmedAt - this.#seenSince >= this.#takeoverDelay;
    return this.#lastSeen !== null && (isFree || isOver);
  }

  #takeOver(now: MonotonicTime): readonly LeaseAction[] {
    const record = this.#lastSeen?.record ?? emptyRecord(this.#domain);
    const taken = { ...record, epoch: record.epoch + 1, holder: this.#daemon };
    return this.#write({ record: taken, isChange: false }, now);
  }

  get #takeoverDelay(): number {
    return this.#timing.leaseTime + this.#timing.takeoverMargin;
  }

  /**
   * Whether a known record has been absent for so long that its holder, which
   * cannot renew it either, no longer sends orders. It is then written again
   * from the last one seen, so that epochs keep rising.
   */
  #isAbsentTooLong(now: MonotonicTime): boolean {
    const since = this.#absentSince;
    return since !== null && now - since >= this.#takeoverDelay;
  }

  #write(
    content: Omit<IWriteContent, "expectedVersion">,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    this.#attempts += 1;
    const attempt = `${this.#daemon}/${this.#attempts}`;
    const isAbsent = this.#absentSince !== null;
    const written = {
      ...content,
      record: { ...content.record, attempt },
      expectedVersion: isAbsent ? null : (this.#lastSeen?.version ?? null),
    };
    this.#pending = new PendingWrite(written, now);
    return [writeAction(written)];
  }

  #dispatch(type: LeaseEvent): void {
    this.#snapshot = getNextSnapshot(LEASE_MACHINE, this.#snapshot, { type });
  }

  #holdingChange(before: LeaseState): readonly LeaseAction[] {
    const wasHolding = before === LeaseState.Holding;
    const isHolding = this.state === LeaseState.Holding;
    if (wasHolding === isHolding) {
      return [];
    }
    const kind = isHolding ? LeaseActionKind.Acquired : LeaseActionKind.Lost;
    return [{ kind }];
  }
}

function writeAction(content: IWriteContent): LeaseAction {
  const { record, expectedVersion } = content;
  return { kind: LeaseActionKind.Write, record, expectedVersion };
}
