/**
 * Retries run record writes that failed while their caller waited: outcomes of
 * calls, and withdrawals of attempts in doubt. Without it, a platform outage of
 * seconds would leave records open for good, and each retry by a caller would
 * be told "unknown" although this daemon knows the outcome.
 */
import type { Result } from "ts-results-es";
import { runRecordLocation } from "../runs/run_record_location.ts";
import { parseRunRecord, withdrawalFor } from "../runs/run_record.ts";
import type { RunRecord } from "../runs/run_record.ts";
import type { MonotonicTime } from "../types.ts";
import { WriteFailureKind } from "./services.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IPlatform,
  IWriteFailure,
} from "./services.ts";

/** Queued records at most: about 10 MB at 1 KB each. */
const MAXIMUM_QUEUE_LENGTH = 10_000;

/** Bounds of the pause after a failed write, milliseconds; it doubles. */
const SHORTEST_PAUSE = 250;
const LONGEST_PAUSE = 4_000;

/** How long one record is retried, milliseconds: covers an hour's outage. */
const LONGEST_RETRY_TIME = 3_600_000;

/** A record whose final state is still to be written. */
interface IQueuedRecord {
  readonly record: RunRecord;
  /** The version to replace; null to withdraw an attempt in doubt. */
  readonly version: number | null;
  readonly since: MonotonicTime;
}

/** Writes queued records one after another, in the background. */
export class RunRecordRetryQueue {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  #queue: IQueuedRecord[] = [];
  #pause = SHORTEST_PAUSE;
  #processing: Promise<void> | null = null;

  constructor(ports: {
    readonly platform: IPlatform;
    readonly clock: IClock;
    readonly log: ILog;
    readonly metrics: IMetrics;
  }) {
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#log = ports.log;
    this.#metrics = ports.metrics;
  }

  /** Number of queued records. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Writes a run's final record over the version that its permit holds. */
  finish(record: RunRecord, version: number): void {
    this.#add({ record, version, since: this.#clock.now() });
  }

  /** Withdraws an attempt answered "not run" whose write may take effect. */
  withdraw(record: RunRecord): void {
    this.#add({ record, version: null, since: this.#clock.now() });
  }

  /** Resolves when the queue is empty, or after a limit in milliseconds. */
  async drain(limit: number): Promise<void> {
    const timer: { stop: () => void } = { stop: () => undefined };
    const timeout = new Promise<void>((resolve) => {
      const owned = this.#clock.after(limit, resolve);
      timer.stop = () => owned.dispose();
    });
    await Promise.race([this.#processing ?? Promise.resolve(), timeout]);
    timer.stop();
    for (const { record } of this.#queue) {
      this.#logLeftOpen(record, "stopped");
    }
    this.#queue = [];
  }

  #add(queued: IQueuedRecord): void {
    if (this.#queue.length >= MAXIMUM_QUEUE_LENGTH) {
      this.#logLeftOpen(queued.record, "queue_full");
      return;
    }
    this.#queue.push(queued);
    this.#metrics.gauge("run_records_unsettled", this.#queue.length);
    this.#processing ??= this.#processQueue();
  }

  async #processQueue(): Promise<void> {
    for (let next = this.#queue[0]; next; next = this.#queue[0]) {
      const isSettled = await this.#settle(next);
      if (this.#queue[0] === next) {
        this.#queue.shift();
      }
      if (isSettled) {
        this.#pause = SHORTEST_PAUSE;
      } else {
        await this.#waitAndRequeue(next);
      }
      this.#metrics.gauge("run_records_unsettled", this.#queue.length);
    }
    this.#processing = null;
  }

  async #waitAndRequeue(queued: IQueuedRecord): Promise<void> {
    if (this.#clock.now() - queued.since > LONGEST_RETRY_TIME) {
      this.#logLeftOpen(queued.record, "gave_up");
      return;
    }
    this.#queue.push(queued);
    const pause = this.#pause;
    this.#pause = Math.min(pause * 2, LONGEST_PAUSE);
    await new Promise<void>((resolve) => {
      this.#clock.after(pause, resolve);
    });
  }

  #settle(queued: IQueuedRecord): Promise<boolean> {
    const { record, version } = queued;
    return version === null
      ? this.#withdraw(record)
      : this.#write(record, version).then(hasTakenEffect);
  }

  async #withdraw(mine: RunRecord): Promise<boolean> {
    const { kind, name } = runRecordLocation(mine);
    const read = await this.#platform.read(kind, name);
    if (read.isErr()) {
      return false;
    }
    const object = read.value.isSome() ? read.value.value : null;
    const record = object && parseRunRecord(object.value);
    if (object !== null && record === null) {
      return true;
    }
    const found = object && record ? { record, version: object.version } : null;
    const withdrawal = withdrawalFor(mine, found);
    if (withdrawal === null) {
      return true;
    }
    const { expectedVersion } = withdrawal;
    const written = await this.#write(withdrawal.record, expectedVersion);
    return written.isOk();
  }

  #write(
    record: RunRecord,
    expectedVersion: number | null,
  ): Promise<Result<number, IWriteFailure>> {
    const location = runRecordLocation(record);
    return this.#platform.write({
      ...location,
      value: record,
      expectedVersion,
    });
  }

  #logLeftOpen(record: RunRecord, why: string): void {
    const { operation, requestId, state } = record;
    const fields = { operation, request: requestId, state, why };
    this.#log.error("run_record_left_open", fields);
  }
}

/** A conflict means that an earlier attempt at the write took effect. */
function hasTakenEffect(written: Result<number, IWriteFailure>): boolean {
  return written.isOk() || written.error.kind === WriteFailureKind.Conflict;
}
