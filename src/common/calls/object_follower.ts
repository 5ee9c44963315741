/**
 * Follows all objects of one kind in the store: reads them once, then watches.
 * A watch that is cut, or a history that is gone, leads to a fresh read.
 *
 * Each answered watch is a call that is paid for, and each daemon watches. A
 * pause after each answer gathers the changes of a busy moment into one.
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
import type { MonotonicTime } from "../types.ts";

/**
 * How long one watch waits, milliseconds. A connection that went silent shows
 * only when it is over, so it bounds how old a belief can be unnoticed.
 */
const WATCH_TIME = 2_500;

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
  readonly onChanged: (changed: IFollowedChange) => void;
}

/** Objects changed and gone. */
export interface IFollowedChange {
  readonly objects: readonly IPlatformObject[];
  readonly removed: readonly string[];
  /** All objects of the kind were read: those not named are gone. */
  readonly isWhole: boolean;
  /** The store had been out of reach just before. */
  readonly isAfterOutage: boolean;
}

/** Follows one kind. */
export class ObjectFollower {
  readonly #parts: IFollowerParts;
  readonly #options: IFollowerOptions;
  readonly #abort = new AbortController();
  readonly #backoff: Backoff;
  /** Where to watch from; null when all must be read again. */
  #version: number | null = null;
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
  get isKnown(): boolean {
    return this.#isKnown;
  }

  /** When the store last answered. */
  get answeredAt(): MonotonicTime {
    return this.#answeredAt;
  }

  dispose(): void {
    this.#abort.abort();
  }

  async #run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const isWhole = this.#version === null;
      const found = isWhole ? await this.#list() : await this.#watch();
      if (this.#abort.signal.aborted) {
        return;
      }
      if (found === null) {
        await this.#wait(this.#backoff.next());
      } else {
        this.#take(found, isWhole);
        if (
          !isWhole &&
          found.objects.length + (found.removed ?? []).length > 0
        ) {
          await this.#wait(this.#options.pause());
        }
      }
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
    this.#version = found.version;
    this.#isKnown = true;
    const { objects, removed = [] } = found;
    if (isWhole || objects.length > 0 || removed.length > 0 || isAfterOutage) {
      onChanged({ objects, removed, isWhole, isAfterOutage });
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
      this.#version ?? 0,
      { timeout: WATCH_TIME, signal: this.#abort.signal },
    );
    if (found.isErr()) {
      if (!this.#abort.signal.aborted) {
        this.#failed(found.error.detail);
      }
      // The history may be gone, or events lost with the connection.
      this.#version = null;
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
