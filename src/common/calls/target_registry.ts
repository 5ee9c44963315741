/**
 * The platform's list of targets as known to this process. During an outage of
 * the store, entries expire although their targets are alive; they return
 * within about two seconds after the outage. So entries that may have expired
 * in an outage are kept for that long. Otherwise an outage would empty the list,
 * and every call would be refused at its end. An entry that was written too
 * recently to expire was removed, and its target is dropped at once.
 *
 * A target that has said in an answer that it is about to leave counts as
 * draining, whatever the list shows: some never report it to the platform, and
 * the list lags.
 */
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { ILog } from "../services/services.ts";
import type { ITargetChanges } from "../relay/types.ts";
import { EntryRenewals } from "./entry_renewals.ts";
import type { IObjectChanges } from "./object_follower.ts";
import type { IStoreTimes } from "./store_availability.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

/** Decodes an entry; null if it is not a target. */
export type DecodeTarget = (id: string, value: unknown) => IListedTarget | null;

/** Start of targets that do not report it. */
const NO_START_TIME = 0;

/**
 * Milliseconds for which a target whose start is not known counts as leaving: it
 * serves on for a while after it has said so, whether it is listed or not.
 */
const LEAVING_TIME = 60_000;

/** Leaving targets remembered; beyond it the oldest is forgotten. */
const MAXIMUM_LEAVING = 10_000;

/** Targets that one log line names. */
const MAXIMUM_LOGGED = 5;

/** Dependencies of {@link TargetRegistry}. */
export interface ITargetRegistryParts {
  readonly decode: DecodeTarget;
  /** Milliseconds without a heartbeat after which an entry expires. */
  readonly expiryTime: number;
  /** Milliseconds that a missing entry is kept after an outage. */
  readonly reappearTime: number;
  readonly log: ILog;
}

/** Where a removal was learned. */
enum RemovalSource {
  Store = "store",
  Relay = "relay",
  /** The entry was kept, and has not returned. */
  Expiry = "expiry",
}

/** What a target has said in an answer. */
interface ILeavingNotice {
  /** Start of the run that is about to end; {@link NO_START_TIME} if unknown. */
  readonly startedAt: number;
  readonly at: MonotonicTime;
}

interface IMissingEntry {
  /** When the removal was learned first. */
  readonly since: MonotonicTime;
  /** Until when the target is kept. */
  readonly until: MonotonicTime;
}

/** Targets by id. */
export class TargetRegistry {
  readonly #parts: ITargetRegistryParts;
  readonly #targets = new Map<InstanceId, IListedTarget>();
  /** Entries missing after an outage. */
  readonly #missing = new Map<InstanceId, IMissingEntry>();
  readonly #leaving = new Map<InstanceId, ILeavingNotice>();
  /** Leaving targets as they are listed. */
  readonly #leavingListed = new Map<InstanceId, IListedTarget>();
  readonly #renewals = new EntryRenewals();

  constructor(parts: ITargetRegistryParts) {
    this.#parts = parts;
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

  /** Whether a target is listed and accepts new calls. */
  isReady(id: InstanceId): boolean {
    return this.#targets.get(id)?.state === ListedState.Ready;
  }

  /** Start of a target in calendar milliseconds; null if it is not listed. */
  startOf(id: InstanceId): number | null {
    return this.#targets.get(id)?.startedAt ?? null;
  }

  /**
   * Records that a target is about to leave; returns whether that is new.
   *
   * @param startedAt - start of the run that is about to end, in calendar
   *   milliseconds: the same id may start again; 0 if it is not known
   */
  recordLeaving(
    id: InstanceId,
    startedAt: number,
    now: MonotonicTime,
  ): boolean {
    const isNew = !this.#isLeaving(id, startedAt, now);
    if (!isNew && startedAt !== NO_START_TIME) {
      return false;
    }
    this.#leaving.set(id, { startedAt, at: now });
    const target = this.#targets.get(id);
    if (target !== undefined) {
      this.#set(target, now);
    }
    const [oldest] = this.#leaving.keys();
    if (this.#leaving.size > MAXIMUM_LEAVING && oldest !== undefined) {
      this.#leaving.delete(oldest);
    }
    return isNew;
  }

  applyStoreChanges(change: IObjectChanges, now: MonotonicTime): void {
    const listed = new Set<InstanceId>();
    const draining: InstanceId[] = [];
    for (const { name, version, value } of change.objects) {
      const target = this.#parts.decode(name, value);
      if (target !== null) {
        listed.add(name);
        this.#missing.delete(name);
        if (this.#set(target, now)) {
          draining.push(name);
        }
        this.#renewals.record(name, version, change);
      } else {
        this.#delete(name);
      }
    }
    const removedIds = change.isFullList
      ? [...this.#targets.keys()].filter((id) => !listed.has(id))
      : change.removed;
    const known = removedIds.filter((id) => this.#targets.has(id));
    this.#removeAll(known, change, now);
    this.#logDraining(draining, RemovalSource.Store);
  }

  /** Applies changes that another process has read from the store. */
  applyRelayedChanges(
    { targets, removed, expiring = {} }: ITargetChanges,
    availability: IStoreTimes,
    now: MonotonicTime,
  ): void {
    targets.forEach(({ id }) => this.#missing.delete(id));
    const draining = targets.filter((target) => this.#set(target, now));
    this.#logDraining(
      draining.map(({ id }) => id),
      RemovalSource.Relay,
    );
    // The other process may have missed what this one or others have read.
    const isKept = !this.#hasServedUntil(now, availability);
    const doubtful = Object.keys(expiring);
    const dropped = [...removed, ...(isKept ? [] : doubtful)].filter((id) =>
      this.#targets.has(id),
    );
    dropped.forEach((id) => this.#delete(id));
    this.#logDropped(dropped, RemovalSource.Relay, 0);
    const kept = doubtful.filter((id) => this.#targets.has(id));
    this.#keepAll(kept, RemovalSource.Relay, {
      ...{ availability, now },
      until: (id) => now + (expiring[id] ?? 0),
    });
  }

  /** Records that all targets that are not missing were written since then. */
  recordRenewal(since: MonotonicTime): void {
    this.#renewals.recordAll(since);
  }

  /** All targets that are not missing were written since this time. */
  get renewedSince(): MonotonicTime {
    const times = [...this.#targets.keys()]
      .filter((id) => !this.#missing.has(id))
      .map((id) => this.#renewals.timeOf(id));
    return times.reduce((first, time) => Math.min(first, time), Infinity);
  }

  /** Milliseconds for which a removed target is kept; null if it is not. */
  timeLeft(id: InstanceId, now: MonotonicTime): number | null {
    const missing = this.#missing.get(id);
    return missing === undefined ? null : Math.max(0, missing.until - now);
  }

  /** Ends what holds for a time; returns whether any target has changed. */
  update(now: MonotonicTime, availability: IStoreTimes): boolean {
    const hasEnded = this.#endNotices(now);
    return this.#removeExpired(now, availability) || hasEnded;
  }

  #endNotices(now: MonotonicTime): boolean {
    const ended = [...this.#leaving].filter(
      ([, { startedAt, at }]) =>
        startedAt === NO_START_TIME && now - at >= LEAVING_TIME,
    );
    for (const [id] of ended) {
      this.#leaving.delete(id);
      const listed = this.#leavingListed.get(id);
      if (listed !== undefined) {
        this.#set(listed, now);
      }
    }
    return ended.length > 0;
  }

  /**
   * Drops entries that have not returned, or that cannot have expired by an
   * outage, as is known now; returns whether any was dropped. An outage may have
   * begun since the store was last read.
   */
  #removeExpired(now: MonotonicTime, availability: IStoreTimes): boolean {
    const { readAt, returnedAt } = availability;
    const { reappearTime } = this.#parts;
    const shortestUntil = returnedAt + reappearTime;
    const hadTime = availability.hasServed(readAt - reappearTime, readAt);
    const expired = [...this.#missing].filter(
      ([, { since, until }]) =>
        hadTime ||
        readAt >= Math.max(until, shortestUntil) ||
        this.#hasServedUntil(since, availability),
    );
    expired.forEach(([id]) => this.#delete(id));
    const firstSince = Math.min(...expired.map(([, { since }]) => since));
    const ids = expired.map(([id]) => id);
    this.#logDropped(ids, RemovalSource.Expiry, now - firstSince);
    return expired.length > 0;
  }

  /** Returns whether the target has begun to drain. */
  #set(target: IListedTarget, now: MonotonicTime): boolean {
    const isLeaving = this.#isLeaving(target.id, target.startedAt, now);
    const state = isLeaving ? ListedState.Draining : target.state;
    if (isLeaving) {
      this.#leavingListed.set(target.id, target);
    } else {
      this.#leavingListed.delete(target.id);
    }
    const before = this.#targets.get(target.id)?.state;
    this.#targets.set(target.id, { ...target, state });
    return state === ListedState.Draining && before === ListedState.Ready;
  }

  #isLeaving(id: InstanceId, startedAt: number, now: MonotonicTime): boolean {
    const notice = this.#leaving.get(id);
    if (notice === undefined) {
      return false;
    }
    // Without both starts, nothing tells the run that leaves from a later one.
    return notice.startedAt === NO_START_TIME || startedAt === NO_START_TIME
      ? now - notice.at < LEAVING_TIME
      : startedAt <= notice.startedAt;
  }

  #removeAll(
    ids: readonly InstanceId[],
    { availability }: IObjectChanges,
    now: MonotonicTime,
  ): void {
    // The time of those that are kept already does not start anew.
    const present = ids.filter((id) => !this.#missing.has(id));
    const { interruptedUntil } = availability;
    const doubtfulSince = Math.max(
      interruptedUntil,
      availability.servesSince(now),
    );
    const until = doubtfulSince + this.#parts.reappearTime;
    const isDoubtful = now < until && !this.#hasServedUntil(now, availability);
    const mayHaveExpired = (id: InstanceId) =>
      isDoubtful && now - this.#renewals.timeOf(id) >= this.#parts.expiryTime;
    const kept = present.filter(mayHaveExpired);
    const dropped = present.filter((id) => !mayHaveExpired(id));
    this.#keepAll(kept, RemovalSource.Store, {
      ...{ availability, now },
      until: () => until,
    });
    dropped.forEach((id) => this.#delete(id));
    this.#logDropped(dropped, RemovalSource.Store, 0);
  }

  #keep(id: InstanceId, now: MonotonicTime, until: MonotonicTime): void {
    const since = this.#missing.get(id)?.since ?? now;
    this.#missing.set(id, { since, until });
    this.#renewals.forget(id);
  }

  #delete(id: InstanceId): void {
    this.#targets.delete(id);
    this.#leavingListed.delete(id);
    this.#missing.delete(id);
    this.#renewals.forget(id);
  }

  /**
   * Whether the store served for so long until a time that an entry which was
   * missing then has expired by its target's own silence, or was removed.
   */
  #hasServedUntil(time: MonotonicTime, availability: IStoreTimes): boolean {
    return availability.hasServed(time - this.#parts.expiryTime, time);
  }

  #keepAll(
    ids: readonly InstanceId[],
    source: RemovalSource,
    {
      availability: { service },
      now,
      until,
    }: {
      readonly availability: IStoreTimes;
      readonly now: MonotonicTime;
      readonly until: (id: InstanceId) => MonotonicTime;
    },
  ): void {
    if (ids.length === 0) {
      return;
    }
    const writtenAges = ids.map((id) => now - this.#renewals.timeOf(id));
    ids.forEach((id) => this.#keep(id, now, until(id)));
    const times = ids.map((id) => this.timeLeft(id, now) ?? 0);
    this.#parts.log.info("targets_kept", {
      source,
      ...namesOf(ids),
      for_ms: Math.round(Math.max(...times)),
      written_ms: roundedOrNull(Math.max(...writtenAges)),
      served_ms: service && Math.round(service.until - service.from),
      served_age_ms: service && Math.round(now - service.until),
    });
  }

  #logDraining(ids: readonly InstanceId[], source: RemovalSource): void {
    if (ids.length > 0) {
      this.#parts.log.info("targets_draining", { source, ...namesOf(ids) });
    }
  }

  /** @param age - milliseconds since the first of the removals was learned */
  #logDropped(
    ids: readonly InstanceId[],
    source: RemovalSource,
    age: number,
  ): void {
    if (ids.length > 0) {
      this.#parts.log.info("targets_dropped", {
        source,
        ...namesOf(ids),
        after_ms: Math.round(age),
      });
    }
  }
}

/** Null for an age that is not known. */
function roundedOrNull(age: number): number | null {
  return Number.isFinite(age) ? Math.round(age) : null;
}

function namesOf(ids: readonly InstanceId[]) {
  return {
    count: ids.length,
    targets: ids.slice(0, MAXIMUM_LOGGED).join(","),
  };
}
