/**
 * What is known of the instances in this zone, and how fresh it is. Two daemons
 * poll each target and share what they saw by digests; a daemon that hears
 * nothing fresh of a target polls it itself.
 */
import { Backoff } from "../backoff.ts";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { PauseWatch } from "../pause_watch.ts";
import type {
  IInstance,
  InstanceId,
  ISeenReport,
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

/** Daemons that poll one target: one may die unnoticed for a few seconds. */
const POLLERS = 2;

/** Longest pause after a failed reading, milliseconds. */
const LONGEST_RETRY_PAUSE = 15_000;

/** Polls that a report may be old and still be shared as this daemon's. */
const SHARED_FOR_POLLS = 3;

/** How often and how long to ask, in milliseconds. */
export interface IDirectoryTiming {
  readonly pollEvery: number;
  readonly pollTimeout: number;
  readonly instancesEvery: number;
  /** Age of a report from which a daemon polls a target of others itself. */
  readonly pollOthersAfter: number;
  /** A longer gap between two looks at the targets is this daemon's pause. */
  readonly pauseBound: number;
}

/** What the directory works with. */
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
 * zone's targets. The list lags, so a target's own silence or word counts for
 * more.
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
  readonly #pauses: PauseWatch;
  readonly #asking = new Set<InstanceId>();
  /** Whether a target is this daemon's to poll; empty after a change. */
  readonly #shares = new Map<InstanceId, boolean>();
  readonly #own = new Map<InstanceId, ISeenReport>();
  #instances = new Map<InstanceId, IInstance>();
  readonly #reports = new Map<InstanceId, ISeenReport>();

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
    this.#pauses = new PauseWatch(options.timing.pauseBound);
  }

  /** Instances of this zone by the platform's lagging list. */
  get instances(): ReadonlyMap<InstanceId, IInstance> {
    return this.#instances;
  }

  /** The last report of each target. */
  get reports(): ReadonlyMap<InstanceId, ISeenReport> {
    return this.#reports;
  }

  /** Since when this daemon could have heard of all targets. */
  get watchedSince(): MonotonicTime {
    return this.#pauses.runningSince(this.#clock.now());
  }

  /** Reports that this daemon polled itself lately, to be shared. */
  ownReports(): readonly ISeenReport[] {
    const { pollEvery, pollTimeout } = this.#timing;
    const oldest =
      this.#clock.now() - SHARED_FOR_POLLS * pollEvery - pollTimeout;
    return [...this.#own.values()].filter(({ seenAt }) => seenAt >= oldest);
  }

  /** Takes reports that others polled; fresher ones stay. */
  mergeReports(reports: readonly ISeenReport[]): void {
    for (const seen of reports) {
      const id = seen.report.instance;
      const held = this.#reports.get(id);
      const isFresher = held === undefined || held.seenAt < seen.seenAt;
      if (isFresher && this.#instances.has(id)) {
        this.#reports.set(id, seen);
      }
    }
  }

  start(): void {
    void this.#follow();
    const { pollEvery } = this.#timing;
    this.#owned.add(this.#clock.every(pollEvery, () => this.#pollAll()));
    this.#owned.add(this.#live.onChanged(() => this.#shares.clear()));
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Reads the list each period; after failures ever less often. */
  async #follow(): Promise<void> {
    const isRead = await this.#readInstances();
    if (isRead) {
      this.#retry.reset();
    }
    const pause = isRead ? this.#timing.instancesEvery : this.#retry.next();
    this.#owned.add(this.#clock.after(pause, () => void this.#follow()));
  }

  async #readInstances(): Promise<boolean> {
    const listed = await this.#platform.instances();
    if (listed.isErr()) {
      return false;
    }
    const here = listed.value.filter((entry) => entry.zone === this.#zone);
    this.#instances = new Map(here.map((entry) => [entry.id, entry]));
    for (const known of [this.#reports, this.#own, this.#shares]) {
      for (const id of known.keys()) {
        if (!this.#instances.has(id)) {
          known.delete(id);
        }
      }
    }
    return true;
  }

  #pollAll(): void {
    const now = this.#clock.now();
    this.#pauses.tick(now);
    for (const instance of this.#instances.values()) {
      if (this.#isOwn(instance.id) || this.#isStale(instance.id, now)) {
        void this.#poll(instance);
      }
    }
  }

  #isOwn(id: InstanceId): boolean {
    let isOwn = this.#shares.get(id);
    if (isOwn === undefined) {
      isOwn = this.#live.isChosen(`poll ${id}`, POLLERS);
      this.#shares.set(id, isOwn);
    }
    return isOwn;
  }

  /**
   * Others should poll this target, and nothing fresh of it came from them:
   * they died, or the way to them is cut. Without polling it here a group would
   * seem incomplete though it serves.
   */
  #isStale(id: InstanceId, now: number): boolean {
    const seenAt = this.#reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
    return now - seenAt >= this.#timing.pollOthersAfter;
  }

  async #poll(instance: IInstance): Promise<void> {
    if (this.#asking.has(instance.id)) {
      return;
    }
    this.#asking.add(instance.id);
    this.#metrics.count("target_polls");
    const askedAt = this.#clock.now();
    const { pollTimeout } = this.#timing;
    const answer = await this.#targets.report(instance.address, pollTimeout);
    this.#asking.delete(instance.id);
    if (answer.isOk() && answer.value.instance === instance.id) {
      const seen = { report: answer.value, seenAt: askedAt };
      this.#own.set(instance.id, seen);
      this.mergeReports([seen]);
    }
  }
}
