/**
 * Removes run records past their retention, a limited number at a time.
 * Without it, the platform would keep a record of every call ever made.
 */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { bucketKind, RUN_BUCKET_COUNT } from "../runs/run_record_location.ts";
import { parseRunRecord } from "../runs/run_record.ts";
import type { IClock, ILog, IPlatform, IRandom } from "./services.ts";

/**
 * How long a record is kept, milliseconds: two days. Callers retry for at most
 * one day (docs/PROTOCOLS.md), so a wall clock that is wrong by less than a day
 * removes no record that a caller may still need.
 */
const RETENTION = 172_800_000;

/**
 * How often each zone lists one bucket, milliseconds: 1,024 buckets in about
 * an hour, 0.3 lists a second for each zone whatever its number of daemons.
 */
const SWEEP_INTERVAL = 3_500;

/** Records removed at most in one sweep, one after another. */
const MAXIMUM_REMOVALS = 100;

/** Dependencies of {@link RunRecordSweeper}. */
export interface IRunRecordSweeperPorts {
  readonly platform: IPlatform;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  /** Whether this daemon is to sweep; two at once do no harm. */
  readonly isChosen: () => boolean;
}

/** Sweeps one random bucket at a time. */
export class RunRecordSweeper implements IDisposable {
  readonly #ports: IRunRecordSweeperPorts;
  readonly #owned = new DisposableStore();
  #isSweeping = false;

  constructor(ports: IRunRecordSweeperPorts) {
    this.#ports = ports;
  }

  start(): void {
    this.#owned.add(
      this.#ports.clock.every(SWEEP_INTERVAL, () => this.#tick()),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Removes expired records from a bucket; returns how many were removed. */
  async sweep(bucket: number): Promise<number> {
    const { platform, clock } = this.#ports;
    const kind = bucketKind(bucket);
    const listed = await platform.list(kind);
    if (listed.isErr()) {
      return 0;
    }
    let removed = 0;
    for (const { name, value, version } of listed.value.objects) {
      const record = parseRunRecord(value);
      const age = clock.calendar() - (record?.createdAt ?? Infinity);
      if (age < RETENTION || removed >= MAXIMUM_REMOVALS) {
        continue;
      }
      const removal = await platform.remove(kind, name, version);
      removed += removal.isOk() ? 1 : 0;
    }
    return removed;
  }

  #tick(): void {
    const { isChosen, random } = this.#ports;
    if (isChosen() && !this.#isSweeping) {
      void this.#sweepAndLog(Math.floor(random.next() * RUN_BUCKET_COUNT));
    }
  }

  async #sweepAndLog(bucket: number): Promise<void> {
    this.#isSweeping = true;
    const removed = await this.sweep(bucket);
    this.#isSweeping = false;
    if (removed > 0) {
      this.#ports.log.info("run_records_removed", { bucket, removed });
    }
  }
}
