/**
 * Manages one process's part in the lease that covers all orders to engines.
 * {@link DomainLease} decides; this class carries out its reads and writes. The
 * record has no groups, since engines report those themselves.
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

/**
 * Name of the only record. Where each domain has a lease of its own, a record
 * has the domain's name.
 */
const RECORD = "engines";

/** Interval at which the lease is advanced, milliseconds. */
const TICK = 100;

/**
 * Timing of the lease, milliseconds. A holder that is cut off is replaced after
 * the lease time and the margin, about 2 s, in which no group is repaired.
 * Renewals take 2.5 of the hundred or so writes a second that the store allows.
 */
const TIMING: ILeaseTiming = {
  leaseTime: 1_200,
  takeoverMargin: 400,
  safetyMargin: 250,
  renewEvery: 400,
  pauseBound: 300,
};

/**
 * Time between two reads while the holder answers, milliseconds. Reads can be
 * rare then, since the loss of the holder shows as its silence.
 */
const HEALTHY_READ_PERIOD = 10_000;

/**
 * Time between two reads while no holder answers or none was read yet,
 * milliseconds.
 */
const SILENT_READ_PERIOD = 300;

/**
 * Time for which a process leaves a free lease to more capable ones,
 * milliseconds: they read the record, and write it, within half of that.
 */
const SUCCESSION_DELAY = 900;

/** Minimum time between a failed write and the next, milliseconds. */
const PAUSE_AFTER_FAILURE = 250;

/** Dependencies of {@link LeaseManager}. */
export interface ILeaseManagerParts {
  readonly store: IObjectStore;
  readonly clock: IClock;
  readonly log: ILog;
  /** Whether the holder has answered recently, so that few reads are needed. */
  readonly isHolderHealthy: () => boolean;
  /** Whether no process is known to be far more capable of the holder's work. */
  readonly isSuccessor: () => boolean;
  readonly onAcquired: () => void;
  readonly onLost: () => void;
}

/** Reads, acquires, renews and releases the lease for one process. */
export class LeaseManager implements IDisposable {
  readonly #parts: ILeaseManagerParts;
  readonly #process: DaemonId;
  readonly #lease: DomainLease;
  readonly #owned = new DisposableStore();
  #isReading = false;
  #readAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  /**
   * No write is sent before this time, since refused writes are charged as
   * well.
   */
  #writeAfter: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** Whether it has been given back: the lease is followed, not acquired. */
  #isReleased = false;
  #isStopped = false;

  /** @param process - name of this process, by which its peers reach it */
  constructor(process: DaemonId, parts: ILeaseManagerParts) {
    this.#process = process;
    this.#parts = parts;
    this.#lease = new DomainLease(process, RECORD, TIMING, () =>
      parts.isSuccessor() ? 0 : SUCCESSION_DELAY,
    );
  }

  start(): void {
    this.#owned.add(this.#parts.clock.every(TICK, () => this.#tick()));
    this.#tick();
  }

  /** Whether the lease covers an order sent now. */
  get mayOrder(): boolean {
    const hasEnded = this.#isReleased || this.#isStopped;
    return !hasEnded && this.#lease.mayOrder(this.#now);
  }

  get isHolding(): boolean {
    return this.#lease.state !== LeaseState.Observing;
  }

  /** The last known holder of the lease; null if there is none. */
  get holder(): DaemonId | null {
    return this.#lease.lastSeen?.record.holder ?? null;
  }

  /** Increases each time the lease changes hands. */
  get epoch(): number {
    return this.#lease.lastSeen?.record.epoch ?? 0;
  }

  /** Handles the known end of the process that held the lease. */
  handleHolderEnded(holder: DaemonId): void {
    this.#lease.handleHolderEnded(holder);
    void this.#read();
  }

  /**
   * Releases the lease so that another process need not wait for it to expire.
   * Its next holders are learned, since a process serves on while it stops.
   */
  async release(): Promise<void> {
    this.#isReleased = true;
    const actions = this.#lease.release(this.#now);
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
    if (!this.#isReleased) {
      this.#performAll(this.#lease.tick(this.#now));
    }
    const isHealthy = this.isHolding || this.#parts.isHolderHealthy();
    const period = isHealthy ? HEALTHY_READ_PERIOD : SILENT_READ_PERIOD;
    const isFirst = this.#lease.lastSeen === null;
    const due = this.#readAt + (isFirst ? SILENT_READ_PERIOD : period);
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

  /** Name of this process in the record. */
  get process(): DaemonId {
    return this.#process;
  }
}
