/**
 * The platform's list of targets as this process believes it. While the store
 * is away entries lapse although their targets live; those are back within
 * some two seconds of its return. So what is missing after an outage is kept
 * for that long; otherwise an outage of the store would empty the list and
 * every call would be refused at its end.
 */
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { ITargetChanges } from "../relay/types.ts";
import type { IObjectChanges } from "./object_follower.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

/** Reads an entry; null where it names no target. */
export type DecodeTarget = (id: string, value: unknown) => IListedTarget | null;

/** Targets by id. */
export class TargetRegistry {
  readonly #decode: DecodeTarget;
  /** Milliseconds that a missing entry is kept after an outage. */
  readonly #reappearTime: number;
  readonly #targets = new Map<InstanceId, IListedTarget>();
  /** Missing since the store's return, and until when they are kept. */
  readonly #missing = new Map<InstanceId, MonotonicTime>();
  #returnedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

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

  /** Those of a service that may be sent new work. */
  ready(service: ServiceName): readonly IListedTarget[] {
    return this.ofService(service).filter(
      ({ state }) => state === ListedState.Ready,
    );
  }

  applyStoreChanges(change: IObjectChanges, now: MonotonicTime): void {
    if (change.isAfterOutage) {
      this.#returnedAt = now;
    }
    const named = new Set<InstanceId>();
    for (const { name, value } of change.objects) {
      const target = this.#decode(name, value);
      if (target !== null) {
        named.add(name);
        this.#missing.delete(name);
        this.#targets.set(name, target);
      } else {
        this.#targets.delete(name);
      }
    }
    const gone = change.isFullList
      ? [...this.#targets.keys()].filter((id) => !named.has(id))
      : change.removed;
    for (const id of gone) {
      this.#remove(id, now);
    }
  }

  /** Takes changes that another process has read. */
  applyRelayedChanges(
    { targets, removed }: ITargetChanges,
    now: MonotonicTime,
  ): void {
    for (const target of targets) {
      this.#missing.delete(target.id);
      this.#targets.set(target.id, target);
    }
    for (const id of removed) {
      this.#remove(id, now);
    }
  }

  /** Drops what has not come back; returns whether anything was dropped. */
  removeExpired(now: MonotonicTime): boolean {
    let isChanged = false;
    for (const [id, until] of this.#missing) {
      if (now >= until) {
        this.#missing.delete(id);
        isChanged = this.#targets.delete(id) || isChanged;
      }
    }
    return isChanged;
  }

  #remove(id: InstanceId, now: MonotonicTime): void {
    const until = this.#returnedAt + this.#reappearTime;
    if (now < until) {
      this.#missing.set(id, until);
    } else {
      this.#targets.delete(id);
    }
  }
}
