/**
 * Follows all objects of one kind in the store: lists them once, then watches.
 * A broken watch or an expired history leads to a new list.
 *
 * Each answered watch is a billed call, and each process watches. A pause after
 * each response with changes lets the next one carry all changes of a burst.
 * While another process relays what the store reports, this one does not query
 * the store at all. It queries again as soon as the relayed status is older
 * than the bounds for changes allow, so a relay that freezes or is cut off
 * costs at most a second.
 */
import type { Result } from "ts-results-es";
import { Backoff } from "../backoff.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IObjectStore,
  IPlatformObject,
  IRandom,
  IWatchResult,
} from "../services/services.ts";
import type { IKindStatus } from "../relay/types.ts";
import type { ICallFailure, MonotonicTime } from "../types.ts";
import type {
  IServiceTime,
  IStoreCall,
  IStoreTimes,
  StoreAvailability,
} from "./store_availability.ts";

/**
 * Duration of one watch, milliseconds. A dead connection is noticed only at its
 * end, so it bounds how long stale objects go unnoticed.
 */
const WATCH_TIME = 2_500;

/**
 * Age from which a relayed status is no longer used, milliseconds: half of the
 * bounds for changes, which leaves time to query the store.
 */
const LONGEST_RELAY_AGE = 1_000;

/** Interval of checks whether the relayed status is recent, milliseconds. */
const RELAY_CHECK_PERIOD = 50;

/**
 * Longest time from the store to this process that is allowed for, milliseconds:
 * what an answer contains may be older by it.
 */
const LONGEST_TRANSFER = 600;

/** Names of skipped objects in one log line. */
const SHOWN_NAMES = 5;

/** Pauses after failures, milliseconds: within the bounds for changes. */
const BACKOFF = { shortest: 50, longest: 400 };

/** Dependencies of {@link ObjectFollower}. */
export interface IFollowerParts {
  readonly store: IObjectStore;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
}

/** What is followed, and how. */
export interface IFollowerOptions {
  readonly kind: string;
  /** Milliseconds between an answered watch and the next. */
  readonly pause: () => number;
  /** Duration of one watch, milliseconds; {@link WATCH_TIME} by default. */
  readonly watchTime?: () => number;
  readonly availability: StoreAvailability;
  /** Number of known objects that write heartbeats; 0 by default. */
  readonly objectCount?: () => number;
  readonly onChanged: (changed: IObjectChanges) => void;
}

interface IRelayedStatus {
  readonly version: number;
  readonly changedVersion: number;
  /** When it is too old to be used. */
  readonly until: MonotonicTime;
}

/** Changed and removed objects. */
export interface IObjectChanges {
  readonly objects: readonly IPlatformObject[];
  readonly removed: readonly string[];
  /** The store's version at its response. */
  readonly version: number;
  /** All objects of the kind were listed: any not named are gone. */
  readonly isFullList: boolean;
  /** All changes since the answer before are later than this time. */
  readonly notBefore: MonotonicTime;
  readonly availability: IStoreTimes;
}

/** Follows the objects of one kind. */
export class ObjectFollower {
  readonly #parts: IFollowerParts;
  readonly #options: IFollowerOptions;
  readonly #abort = new AbortController();
  readonly #backoff: Backoff;
  /** Store version up to which all changes are known; null before a list. */
  #version: number | null = null;
  /** Whether to list again, unless another process relays the rest. */
  #mustList = true;
  #changedVersion = 0;
  #relayedStatus: IRelayedStatus | null = null;
  /** Whether the relayed status was recent enough at the last check. */
  #isRelayed = false;
  #isLoaded = false;
  #failedSince: MonotonicTime | null = null;
  #answeredAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** No change of which the last answer does not tell is earlier than this. */
  #knownAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  constructor(parts: IFollowerParts, options: IFollowerOptions) {
    this.#parts = parts;
    this.#options = options;
    this.#backoff = new Backoff(parts.random, BACKOFF);
  }

  start(): void {
    void this.#run();
  }

  /** Whether the objects have been listed once; an outage does not undo it. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Availability of the store, for the objects of this kind. */
  get availability(): StoreAvailability {
    return this.#options.availability;
  }

  /** The status to relay to others; null before the first list. */
  get status(): IKindStatus | null {
    if (this.#version === null) {
      return null;
    }
    const now = this.#parts.clock.now();
    const { returnedAt, service } = this.#options.availability;
    return {
      version: this.#version,
      changedVersion: this.#changedVersion,
      age: now - this.#answeredAt,
      ...(Number.isFinite(returnedAt) ? { returnAge: now - returnedAt } : {}),
      ...(service === null ? {} : { service: spanOf(service, now) }),
    };
  }

  /** Store version up to which all changes are known; 0 before a list. */
  get version(): number {
    return this.#version ?? 0;
  }

  /**
   * Receives the store's status as another process last read it.
   *
   * @param askedAt - when it was asked for: it may have waited here since
   */
  receiveRelayedStatus(status: IKindStatus, askedAt: MonotonicTime): void {
    const { version, changedVersion, age, returnAge = Infinity } = status;
    const { availability } = this.#options;
    const now = this.#parts.clock.now();
    const until = now + LONGEST_RELAY_AGE - age;
    this.#relayedStatus = { version, changedVersion, until };
    availability.recordRelayed(now - age, now - returnAge);
    if (status.service !== undefined) {
      const times = { notBefore: askedAt, now };
      availability.recordService(status.service, times);
    }
  }

  /** Records that another process relayed all changes up to a version. */
  advanceTo(version: number): void {
    if (this.#version !== null && version > this.#version) {
      this.#version = version;
    }
  }

  dispose(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#isUpToDateByRelay()) {
        await this.#wait(RELAY_CHECK_PERIOD);
      } else {
        await this.#query();
      }
    }
  }

  /** Whether the relayed status makes a query of the store unnecessary. */
  #isUpToDateByRelay(): boolean {
    const status = this.#relayedStatus;
    this.#setRelayed(status !== null && this.#parts.clock.now() < status.until);
    const isUpToDate =
      status !== null &&
      this.#isRelayed &&
      this.#version !== null &&
      this.#version >= status.changedVersion;
    if (isUpToDate) {
      this.advanceTo(status.version);
      this.#mustList = false;
      // The relaying process has seen the end of any outage. If an old one
      // counted as just ended here, removed entries would be kept.
      this.#options.availability.clearFailures();
      this.#failedSince = null;
    }
    return isUpToDate;
  }

  #setRelayed(isRelayed: boolean): void {
    if (isRelayed !== this.#isRelayed) {
      this.#isRelayed = isRelayed;
      const event = isRelayed ? "relay_heard" : "relay_lost";
      this.#parts.log.info(event, { kind: this.#options.kind });
    }
  }

  async #query(): Promise<void> {
    const isList = this.#mustList || this.#version === null;
    const watchTime = this.#options.watchTime?.() ?? WATCH_TIME;
    const call = {
      sentAt: this.#parts.clock.now(),
      wait: isList ? 0 : watchTime,
      isList,
    };
    const found = await (isList ? this.#list() : this.#watch(watchTime));
    if (this.#abort.signal.aborted) {
      return;
    }
    if (found.isErr()) {
      this.#recordFailure(call, found.error.detail);
      // The history may have expired, or events were lost with the connection.
      this.#mustList = true;
      await this.#wait(this.#backoff.nextDelay());
      return;
    }
    const { objects, removed = [] } = found.value;
    this.#apply(found.value, call);
    if (!isList && objects.length + removed.length > 0) {
      await this.#wait(this.#options.pause());
    }
  }

  #apply(found: IWatchResult, call: IStoreCall): void {
    const { availability, onChanged } = this.#options;
    const now = this.#parts.clock.now();
    const { objects, removed = [], version } = found;
    const notBefore = this.#knownAt;
    const before = this.version;
    const written = objects.filter((object) => object.version > before);
    const count = this.#options.objectCount?.() ?? 0;
    const content = {
      writtenShare: written.length / Math.max(written.length, count, 1),
      hasRemovals: removed.length > 0,
      notBefore,
    };
    const isReturn = availability.recordAnswer(call, content, now);
    this.#logReturn(isReturn, now);
    this.#logLeftOut(found);
    this.#answeredAt = now;
    this.#backoff.reset();
    // Another process relayed later versions while this response was awaited.
    if (version < this.version) {
      return;
    }
    this.#knownAt = Math.max(call.sentAt, now - LONGEST_TRANSFER);
    this.#version = version;
    this.#mustList = false;
    this.#isLoaded = true;
    const isFullList = call.isList;
    if (isFullList || objects.length > 0 || removed.length > 0) {
      this.#changedVersion = version;
      const time = { notBefore, availability };
      onChanged({ objects, removed, version, isFullList, ...time });
    }
  }

  #logLeftOut({ unreadable = 0, skipped = [] }: IWatchResult): void {
    const { log, metrics } = this.#parts;
    const { kind } = this.#options;
    if (unreadable > 0) {
      log.warn("objects_unreadable", { kind, count: unreadable });
    }
    if (skipped.length > 0) {
      skipped.forEach(() => metrics.count("objects_skipped", { kind }));
      log.warn("objects_skipped", {
        kind,
        count: skipped.length,
        names: skipped.slice(0, SHOWN_NAMES).join(","),
      });
    }
  }

  #logReturn(isAfterOutage: boolean, now: MonotonicTime): void {
    if (this.#failedSince !== null || isAfterOutage) {
      this.#parts.log.info("store_regained", {
        kind: this.#options.kind,
        away_ms: Math.round(now - (this.#failedSince ?? now)),
        unread_ms: Math.round(now - this.#answeredAt),
        is_outage: isAfterOutage,
      });
    }
    this.#failedSince = null;
  }

  #list(): Promise<Result<IWatchResult, ICallFailure>> {
    return this.#parts.store.list(this.#options.kind);
  }

  #watch(timeout: number): Promise<Result<IWatchResult, ICallFailure>> {
    const { signal } = this.#abort;
    const options = { timeout, signal };
    return this.#parts.store.watch(this.#options.kind, this.version, options);
  }

  #recordFailure(call: IStoreCall, detail: string): void {
    const now = this.#parts.clock.now();
    this.#options.availability.recordFailure(call, now);
    if (this.#failedSince === null) {
      this.#failedSince = now;
      this.#parts.log.warn("store_lost", { kind: this.#options.kind, detail });
    }
  }

  #wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.after(delay, resolve);
    });
  }
}

function spanOf({ from, until }: IServiceTime, now: MonotonicTime) {
  return { age: now - until, length: until - from };
}
