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
import { Backoff } from "../backoff.ts";
import type {
  IClock,
  ILog,
  IObjectStore,
  IPlatformObject,
  IRandom,
  IWatchResult,
} from "../services/services.ts";
import type { IKindStatus } from "../relay/types.ts";
import type { MonotonicTime } from "../types.ts";

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

/** Pauses after failures, milliseconds: within the bounds for changes. */
const BACKOFF = { shortest: 50, longest: 400 };

/** Dependencies of {@link ObjectFollower}. */
export interface IFollowerParts {
  readonly store: IObjectStore;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
}

/** What is followed, and how. */
export interface IFollowerOptions {
  readonly kind: string;
  /** Milliseconds between an answered watch and the next. */
  readonly pause: () => number;
  /** Duration of one watch, milliseconds; {@link WATCH_TIME} by default. */
  readonly watchTime?: () => number;
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
  /** The store was unreachable just before. */
  readonly isAfterOutage: boolean;
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
  #relayReadAt: MonotonicTime = Number.NEGATIVE_INFINITY;

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

  /** When the store was last read, by this process or by another one. */
  get readAt(): MonotonicTime {
    return Math.max(this.#answeredAt, this.#relayReadAt);
  }

  /** The status to relay to others; null before the first list. */
  get status(): IKindStatus | null {
    return this.#version === null
      ? null
      : {
          version: this.#version,
          changedVersion: this.#changedVersion,
          age: this.#parts.clock.now() - this.#answeredAt,
        };
  }

  /** Store version up to which all changes are known; 0 before a list. */
  get version(): number {
    return this.#version ?? 0;
  }

  /** Receives the store's status as another process last read it. */
  receiveRelayedStatus({ version, changedVersion, age }: IKindStatus): void {
    const readAt = this.#parts.clock.now() - age;
    const until = readAt + LONGEST_RELAY_AGE;
    this.#relayReadAt = Math.max(this.#relayReadAt, readAt);
    this.#relayedStatus = { version, changedVersion, until };
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
      // The relaying process keeps what expired in an outage. If an old outage
      // counted as just ended here, removed entries would be kept.
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
    const isFullList = this.#mustList || this.#version === null;
    const found = isFullList ? await this.#list() : await this.#watch();
    if (this.#abort.signal.aborted) {
      return;
    }
    if (found === null) {
      await this.#wait(this.#backoff.nextDelay());
      return;
    }
    this.#apply(found, isFullList);
    const changes = found.objects.length + (found.removed ?? []).length;
    if (!isFullList && changes > 0) {
      await this.#wait(this.#options.pause());
    }
  }

  #apply(found: IWatchResult, isFullList: boolean): void {
    const { log, clock } = this.#parts;
    const { kind, onChanged } = this.#options;
    const isAfterOutage = this.#failedSince !== null;
    if (this.#failedSince !== null) {
      log.info("store_regained", {
        kind,
        away_ms: Math.round(clock.now() - this.#failedSince),
      });
    }
    this.#failedSince = null;
    this.#answeredAt = clock.now();
    this.#backoff.reset();
    const { objects, removed = [], version } = found;
    // Another process relayed later versions while this response was awaited.
    if (version < this.version) {
      return;
    }
    this.#version = version;
    this.#mustList = false;
    this.#isLoaded = true;
    const isChanged = isFullList || objects.length > 0 || removed.length > 0;
    if (isChanged) {
      this.#changedVersion = version;
    }
    if (isChanged || isAfterOutage) {
      onChanged({
        objects,
        removed,
        version,
        isFullList,
        isAfterOutage,
      });
    }
  }

  async #list(): Promise<IWatchResult | null> {
    const found = await this.#parts.store.list(this.#options.kind);
    if (found.isErr()) {
      this.#recordFailure(found.error.detail);
      return null;
    }
    return found.value;
  }

  async #watch(): Promise<IWatchResult | null> {
    const found = await this.#parts.store.watch(
      this.#options.kind,
      this.version,
      {
        timeout: this.#options.watchTime?.() ?? WATCH_TIME,
        signal: this.#abort.signal,
      },
    );
    if (found.isErr()) {
      if (!this.#abort.signal.aborted) {
        this.#recordFailure(found.error.detail);
      }
      // The history may have expired, or events were lost with the connection.
      this.#mustList = true;
      return null;
    }
    return found.value;
  }

  #recordFailure(detail: string): void {
    if (this.#failedSince === null) {
      this.#failedSince = this.#parts.clock.now();
      this.#parts.log.warn("store_lost", { kind: this.#options.kind, detail });
    }
  }

  #wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.after(delay, resolve);
    });
  }
}
