/**
 * Writes to run records that could not be done in time for their caller: how
 * a call ended, and withdrawals of tries in doubt. Without it a platform
 * outage of seconds would leave records open for good, and each repeat by a
 * caller would be told "unknown" of a call whose end this daemon knows.
 */
import type { Result } from "ts-results-es";
import { locationOf } from "../runs/run_location.ts";
import { parseRunRecord, withdrawalOf } from "../runs/run_record.ts";
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

/** Records waiting at most: about 10 MB at 1 KB each. */
const LARGEST_QUEUE = 10_000;

/** Pause after a write that failed, milliseconds; doubled up to a bound. */
const SHORTEST_PAUSE = 250;
const LONGEST_PAUSE = 4_000;

/** How long one record is tried for, milliseconds: an hour's outage. */
const LONGEST_WAIT = 3_600_000;

/** A record that must still be brought to its end. */
interface IUnsettled {
  readonly record: RunRecord;
  /** The version to finish; null when the try itself is in doubt. */
  readonly version: number | null;
  readonly since: MonotonicTime;
}

/** Settles records one after another, in the background. */
export class RunRecordRetryQueue {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  #queue: IUnsettled[] = [];
  #pause = SHORTEST_PAUSE;
  #work: Promise<void> | null = null;

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

  /** Records not yet settled. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Brings a record to its end over the version that the run was given. */
  finish(record: RunRecord, version: number): void {
    this.#add({ record, version, since: this.#clock.now() });
  }

  /** Withdraws a try that was answered "not run" with its write in doubt. */
  withdraw(record: RunRecord): void {
    this.#add({ record, version: null, since: this.#clock.now() });
  }

  /** Resolves when nothing waits, or after a bound in milliseconds. */
  async drain(bound: number): Promise<void> {
    const timer: { stop: () => void } = { stop: () => undefined };
    const timeout = new Promise<void>((resolve) => {
      const owned = this.#clock.after(bound, resolve);
      timer.stop = () => owned.dispose();
    });
    await Promise.race([this.#work ?? Promise.resolve(), timeout]);
    timer.stop();
    for (const { record } of this.#queue) {
      this.#noteLeftOpen(record, "stopped");
    }
    this.#queue = [];
  }

  #add(unsettled: IUnsettled): void {
    if (this.#queue.length >= LARGEST_QUEUE) {
      this.#noteLeftOpen(unsettled.record, "queue_full");
      return;
    }
    this.#queue.push(unsettled);
    this.#metrics.gauge("run_records_unsettled", this.#queue.length);
    this.#work ??= this.#settleAll();
  }

  async #settleAll(): Promise<void> {
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
    this.#work = null;
  }

  async #waitAndRequeue(unsettled: IUnsettled): Promise<void> {
    if (this.#clock.now() - unsettled.since > LONGEST_WAIT) {
      this.#noteLeftOpen(unsettled.record, "gave_up");
      return;
    }
    this.#queue.push(unsettled);
    const pause = this.#pause;
    this.#pause = Math.min(pause * 2, LONGEST_PAUSE);
    await new Promise<void>((resolve) => {
      this.#clock.after(pause, resolve);
    });
  }

  #settle(unsettled: IUnsettled): Promise<boolean> {
    const { record, version } = unsettled;
    return version === null
      ? this.#withdraw(record)
      : this.#write(record, version).then(isSettledBy);
  }

  async #withdraw(mine: RunRecord): Promise<boolean> {
    const { kind, name } = locationOf(mine);
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
    const withdrawal = withdrawalOf(mine, found);
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
    const place = locationOf(record);
    return this.#platform.write({ ...place, value: record, expectedVersion });
  }

  #noteLeftOpen(record: RunRecord, why: string): void {
    const { operation, requestId, state } = record;
    const fields = { operation, request: requestId, state, why };
    this.#log.error("run_record_left_open", fields);
  }
}

/** A conflict means that an earlier try of the same write took effect. */
function isSettledBy(written: Result<number, IWriteFailure>): boolean {
  return written.isOk() || written.error.kind === WriteFailureKind.Conflict;
}
