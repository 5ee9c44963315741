/**
 * The lease on a fabric domain's record, as a pure state machine.
 *
 * Nobody compares clocks: an observer takes over once it has seen the same
 * version for the lease time plus a margin on its own clock; a holder counts
 * from the moment it *sent* the last renewal that succeeded.
 *
 * What goes wrong without it: two daemons would order the same engines into
 * two groups. A process paused past its lease still believes it holds it, so
 * a gap between two ticks counts as a lost lease until a renewal succeeds.
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

/** Share of the renewal period after which a write in doubt is tried again. */
const SETTLE_SHARE = 0.25;

/** The record of a domain in which nothing has happened yet. */
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
  #snapshot = getInitialSnapshot(LEASE_MACHINE);
  #seen: IVersionedRecord | null = null;
  #seenSince: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** When a read last showed the version seen. */
  #confirmedAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #heldUntil: MonotonicTime = Number.NEGATIVE_INFINITY;
  #renewAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #lastTick: MonotonicTime | null = null;
  #pending: PendingWrite | null = null;
  #attempts = 0;
  /** A holder whose process is known to have ended. */
  #endedHolder: DaemonId | null = null;
  /** Since when reads have found no object; null while there is one. */
  #absentSince: MonotonicTime | null = null;

  constructor(daemon: DaemonId, domain: DomainName, timing: ILeaseTiming) {
    this.#daemon = daemon;
    this.#domain = domain;
    this.#timing = timing;
  }

  /** The newest record seen; null before the first read. */
  get lastSeen(): IVersionedRecord | null {
    return this.#seen;
  }

  get state(): LeaseState {
    return this.#snapshot.value as LeaseState;
  }

  /**
   * Whether an order sent at this moment is covered by the lease and follows
   * the groups in force: not while a change of them is unsettled.
   */
  mayOrder(now: MonotonicTime): boolean {
    return (
      this.state === LeaseState.Holding &&
      now < this.#heldUntil - this.#timing.safetyMargin &&
      !this.#isPaused(now) &&
      !this.#pending?.blocksOrders
    );
  }

  /** Time passes; called at least every half pause bound. */
  tick(now: MonotonicTime): readonly LeaseAction[] {
    const before = this.state;
    if (this.#isPaused(now)) {
      this.#send(LeaseEvent.Paused);
      this.#renewAt = now;
    }
    this.#lastTick = now;
    const isOver = now >= this.#heldUntil - this.#timing.safetyMargin;
    if (isOver && before === LeaseState.Holding) {
      this.#send(LeaseEvent.Lapsed);
    }
    return [...this.#changed(before), ...this.#writeIfDue(now)];
  }

  /** A read or a watch brought the record; null when there is none. */
  observe(
    seen: IVersionedRecord | null,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (seen === null) {
      this.#absentSince ??= now;
      return [];
    }
    this.#absentSince = null;
    const known = this.#seen?.version ?? -1;
    if (seen.version === known) {
      this.#confirmedAt = now;
    }
    if (seen.version <= known) {
      return [];
    }
    const before = this.state;
    this.#seen = seen;
    this.#seenSince = now;
    const pending = this.#pending;
    this.#pending = null;
    if (pending?.isAttempt(seen.record.attempt)) {
      this.#extend(pending.sentAt);
    } else if (seen.record.holder !== this.#daemon) {
      this.#send(LeaseEvent.HolderChanged);
    }
    return this.#changed(before);
  }

  /**
   * Another process answers in a holder's place: the holder has ended, and its
   * lease need not be waited out. Silence or a refused connection is no such
   * proof, since a cut looks the same.
   */
  handleHolderEnded(holder: DaemonId): void {
    this.#endedHolder = holder;
  }

  /** The holder changes the groups; refused unless the lease covers it. */
  changeGroups(
    groups: Pick<IDomainRecord, "groups" | "nextGroup">,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (!this.mayOrder(now) || this.#pending !== null || !this.#seen) {
      return [];
    }
    const record = { ...this.#seen.record, ...groups };
    return this.#write({ record, isChange: true }, now);
  }

  /** Gives the lease back, so that another daemon need not wait. */
  release(now: MonotonicTime): readonly LeaseAction[] {
    if (this.state === LeaseState.Observing || !this.#seen) {
      return [];
    }
    const before = this.state;
    const record = { ...this.#seen.record, holder: null };
    const actions = this.#write({ record, isChange: true }, now);
    this.#send(LeaseEvent.HolderChanged);
    this.#pending = null;
    return [...this.#changed(before), ...actions];
  }

  /** The write of this attempt took effect as this version. */
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
    this.#seen = { version, record: pending.content.record };
    this.#extend(pending.sentAt);
    return this.#changed(before);
  }

  /** The write had no effect, since the record had moved on. */
  handleWriteConflict(attempt: string): readonly LeaseAction[] {
    if (this.#pending?.isAttempt(attempt)) {
      this.#pending.markConflicted();
    }
    return [{ kind: LeaseActionKind.Read }];
  }

  /** This sending of the write certainly did not take effect. */
  handleWriteFailed(attempt: string): readonly LeaseAction[] {
    if (this.#pending?.isAttempt(attempt) && !this.#pending.handleFailure()) {
      this.#pending = null;
    }
    return [];
  }

  /** The answer was lost: only reading back tells whether it took effect. */
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

  #extend(sentAt: MonotonicTime): void {
    this.#heldUntil = sentAt + this.#timing.leaseTime;
    this.#renewAt = sentAt + this.#timing.renewEvery;
    this.#send(LeaseEvent.WriteSucceeded);
  }

  #writeIfDue(now: MonotonicTime): readonly LeaseAction[] {
    if (this.#pending !== null) {
      return this.#settle(this.#pending, now);
    }
    if (this.#isLongAbsent(now)) {
      this.#send(LeaseEvent.HolderChanged);
    }
    if (this.state !== LeaseState.Observing && this.#seen) {
      const { record } = this.#seen;
      const isDue = now >= this.#renewAt && this.#absentSince === null;
      return isDue ? this.#write({ record, isChange: false }, now) : [];
    }
    return this.#mayTakeOver(now) ? this.#takeOver(now) : [];
  }

  #settle(pending: PendingWrite, now: MonotonicTime): readonly LeaseAction[] {
    if (!pending.isDue(now, this.#timing.renewEvery * SETTLE_SHARE)) {
      return [];
    }
    if (pending.state === WriteState.InDoubt) {
      pending.markResent();
      return [writeAction(pending.content)];
    }
    if (this.#isLongAbsent(now)) {
      this.#pending = null;
    }
    return [{ kind: LeaseActionKind.Read }];
  }

  #mayTakeOver(now: MonotonicTime): boolean {
    const holder = this.#seen?.record.holder ?? null;
    if (this.#absentSince !== null) {
      return this.#seen === null || this.#isLongAbsent(now);
    }
    const isFree =
      holder === null ||
      holder === this.#daemon ||
      holder === this.#endedHolder;
    // Confirmed by a read: many daemons that read seldom would otherwise each
    // try to take over from a holder whose renewals they have not seen.
    const isOver = this.#confirmedAt - this.#seenSince >= this.#patience;
    return this.#seen !== null && (isFree || isOver);
  }

  #takeOver(now: MonotonicTime): readonly LeaseAction[] {
    const record = this.#seen?.record ?? emptyRecord(this.#domain);
    const taken = { ...record, epoch: record.epoch + 1, holder: this.#daemon };
    return this.#write({ record: taken, isChange: false }, now);
  }

  get #patience(): number {
    return this.#timing.leaseTime + this.#timing.takeoverMargin;
  }

  /**
   * Whether a known record has been gone for so long that its holder, which
   * cannot renew it either, no longer orders. It is then written anew from
   * what was last seen, so that epochs go on rising.
   */
  #isLongAbsent(now: MonotonicTime): boolean {
    const since = this.#absentSince;
    return since !== null && now - since >= this.#patience;
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
      expectedVersion: isAbsent ? null : (this.#seen?.version ?? null),
    };
    this.#pending = new PendingWrite(written, now);
    return [writeAction(written)];
  }

  #send(type: LeaseEvent): void {
    this.#snapshot = getNextSnapshot(LEASE_MACHINE, this.#snapshot, { type });
  }

  #changed(before: LeaseState): readonly LeaseAction[] {
    const held = before === LeaseState.Holding;
    const holds = this.state === LeaseState.Holding;
    if (held === holds) {
      return [];
    }
    const kind = holds ? LeaseActionKind.Acquired : LeaseActionKind.Lost;
    return [{ kind }];
  }
}

function writeAction(content: IWriteContent): LeaseAction {
  const { record, expectedVersion } = content;
  return { kind: LeaseActionKind.Write, record, expectedVersion };
}
