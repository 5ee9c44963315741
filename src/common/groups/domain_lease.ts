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
import { createMachine, getInitialSnapshot, getNextSnapshot } from "xstate";
import type { DaemonId, DomainName, MonotonicTime } from "../types.ts";
import { LeaseActionKind } from "./types.ts";
import type {
  IDomainRecord,
  ILeaseTiming,
  IVersionedRecord,
  LeaseAction,
} from "./types.ts";

/** Where a daemon stands towards a domain's lease. */
export enum LeaseState {
  /** Another daemon holds it, or nobody does. */
  Observing = "observing",
  /** This daemon holds it and may give orders. */
  Holding = "holding",
  /** It was held; orders stop until a renewal has succeeded. */
  Suspended = "suspended",
}

enum LeaseEvent {
  WriteTook = "write_took",
  LeftBehind = "left_behind",
  Paused = "paused",
  Lapsed = "lapsed",
}

/** The lease's states and the events that move it between them. */
const LEASE_MACHINE = createMachine({
  id: "domain_lease",
  initial: LeaseState.Observing,
  states: {
    [LeaseState.Observing]: {
      on: { [LeaseEvent.WriteTook]: LeaseState.Holding },
    },
    [LeaseState.Holding]: {
      on: {
        [LeaseEvent.LeftBehind]: LeaseState.Observing,
        [LeaseEvent.Paused]: LeaseState.Suspended,
        [LeaseEvent.Lapsed]: LeaseState.Suspended,
      },
    },
    [LeaseState.Suspended]: {
      on: {
        [LeaseEvent.WriteTook]: LeaseState.Holding,
        [LeaseEvent.LeftBehind]: LeaseState.Observing,
      },
    },
  },
});

interface IPendingWrite {
  readonly record: IDomainRecord;
  readonly sentAt: MonotonicTime;
}

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
  #heldUntil: MonotonicTime = Number.NEGATIVE_INFINITY;
  #renewAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #lastTick: MonotonicTime | null = null;
  #pending: IPendingWrite | null = null;
  #attempts = 0;
  #isAbsent = false;

  constructor(daemon: DaemonId, domain: DomainName, timing: ILeaseTiming) {
    this.#daemon = daemon;
    this.#domain = domain;
    this.#timing = timing;
  }

  /** The newest record seen; null before the first read. */
  get seen(): IVersionedRecord | null {
    return this.#seen;
  }

  get state(): LeaseState {
    return this.#snapshot.value as LeaseState;
  }

  /** Whether an order sent at this moment is covered by the lease. */
  mayOrder(now: MonotonicTime): boolean {
    return (
      this.state === LeaseState.Holding &&
      now < this.#heldUntil - this.#timing.safetyMargin &&
      !this.#isPaused(now)
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
    if (now >= this.#heldUntil - this.#timing.safetyMargin) {
      this.#send(LeaseEvent.Lapsed);
    }
    return [...this.#changed(before), ...this.#writeIfDue(now)];
  }

  /** A read or a watch brought the record; null when there is none. */
  observed(
    seen: IVersionedRecord | null,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    const before = this.state;
    this.#isAbsent = seen === null && this.#seen === null;
    if (seen === null || seen.version <= (this.#seen?.version ?? -1)) {
      return this.#resolvePending(seen);
    }
    this.#seen = seen;
    this.#seenSince = now;
    if (this.#isOwn(seen.record)) {
      return this.#resolvePending(seen);
    }
    this.#pending = null;
    this.#send(LeaseEvent.LeftBehind);
    return this.#changed(before);
  }

  /** The holder changes the groups; refused unless the lease covers it. */
  change(
    groups: Pick<IDomainRecord, "groups" | "nextGroup">,
    now: MonotonicTime,
  ): readonly LeaseAction[] {
    if (!this.mayOrder(now) || this.#pending !== null || !this.#seen) {
      return [];
    }
    return this.#write({ ...this.#seen.record, ...groups }, now);
  }

  /** Gives the lease back, so that another daemon need not wait. */
  giveBack(now: MonotonicTime): readonly LeaseAction[] {
    if (this.state === LeaseState.Observing || !this.#seen) {
      return [];
    }
    const actions = this.#write({ ...this.#seen.record, holder: null }, now);
    this.#send(LeaseEvent.LeftBehind);
    this.#pending = null;
    return actions;
  }

  /** The write sent last took effect as this version. */
  writeTook(version: number): readonly LeaseAction[] {
    const pending = this.#pending;
    if (pending === null) {
      return [];
    }
    const before = this.state;
    this.#pending = null;
    if (version > (this.#seen?.version ?? -1)) {
      this.#seen = { version, record: pending.record };
    }
    this.#extend(pending.sentAt);
    return this.#changed(before);
  }

  /** The write sent last had no effect, since the record had moved on. */
  writeConflicted(): readonly LeaseAction[] {
    return [{ kind: LeaseActionKind.Read }];
  }

  /** The write sent last certainly did not take effect. */
  writeFailed(): readonly LeaseAction[] {
    this.#pending = null;
    return [];
  }

  /** The answer was lost: only reading back tells whether it took effect. */
  writeUnknown(): readonly LeaseAction[] {
    return [{ kind: LeaseActionKind.Read }];
  }

  #isOwn(record: IDomainRecord): boolean {
    return record.holder === this.#daemon;
  }

  #isPaused(now: MonotonicTime): boolean {
    const gap = this.#lastTick === null ? 0 : now - this.#lastTick;
    return gap > this.#timing.pauseBound;
  }

  /** Settles a write in doubt by what a read shows. */
  #resolvePending(seen: IVersionedRecord | null): readonly LeaseAction[] {
    const pending = this.#pending;
    if (pending === null || seen === null) {
      this.#pending = null;
      return [];
    }
    const before = this.state;
    if (seen.record.attempt === pending.record.attempt) {
      this.#pending = null;
      this.#extend(pending.sentAt);
    } else if (seen.version === this.#seen?.version) {
      this.#pending = null;
    }
    return this.#changed(before);
  }

  #extend(sentAt: MonotonicTime): void {
    this.#heldUntil = sentAt + this.#timing.leaseTime;
    this.#renewAt = sentAt + this.#timing.renewEvery;
    this.#send(LeaseEvent.WriteTook);
  }

  #writeIfDue(now: MonotonicTime): readonly LeaseAction[] {
    if (this.#pending !== null) {
      const isInDoubt = now - this.#pending.sentAt >= this.#timing.renewEvery;
      return isInDoubt ? [{ kind: LeaseActionKind.Read }] : [];
    }
    if (this.state !== LeaseState.Observing && this.#seen) {
      return now >= this.#renewAt ? this.#write(this.#seen.record, now) : [];
    }
    return this.#takeOverIfDue(now);
  }

  #takeOverIfDue(now: MonotonicTime): readonly LeaseAction[] {
    if (this.#seen === null && !this.#isAbsent) {
      return [];
    }
    const record = this.#seen?.record ?? emptyRecord(this.#domain);
    const patience = this.#timing.leaseTime + this.#timing.takeoverMargin;
    const isFree = record.holder === null || this.#isOwn(record);
    if (!isFree && now - this.#seenSince < patience) {
      return [];
    }
    const taken = { ...record, epoch: record.epoch + 1, holder: this.#daemon };
    return this.#write(taken, now);
  }

  #write(record: IDomainRecord, now: MonotonicTime): readonly LeaseAction[] {
    this.#attempts += 1;
    const attempt = `${this.#daemon}/${this.#attempts}`;
    const written = { ...record, attempt };
    this.#pending = { record: written, sentAt: now };
    return [
      {
        kind: LeaseActionKind.Write,
        record: written,
        expectedVersion: this.#seen?.version ?? null,
        sentAt: now,
      },
    ];
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
