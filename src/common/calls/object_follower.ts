/**
 * Follows all objects of one kind in the store: reads them once, then watches.
 * A watch that is cut, or a history that is gone, leads to a fresh read.
 *
 * Each answered watch is a call that is paid for, and each daemon watches. A
 * pause after each answer gathers the changes of a busy moment into one. While
 * another process passes on what the store tells it, this one does not ask at
 * all; it does again as soon as that word is older than the bounds for changes
 * allow, so a relay that freezes or is cut off costs a second at most.
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
 * How long one watch waits, milliseconds. A connection that went silent shows
 * only when it is over, so it bounds how old a belief can be unnoticed.
 */
const WATCH_TIME = 2_500;

/**
 * Age from which another process's word on the store is not gone by,
 * milliseconds: half of the bounds for changes, which leaves time to ask.
 */
const LONGEST_RELAY_AGE = 1_000;

/** How often a follower that is told by another looks whether it still is. */
const RELAY_LOOK_PERIOD = 50;

/** Pauses after failures, milliseconds: within the bounds for changes. */
const BACKOFF = { shortest: 50, longest: 400 };

/** What a follower needs. */
export interface IFollowerParts {
  readonly store: IObjectStore;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
}

/** What is followed. */
export interface IFollowerOptions {
  readonly kind: string;
  /** Milliseconds between an answered watch and the next. */
  readonly pause: () => number;
  /** Milliseconds that one watch waits; {@link WATCH_TIME} where left out. */
  readonly watchTime?: () => number;
  readonly onChanged: (changed: IObjectChanges) => void;
}

interface IRelayed {
  readonly version: number;
  readonly changedVersion: number;
  /** When it is too old to go by. */
  readonly until: MonotonicTime;
}

/** Objects changed and gone. */
export interface IObjectChanges {
  readonly objects: readonly IPlatformObject[];
  readonly removed: readonly string[];
  /** The store's version at its answer. */
  readonly version: number;
  /** All objects of the kind were read: those not named are gone. */
  readonly isFullList: boolean;
  /** The store had been out of reach just before. */
  readonly isAfterOutage: boolean;
}

/** Follows one kind. */
export class ObjectFollower {
  readonly #parts: IFollowerParts;
  readonly #options: IFollowerOptions;
  readonly #abort = new AbortController();
  readonly #backoff: Backoff;
  /** The store's version up to which all is known; null before a list. */
  #version: number | null = null;
  /** Whether all must be read again, unless another process knows the rest. */
  #mustList = true;
  #changedVersion = 0;
  #relay: IRelayed | null = null;
  /** Whether the relay was young enough at the last look. */
  #isRelayed = false;
  #isKnown = false;
  #failedSince: MonotonicTime | null = null;
  #answeredAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  constructor(parts: IFollowerParts, options: IFollowerOptions) {
    this.#parts = parts;
    this.#options = options;
    this.#backoff = new Backoff(parts.random, BACKOFF);
  }

  start(): void {
    void this.#run();
  }

  /** Whether the objects have been read once; an outage does not undo it. */
  get isLoaded(): boolean {
    return this.#isKnown;
  }

  /** When the store last answered. */
  get answeredAt(): MonotonicTime {
    return this.#answeredAt;
  }

  /** What may be passed on to others; null before anything is known. */
  get status(): IKindStatus | null {
    return this.#version === null
      ? null
      : {
          version: this.#version,
          changedVersion: this.#changedVersion,
          age: this.#parts.clock.now() - this.#answeredAt,
        };
  }

  /** The store's version up to which all is known; 0 before. */
  get version(): number {
    return this.#version ?? 0;
  }

  /** Another process has told what the store last told it. */
  receiveRelayedStatus({ version, changedVersion, age }: IKindStatus): void {
    const until = this.#parts.clock.now() + LONGEST_RELAY_AGE - age;
    this.#relay = { version, changedVersion, until };
  }

  /** All changes up to a version were learned from another process. */
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
      if (this.#isTold()) {
        await this.#wait(RELAY_LOOK_PERIOD);
      } else {
        await this.#ask();
      }
    }
  }

  /** Whether another process's word makes asking the store needless. */
  #isTold(): boolean {
    const relay = this.#relay;
    this.#noteRelay(relay !== null && this.#parts.clock.now() < relay.until);
    const isTold =
      relay !== null &&
      this.#isRelayed &&
      this.#version !== null &&
      this.#version >= relay.changedVersion;
    if (isTold) {
      this.advanceTo(relay.version);
      this.#mustList = false;
      // What lapsed in an outage is kept by the process that tells of it; taken
      // for one that has just ended, an old outage would keep what is gone.
      this.#failedSince = null;
    }
    return isTold;
  }

  #noteRelay(isRelayed: boolean): void {
    if (isRelayed !== this.#isRelayed) {
      this.#isRelayed = isRelayed;
      const event = isRelayed ? "relay_heard" : "relay_lost";
      this.#parts.log.info(event, { kind: this.#options.kind });
    }
  }

  async #ask(): Promise<void> {
    const isWhole = this.#mustList || this.#version === null;
    const found = isWhole ? await this.#list() : await this.#watch();
    if (this.#abort.signal.aborted) {
      return;
    }
    if (found === null) {
      await this.#wait(this.#backoff.next());
      return;
    }
    this.#take(found, isWhole);
    const changes = found.objects.length + (found.removed ?? []).length;
    if (!isWhole && changes > 0) {
      await this.#wait(this.#options.pause());
    }
  }

  #take(found: IWatchResult, isWhole: boolean): void {
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
    // Another process has told of later versions while this answer was awaited.
    if (version < this.version) {
      return;
    }
    this.#version = version;
    this.#mustList = false;
    this.#isKnown = true;
    const isChanged = isWhole || objects.length > 0 || removed.length > 0;
    if (isChanged) {
      this.#changedVersion = version;
    }
    if (isChanged || isAfterOutage) {
      onChanged({
        objects,
        removed,
        version,
        isFullList: isWhole,
        isAfterOutage,
      });
    }
  }

  async #list(): Promise<IWatchResult | null> {
    const found = await this.#parts.store.list(this.#options.kind);
    if (found.isErr()) {
      this.#failed(found.error.detail);
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
        this.#failed(found.error.detail);
      }
      // The history may be gone, or events lost with the connection.
      this.#mustList = true;
      return null;
    }
    return found.value;
  }

  #failed(detail: string): void {
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
