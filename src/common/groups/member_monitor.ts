/**
 * How long each member has been silent, and which were lost of late.
 *
 * What goes wrong without it: a daemon that has just started, or was paused,
 * has no fresh report of anybody. Taking that for the members' silence, a new
 * holder would tear down every healthy group of its domain at its first look.
 * Silence therefore counts only from when this daemon began to watch without
 * a gap.
 *
 * A member that comes and goes must not tear its group down and up each time:
 * the first loss costs nothing, and each further one doubles the time for which
 * it is kept out of groups; the losses are forgotten by halves.
 */
import type {
  IInstance,
  InstanceId,
  ISeenReport,
  MonotonicTime,
} from "../types.ts";
import { PauseWatch } from "../pause_watch.ts";
import { InstanceState, TargetState } from "../types.ts";

/** Bounds on silence and on members that come and go, milliseconds. */
export interface IMemberMonitorPolicy {
  /** A longer gap between two looks begins the watch anew. */
  readonly pauseBound: number;
  /** How long a member may be silent before it counts as lost. */
  readonly replaceAfter: number;
  /** How long a member is kept out of groups after a second loss. */
  readonly holdAfterLoss: number;
  /** Longest hold, however often it was lost. */
  readonly longestHold: number;
  /** Time in which half of the past losses are forgotten. */
  readonly forgetHalf: number;
}

interface ILossHistory {
  readonly count: number;
  readonly at: MonotonicTime;
}

/** One daemon's watch over the instances of one domain. */
export class MemberMonitor {
  readonly #policy: IMemberMonitorPolicy;
  readonly #losses = new Map<InstanceId, ILossHistory>();
  readonly #present = new Map<InstanceId, string>();
  readonly #pauses: PauseWatch;
  #reports: ReadonlyMap<InstanceId, ISeenReport> = new Map();
  #instances: ReadonlyMap<InstanceId, IInstance> = new Map();

  constructor(policy: IMemberMonitorPolicy) {
    this.#policy = policy;
    this.#pauses = new PauseWatch(policy.pauseBound);
  }

  /** Takes in what is known now; called at every tick. */
  update(
    instances: readonly IInstance[],
    reports: ReadonlyMap<InstanceId, ISeenReport>,
    now: MonotonicTime,
  ): void {
    this.#pauses.tick(now);
    this.#reports = reports;
    this.#instances = new Map(instances.map((entry) => [entry.id, entry]));
    for (const { id } of instances) {
      this.#noteLoss(id, now);
    }
  }

  /** Milliseconds since the instance last answered, as far as watched. */
  silence(id: InstanceId, now: MonotonicTime): number {
    const seenAt = this.#reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
    return now - Math.max(seenAt, this.#pauses.runningSince(now));
  }

  /** Silent for too long, off the list, or leaving. */
  isLost(id: InstanceId, now: MonotonicTime): boolean {
    const state = this.#reports.get(id)?.report.state;
    return (
      this.#instances.get(id)?.state !== InstanceState.Live ||
      state === TargetState.Leaving ||
      this.silence(id, now) > this.#policy.replaceAfter
    );
  }

  /** Whether a past loss still keeps the instance out of new groups. */
  isHeldOut(id: InstanceId, now: MonotonicTime): boolean {
    return now < this.heldOutUntil(id);
  }

  /** When the instance may be taken into a group again. */
  heldOutUntil(id: InstanceId): MonotonicTime {
    const losses = this.#losses.get(id);
    if (losses === undefined) {
      return Number.NEGATIVE_INFINITY;
    }
    const { holdAfterLoss, longestHold } = this.#policy;
    const hold = holdAfterLoss * (2 ** (losses.count - 1) - 1);
    return losses.at + Math.min(hold, longestHold);
  }

  #noteLoss(id: InstanceId, now: MonotonicTime): void {
    const report = this.#reports.get(id)?.report;
    const before = this.#present.get(id);
    const isLost = this.isLost(id, now);
    const isRestarted = before !== undefined && before !== report?.incarnation;
    if (before !== undefined && (isLost || isRestarted)) {
      this.#losses.set(id, { count: this.#remembered(id, now) + 1, at: now });
      this.#present.delete(id);
    }
    if (!isLost && report !== undefined) {
      this.#present.set(id, report.incarnation);
    }
  }

  /** Past losses, worn off by half in each period of forgetting. */
  #remembered(id: InstanceId, now: MonotonicTime): number {
    const losses = this.#losses.get(id);
    if (losses === undefined) {
      return 0;
    }
    return losses.count * 0.5 ** ((now - losses.at) / this.#policy.forgetHalf);
  }
}
