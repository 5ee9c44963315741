/**
 * Removes run records whose retention has passed, by bounded work. Without it
 * the platform would hold every call ever made.
 */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { kindOfBucket, RUN_BUCKETS } from "../runs/run_location.ts";
import { parseRunRecord } from "../runs/run_record.ts";
import type { IClock, ILog, IPlatform, IRandom } from "./services.ts";

/**
 * How long a record stands, milliseconds: two days. Callers repeat for at most
 * one day (docs/PROTOCOLS.md), so a calendar clock that is wrong by less than
 * a day removes no record that a caller may still ask for.
 */
const RETENTION = 172_800_000;

/**
 * How often one bucket is looked at by each zone, milliseconds: all 1,024
 * buckets in about an hour, 0.3 lists a second a zone however many daemons.
 */
const SWEEP_EVERY = 3_500;

/** Records removed in one round, one after another. */
const LARGEST_ROUND = 100;

/** What the sweeper works with. */
export interface IRunRecordSweeperPorts {
  readonly platform: IPlatform;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  /** Whether this daemon has the duty; two at once do no harm. */
  readonly isChosen: () => boolean;
}

/** Looks at one random bucket at a time. */
export class RunRecordSweeper implements IDisposable {
  readonly #ports: IRunRecordSweeperPorts;
  readonly #owned = new DisposableStore();
  #isSweeping = false;

  constructor(ports: IRunRecordSweeperPorts) {
    this.#ports = ports;
  }

  start(): void {
    this.#owned.add(this.#ports.clock.every(SWEEP_EVERY, () => this.#tick()));
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Removes what is too old in a bucket; returns how many were removed. */
  async sweep(bucket: number): Promise<number> {
    const { platform, clock } = this.#ports;
    const kind = kindOfBucket(bucket);
    const listed = await platform.list(kind);
    if (listed.isErr()) {
      return 0;
    }
    let removed = 0;
    for (const { name, value, version } of listed.value.objects) {
      const record = parseRunRecord(value);
      const age = clock.calendar() - (record?.createdAt ?? Infinity);
      if (age < RETENTION || removed >= LARGEST_ROUND) {
        continue;
      }
      const gone = await platform.remove(kind, name, version);
      removed += gone.isOk() ? 1 : 0;
    }
    return removed;
  }

  #tick(): void {
    const { isChosen, random } = this.#ports;
    if (isChosen() && !this.#isSweeping) {
      void this.#sweepOne(Math.floor(random.next() * RUN_BUCKETS));
    }
  }

  async #sweepOne(bucket: number): Promise<void> {
    this.#isSweeping = true;
    const removed = await this.sweep(bucket);
    this.#isSweeping = false;
    if (removed > 0) {
      this.#ports.log.info("run_records_removed", { bucket, removed });
    }
  }
}
