/**
 * Keeps one process's stand towards the lease that covers all orders to
 * engines. The decisions are {@link DomainLease}'s; here its reads and writes
 * are carried out. The record has no groups: engines report those themselves.
 */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { DomainLease } from "../groups/domain_lease.ts";
import {
  checkDomainRecord,
  DOMAIN_KIND,
} from "../groups/domain_record_schema.ts";
import { LeaseState } from "../groups/lease_machine.ts";
import { LeaseActionKind } from "../groups/types.ts";
import type { ILeaseTiming, LeaseAction } from "../groups/types.ts";
import { WriteFailureKind } from "../services/services.ts";
import type { IClock, ILog, IObjectStore } from "../services/services.ts";
import type { DaemonId, MonotonicTime } from "../types.ts";

/** The one record; a domain's name in the product's own arrangement. */
const RECORD = "engines";

/** How often time is told to the lease, milliseconds. */
const TICK = 100;

/**
 * Bounds of the lease, milliseconds. A holder that is cut off is replaced after
 * the lease and the margin, some 2 s, in which no group is healed; renewals
 * cost 2.5 writes a second of the store's some hundred.
 */
const TIMING: ILeaseTiming = {
  leaseTime: 1_200,
  takeoverMargin: 400,
  safetyMargin: 250,
  renewEvery: 400,
  pauseBound: 300,
};

/**
 * Time between two reads while the holder answers, and while it does not. While
 * it answers, a read could only tell what its next silence will.
 */
const HEALTHY_READ_PERIOD = 10_000;
const DOUBT_READ_PERIOD = 300;

/** Between a failed write and the next, milliseconds. */
const PAUSE_AFTER_FAILURE = 250;

/** What the keeper needs. */
export interface ILeaseManagerParts {
  readonly store: IObjectStore;
  readonly clock: IClock;
  readonly log: ILog;
  /** Whether the holder has answered lately, so that few reads are needed. */
  readonly isHolderHealthy: () => boolean;
  readonly onAcquired: () => void;
  readonly onLost: () => void;
}

/** The lease as one process keeps it. */
export class LeaseManager implements IDisposable {
  readonly #parts: ILeaseManagerParts;
  readonly #process: DaemonId;
  readonly #lease: DomainLease;
  readonly #owned = new DisposableStore();
  #isReading = false;
  #readAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** No write is sent before; refused ones are paid for as well. */
  #writeAfter: MonotonicTime = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  /** @param process - names this process; peers reach it by this name */
  constructor(process: DaemonId, parts: ILeaseManagerParts) {
    this.#process = process;
    this.#parts = parts;
    this.#lease = new DomainLease(process, RECORD, TIMING);
  }

  start(): void {
    this.#owned.add(this.#parts.clock.every(TICK, () => this.#tick()));
    this.#tick();
  }

  /** Whether an order sent at this moment is covered. */
  get mayOrder(): boolean {
    return !this.#isStopped && this.#lease.mayOrder(this.#now);
  }

  get isHolding(): boolean {
    return this.#lease.state !== LeaseState.Observing;
  }

  /** The process that holds the lease, as last seen; null for none. */
  get holder(): DaemonId | null {
    return this.#lease.lastSeen?.record.holder ?? null;
  }

  /** Rises each time the lease changes hands. */
  get epoch(): number {
    return this.#lease.lastSeen?.record.epoch ?? 0;
  }

  /** The process that held the lease is known to have ended. */
  handleHolderEnded(holder: DaemonId): void {
    this.#lease.handleHolderEnded(holder);
    void this.#read();
  }

  /** Gives the lease back so that another process need not wait for its end. */
  async release(): Promise<void> {
    this.#isStopped = true;
    const actions = this.#lease.release(this.#now);
    this.#owned.dispose();
    await Promise.all(actions.map((action) => this.#perform(action)));
  }

  dispose(): void {
    this.#isStopped = true;
    this.#owned.dispose();
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #tick(): void {
    this.#performAll(this.#lease.tick(this.#now));
    const isCalm = this.isHolding || this.#parts.isHolderHealthy();
    const period = isCalm ? HEALTHY_READ_PERIOD : DOUBT_READ_PERIOD;
    const isFirst = this.#lease.lastSeen === null;
    const due = this.#readAt + (isFirst ? DOUBT_READ_PERIOD : period);
    if (this.#now >= due && !this.isHolding) {
      void this.#read();
    }
  }

  #performAll(actions: readonly LeaseAction[]): void {
    for (const action of actions) {
      void this.#perform(action);
    }
  }

  async #perform(action: LeaseAction): Promise<void> {
    const { log, onAcquired, onLost } = this.#parts;
    switch (action.kind) {
      case LeaseActionKind.Read:
        await this.#read();
        break;
      case LeaseActionKind.Write:
        await this.#write(action);
        break;
      case LeaseActionKind.Acquired:
        log.info("lease_acquired", { epoch: this.epoch });
        onAcquired();
        break;
      case LeaseActionKind.Lost:
        log.info("lease_lost", { epoch: this.epoch, holder: this.holder });
        onLost();
        break;
    }
  }

  async #write(
    action: Extract<LeaseAction, { kind: LeaseActionKind.Write }>,
  ): Promise<void> {
    const { record, expectedVersion } = action;
    if (this.#now < this.#writeAfter) {
      this.#performAll(this.#lease.handleWriteFailed(record.attempt));
      return;
    }
    const written = await this.#parts.store.write({
      kind: DOMAIN_KIND,
      name: RECORD,
      value: record,
      expectedVersion,
    });
    if (written.isOk()) {
      this.#performAll(
        this.#lease.handleWriteSucceeded(record.attempt, written.value),
      );
      return;
    }
    this.#writeAfter = this.#now + PAUSE_AFTER_FAILURE;
    const { kind, detail } = written.error;
    this.#parts.log.warn("lease_write_failed", { kind, detail });
    if (kind === WriteFailureKind.Conflict) {
      this.#performAll(this.#lease.handleWriteConflict(record.attempt));
    } else if (kind === WriteFailureKind.NotApplied) {
      this.#performAll(this.#lease.handleWriteFailed(record.attempt));
    } else {
      this.#performAll(this.#lease.handleWriteUnknown(record.attempt));
    }
  }

  async #read(): Promise<void> {
    if (this.#isReading || this.#isStopped) {
      return;
    }
    this.#isReading = true;
    this.#readAt = this.#now;
    const found = await this.#parts.store.read(DOMAIN_KIND, RECORD);
    this.#isReading = false;
    if (found.isErr()) {
      this.#parts.log.warn("lease_read_failed", { detail: found.error.detail });
      return;
    }
    if (found.value.isNone()) {
      this.#performAll(this.#lease.observe(null, this.#now));
      return;
    }
    const { value, version } = found.value.value;
    const record = checkDomainRecord(RECORD, value);
    if (record.isErr()) {
      const [finding] = record.error;
      this.#parts.log.error("lease_record_unreadable", {
        path: finding?.path,
        detail: finding?.message,
      });
      return;
    }
    const seen = { version, record: record.value };
    this.#performAll(this.#lease.observe(seen, this.#now));
  }

  /** Names this process in the record. */
  get process(): DaemonId {
    return this.#process;
  }
}
