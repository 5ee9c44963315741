/**
 * The platform's list of targets as known to this process. During an outage of
 * the store, entries expire although their targets are alive; they return
 * within about two seconds after the outage. So entries that are missing after
 * an outage are kept for that long. Otherwise an outage would empty the list,
 * and every call would be refused at its end.
 *
 * A target that has said in an answer that it is about to leave counts as
 * draining, whatever the list shows: some never report it to the platform, and
 * the list lags.
 */
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { ITargetChanges } from "../relay/types.ts";
import type { IObjectChanges } from "./object_follower.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

/** Decodes an entry; null if it is not a target. */
export type DecodeTarget = (id: string, value: unknown) => IListedTarget | null;

/** Start of targets that do not report it. */
const NO_START_TIME = 0;

/** Leaving targets remembered; beyond it the oldest is forgotten. */
const MAXIMUM_LEAVING = 10_000;

/** Targets by id. */
export class TargetRegistry {
  readonly #decode: DecodeTarget;
  /** Milliseconds that a missing entry is kept after an outage. */
  readonly #reappearTime: number;
  readonly #targets = new Map<InstanceId, IListedTarget>();
  /** Entries missing after an outage, and until when they are kept. */
  readonly #missing = new Map<InstanceId, MonotonicTime>();
  /** Targets that are about to leave, with the start of that run. */
  readonly #leaving = new Map<InstanceId, number>();
  #storeReturnedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  constructor(decode: DecodeTarget, reappearTime: number) {
    this.#decode = decode;
    this.#reappearTime = reappearTime;
  }

  get all(): ReadonlyMap<InstanceId, IListedTarget> {
    return this.#targets;
  }

  ofService(service: ServiceName): readonly IListedTarget[] {
    return [...this.#targets.values()].filter(
      (target) => target.service === service,
    );
  }

  /** The targets of a service that accept new calls. */
  ready(service: ServiceName): readonly IListedTarget[] {
    return this.ofService(service).filter(
      ({ state }) => state === ListedState.Ready,
    );
  }

  /** Start of a target in calendar milliseconds; null if it is not listed. */
  startOf(id: InstanceId): number | null {
    return this.#targets.get(id)?.startedAt ?? null;
  }

  /**
   * Records that a target is about to leave; returns whether that is new.
   *
   * @param startedAt - start of the run that is about to end: the same id may
   *   start again
   */
  recordLeaving(id: InstanceId, startedAt: number): boolean {
    const known = this.#leaving.get(id);
    if (known !== undefined && known >= startedAt) {
      return false;
    }
    this.#leaving.set(id, startedAt);
    const target = this.#targets.get(id);
    if (target !== undefined) {
      this.#set(target);
    }
    const [oldest] = this.#leaving.keys();
    if (this.#leaving.size > MAXIMUM_LEAVING && oldest !== undefined) {
      this.#leaving.delete(oldest);
    }
    return true;
  }

  applyStoreChanges(change: IObjectChanges, now: MonotonicTime): void {
    if (change.isAfterOutage) {
      this.#storeReturnedAt = now;
    }
    const listed = new Set<InstanceId>();
    for (const { name, value } of change.objects) {
      const target = this.#decode(name, value);
      if (target !== null) {
        listed.add(name);
        this.#missing.delete(name);
        this.#set(target);
      } else {
        this.#targets.delete(name);
      }
    }
    const removedIds = change.isFullList
      ? [...this.#targets.keys()].filter((id) => !listed.has(id))
      : change.removed;
    for (const id of removedIds) {
      this.#remove(id, now);
    }
  }

  /** Applies changes that another process has read from the store. */
  applyRelayedChanges(
    { targets, removed, expiring = {} }: ITargetChanges,
    now: MonotonicTime,
  ): void {
    for (const target of targets) {
      this.#missing.delete(target.id);
      this.#set(target);
    }
    for (const id of removed) {
      this.#remove(id, now);
    }
    for (const [id, timeLeft] of Object.entries(expiring)) {
      if (this.#targets.has(id)) {
        this.#missing.set(id, now + timeLeft);
      }
    }
  }

  /** Milliseconds for which a removed target is kept; null if it is not. */
  timeLeft(id: InstanceId, now: MonotonicTime): number | null {
    const until = this.#missing.get(id);
    return until === undefined ? null : Math.max(0, until - now);
  }

  /** Drops entries that have not returned; returns whether any was dropped. */
  removeExpired(now: MonotonicTime): boolean {
    let isChanged = false;
    for (const [id, until] of this.#missing) {
      if (now >= until) {
        this.#missing.delete(id);
        isChanged = this.#delete(id) || isChanged;
      }
    }
    return isChanged;
  }

  #set(target: IListedTarget): void {
    const leaving = this.#leaving.get(target.id);
    const isLeaving = leaving !== undefined && target.startedAt <= leaving;
    const state = isLeaving ? ListedState.Draining : target.state;
    this.#targets.set(target.id, { ...target, state });
  }

  #remove(id: InstanceId, now: MonotonicTime): void {
    const until = this.#storeReturnedAt + this.#reappearTime;
    if (now < until) {
      this.#missing.set(id, until);
    } else {
      this.#delete(id);
    }
  }

  #delete(id: InstanceId): boolean {
    // Without a start time, only its removal tells that it may start again.
    if (this.startOf(id) === NO_START_TIME) {
      this.#leaving.delete(id);
    }
    return this.#targets.delete(id);
  }
}
