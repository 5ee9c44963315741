/**
 * Tracks how long each member has been silent and which were lost recently.
 *
 * A daemon that has just started or was paused has no fresh report of any
 * member. If it took that for silence, a new holder would dissolve every
 * healthy group of its domain on its first update. Silence therefore counts
 * only from when this daemon began to run without a gap.
 *
 * A member that comes and goes must not make its group re-form each time. The
 * first loss has no consequence, and each further one soon after at least
 * doubles the time for which it is held out of groups, up to a bound. The count
 * of losses decays with a half-life.
 */
import type {
  IInstance,
  InstanceId,
  ITimestampedReport,
  MonotonicTime,
} from "../types.ts";
import { PauseDetector } from "../pause_detector.ts";
import { InstanceState, TargetState } from "../types.ts";

/** Bounds on silence and on flapping members, milliseconds. */
export interface IMemberMonitorPolicy {
  /** A longer gap between two updates restarts the measurement of silence. */
  readonly pauseBound: number;
  /** How long a member may be silent before it counts as lost. */
  readonly replaceAfter: number;
  /** How long a member is held out of groups after its second loss. */
  readonly holdAfterLoss: number;
  /** Longest hold, however often it was lost. */
  readonly longestHold: number;
  /** Half-life of the count of past losses, milliseconds. */
  readonly halfLife: number;
}

interface ILossHistory {
  readonly count: number;
  readonly at: MonotonicTime;
}

/** Monitors the instances of one domain in one daemon. */
export class MemberMonitor {
  readonly #policy: IMemberMonitorPolicy;
  readonly #losses = new Map<InstanceId, ILossHistory>();
  readonly #incarnations = new Map<InstanceId, string>();
  readonly #pauses: PauseDetector;
  #reports: ReadonlyMap<InstanceId, ITimestampedReport> = new Map();
  #instances: ReadonlyMap<InstanceId, IInstance> = new Map();

  constructor(policy: IMemberMonitorPolicy) {
    this.#policy = policy;
    this.#pauses = new PauseDetector(policy.pauseBound);
  }

  /** Updates the known state. Call it at every tick. */
  update(
    instances: readonly IInstance[],
    reports: ReadonlyMap<InstanceId, ITimestampedReport>,
    now: MonotonicTime,
  ): void {
    this.#pauses.tick(now);
    this.#reports = reports;
    this.#instances = new Map(instances.map((entry) => [entry.id, entry]));
    for (const { id } of instances) {
      this.#recordLoss(id, now);
    }
  }

  /**
   * Milliseconds since the instance last answered, or since this daemon's last
   * pause if that was later.
   */
  silence(id: InstanceId, now: MonotonicTime): number {
    const seenAt = this.#reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
    return now - Math.max(seenAt, this.#pauses.runningSince(now));
  }

  /**
   * Whether it has been silent for too long, is not listed as live, or is
   * leaving.
   */
  isLost(id: InstanceId, now: MonotonicTime): boolean {
    const state = this.#reports.get(id)?.report.state;
    return (
      this.#instances.get(id)?.state !== InstanceState.Live ||
      state === TargetState.Leaving ||
      this.silence(id, now) > this.#policy.replaceAfter
    );
  }

  /** Whether past losses still hold the instance out of new groups. */
  isHeldOut(id: InstanceId, now: MonotonicTime): boolean {
    return now < this.heldOutUntil(id);
  }

  /** When the instance may join a group again. */
  heldOutUntil(id: InstanceId): MonotonicTime {
    const losses = this.#losses.get(id);
    if (losses === undefined) {
      return Number.NEGATIVE_INFINITY;
    }
    const { holdAfterLoss, longestHold } = this.#policy;
    const hold = holdAfterLoss * (2 ** (losses.count - 1) - 1);
    return losses.at + Math.min(hold, longestHold);
  }

  #recordLoss(id: InstanceId, now: MonotonicTime): void {
    const report = this.#reports.get(id)?.report;
    const before = this.#incarnations.get(id);
    const isLost = this.isLost(id, now);
    const isRestarted = before !== undefined && before !== report?.incarnation;
    if (before !== undefined && (isLost || isRestarted)) {
      this.#losses.set(id, {
        count: this.#decayedLossCount(id, now) + 1,
        at: now,
      });
      this.#incarnations.delete(id);
    }
    if (!isLost && report !== undefined) {
      this.#incarnations.set(id, report.incarnation);
    }
  }

  /** The count of past losses after decay. */
  #decayedLossCount(id: InstanceId, now: MonotonicTime): number {
    const losses = this.#losses.get(id);
    if (losses === undefined) {
      return 0;
    }
    return losses.count * 0.5 ** ((now - losses.at) / this.#policy.halfLife);
  }
}
