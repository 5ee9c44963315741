/**
 * Instances of this zone and their latest reports. Two daemons poll each target
 * and share the reports by digests; a daemon that receives no fresh report of a
 * target polls it itself.
 */
import { Backoff } from "../backoff.ts";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { PauseDetector } from "../pause_detector.ts";
import type {
  IInstance,
  InstanceId,
  ITimestampedReport,
  MonotonicTime,
  ZoneName,
} from "../types.ts";
import type {
  IClock,
  ILiveDaemons,
  IMetrics,
  IPlatform,
  IRandom,
  ITargets,
} from "./services.ts";

/** Daemons that poll each target: one may be dead for seconds unnoticed. */
const POLLERS_PER_TARGET = 2;

/** Longest pause after a failed read of the instance list, milliseconds. */
const LONGEST_RETRY_PAUSE = 15_000;

/** Age up to which an own report is shared, in polling periods. */
const SHARED_POLL_PERIODS = 3;

/** Intervals and timeouts, milliseconds. */
export interface IDirectoryTiming {
  readonly pollEvery: number;
  readonly pollTimeout: number;
  readonly instancesEvery: number;
  /** Age of a report from which a daemon polls a target assigned to others. */
  readonly pollOthersAfter: number;
  /** A longer gap between two polling rounds counts as a process pause. */
  readonly pauseBound: number;
}

/** Dependencies of {@link TargetDirectory}. */
export interface IDirectoryPorts {
  readonly platform: IPlatform;
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly metrics: IMetrics;
  readonly live: ILiveDaemons;
}

/**
 * Reads the platform's list of instances and polls this daemon's share of the
 * zone's targets. The list lags, so a target's report, or the lack of one,
 * takes precedence.
 */
export class TargetDirectory implements IDisposable {
  readonly #platform: IPlatform;
  readonly #targets: ITargets;
  readonly #clock: IClock;
  readonly #zone: ZoneName;
  readonly #timing: IDirectoryTiming;
  readonly #owned = new DisposableStore();
  readonly #live: ILiveDaemons;
  readonly #metrics: IMetrics;
  readonly #retry: Backoff;
  readonly #pauses: PauseDetector;
  readonly #polling = new Set<InstanceId>();
  /** Whether this daemon polls a target; cleared when live daemons change. */
  readonly #assignments = new Map<InstanceId, boolean>();
  readonly #ownPolls = new Map<InstanceId, ITimestampedReport>();
  #instances = new Map<InstanceId, IInstance>();
  readonly #reports = new Map<InstanceId, ITimestampedReport>();

  constructor(
    ports: IDirectoryPorts,
    options: { readonly zone: ZoneName; readonly timing: IDirectoryTiming },
  ) {
    const { instancesEvery } = options.timing;
    const bounds = { shortest: instancesEvery, longest: LONGEST_RETRY_PAUSE };
    this.#live = ports.live;
    this.#metrics = ports.metrics;
    this.#retry = new Backoff(ports.random, bounds);
    this.#platform = ports.platform;
    this.#targets = ports.targets;
    this.#clock = ports.clock;
    this.#zone = options.zone;
    this.#timing = options.timing;
    this.#pauses = new PauseDetector(options.timing.pauseBound);
  }

  /** Instances of this zone according to the platform's lagging list. */
  get instances(): ReadonlyMap<InstanceId, IInstance> {
    return this.#instances;
  }

  /** The last report of each target. */
  get reports(): ReadonlyMap<InstanceId, ITimestampedReport> {
    return this.#reports;
  }

  /** Start of the current period without a process pause. */
  get watchedSince(): MonotonicTime {
    return this.#pauses.runningSince(this.#clock.now());
  }

  /** Recent reports that this daemon polled itself, to be shared. */
  ownReports(): readonly ITimestampedReport[] {
    const { pollEvery, pollTimeout } = this.#timing;
    const oldest =
      this.#clock.now() - SHARED_POLL_PERIODS * pollEvery - pollTimeout;
    return [...this.#ownPolls.values()].filter(
      ({ seenAt }) => seenAt >= oldest,
    );
  }

  /** Merges reports; skips unlisted instances and reports not fresher. */
  mergeReports(reports: readonly ITimestampedReport[]): void {
    for (const seen of reports) {
      const id = seen.report.instance;
      const known = this.#reports.get(id);
      const isFresher = known === undefined || known.seenAt < seen.seenAt;
      if (isFresher && this.#instances.has(id)) {
        this.#reports.set(id, seen);
      }
    }
  }

  start(): void {
    void this.#followInstances();
    const { pollEvery } = this.#timing;
    this.#owned.add(this.#clock.every(pollEvery, () => this.#pollAll()));
    this.#owned.add(this.#live.onChanged(() => this.#assignments.clear()));
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Reads the list periodically, with back-off after failures. */
  async #followInstances(): Promise<void> {
    const isRead = await this.#readInstances();
    if (isRead) {
      this.#retry.reset();
    }
    const pause = isRead
      ? this.#timing.instancesEvery
      : this.#retry.nextDelay();
    this.#owned.add(
      this.#clock.after(pause, () => void this.#followInstances()),
    );
  }

  async #readInstances(): Promise<boolean> {
    const listed = await this.#platform.instances();
    if (listed.isErr()) {
      return false;
    }
    const inZone = listed.value.filter((entry) => entry.zone === this.#zone);
    this.#instances = new Map(inZone.map((entry) => [entry.id, entry]));
    for (const byInstance of [
      this.#reports,
      this.#ownPolls,
      this.#assignments,
    ]) {
      for (const id of byInstance.keys()) {
        if (!this.#instances.has(id)) {
          byInstance.delete(id);
        }
      }
    }
    return true;
  }

  #pollAll(): void {
    const now = this.#clock.now();
    this.#pauses.tick(now);
    for (const instance of this.#instances.values()) {
      if (this.#isAssigned(instance.id) || this.#isStale(instance.id, now)) {
        void this.#poll(instance);
      }
    }
  }

  #isAssigned(id: InstanceId): boolean {
    let isAssigned = this.#assignments.get(id);
    if (isAssigned === undefined) {
      isAssigned = this.#live.isChosen(`poll ${id}`, POLLERS_PER_TARGET);
      this.#assignments.set(id, isAssigned);
    }
    return isAssigned;
  }

  /**
   * Whether the daemons that poll this target deliver no fresh report: they
   * died or are unreachable. Unless it is polled here too, its group would seem
   * incomplete although it serves.
   */
  #isStale(id: InstanceId, now: number): boolean {
    const seenAt = this.#reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
    return now - seenAt >= this.#timing.pollOthersAfter;
  }

  async #poll(instance: IInstance): Promise<void> {
    if (this.#polling.has(instance.id)) {
      return;
    }
    this.#polling.add(instance.id);
    this.#metrics.count("target_polls");
    const askedAt = this.#clock.now();
    const { pollTimeout } = this.#timing;
    const answer = await this.#targets.report(instance.address, pollTimeout);
    this.#polling.delete(instance.id);
    if (answer.isOk() && answer.value.instance === instance.id) {
      const seen = { report: answer.value, seenAt: askedAt };
      this.#ownPolls.set(instance.id, seen);
      this.mergeReports([seen]);
    }
  }
}
