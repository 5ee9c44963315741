/** Reads the plan lists from the platform: by watch, or by slow poll. */
import { Backoff } from "../backoff.ts";
import type { IDisposable } from "../disposable.ts";
import { DisposableStore } from "../disposable.ts";
import { PLAN_LIST_KIND } from "../plans/types.ts";
import type { MonotonicTime } from "../types.ts";
import type {
  IClock,
  IPlatform,
  IPlatformObject,
  IRandom,
} from "./services.ts";

/** How the platform is followed; durations in milliseconds. */
export interface IFollowTiming {
  /** How long a watch waits for news. */
  readonly watch: number;
  /** How often the whole kind is listed, also by those that watch. */
  readonly poll: number;
  /** The longest pause after failures. */
  readonly longestRetry: number;
}

/** The first pause after a failure, milliseconds. */
const SHORTEST_RETRY = 250;

/** How far past its own time a watch may run before it is given up. */
const WATCH_GRACE = 1_000;

/** How often a daemon that does not watch looks whether it should. */
const DUTY_CHECK_EVERY = 1_000;

/** What the follower tells whoever keeps the lists. */
export interface IFollowerEvents {
  /** True while this daemon is one of its zone's watchers. */
  isWatcher(): boolean;
  /** A changed object, possibly an old one. */
  changed(object: IPlatformObject): void;
  /** Everything the platform holds of the kind. */
  listed(objects: readonly IPlatformObject[]): void;
  /** The platform answered; what it holds is known as of now. */
  confirmed(): void;
  failed(detail: string): void;
}

/**
 * Follows the kind of the plan lists. After a failure it lists before it
 * watches again: a list is answered at once, so that an outage's end is
 * noticed within the longest pause, and it shows a platform that was restored
 * to older content, which a watch from a higher version never would.
 */
export class PlanListFollower implements IDisposable {
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #events: IFollowerEvents;
  readonly #timing: IFollowTiming;
  readonly #backoff: Backoff;
  readonly #random: IRandom;
  readonly #owned = new DisposableStore();
  readonly #stopping = new AbortController();
  #after = 0;
  #listAt: MonotonicTime = 0;

  constructor(
    ports: {
      readonly platform: IPlatform;
      readonly clock: IClock;
      readonly random: IRandom;
    },
    options: {
      readonly events: IFollowerEvents;
      readonly timing: IFollowTiming;
    },
  ) {
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#random = ports.random;
    this.#events = options.events;
    this.#timing = options.timing;
    this.#backoff = new Backoff(ports.random, {
      shortest: SHORTEST_RETRY,
      longest: options.timing.longestRetry,
    });
  }

  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      if (this.#clock.now() >= this.#listAt) {
        await this.#list();
      } else if (this.#events.isWatcher()) {
        await this.#watch();
      } else {
        await this.#pause(DUTY_CHECK_EVERY);
      }
    }
  }

  dispose(): void {
    this.#stopping.abort();
    this.#owned.dispose();
  }

  async #list(): Promise<void> {
    const found = await this.#platform.list(PLAN_LIST_KIND);
    if (found.isErr()) {
      await this.#fail(found.error.detail);
      return;
    }
    this.#after = found.value.version;
    this.#listAt = this.#clock.now() + this.#jittered(this.#timing.poll);
    this.#backoff.reset();
    this.#events.confirmed();
    this.#events.listed(found.value.objects);
  }

  async #watch(): Promise<void> {
    const watching = new AbortController();
    const stop = () => watching.abort();
    this.#stopping.signal.addEventListener("abort", stop);
    const bound = this.#clock.after(this.#timing.watch + WATCH_GRACE, stop);
    const found = await this.#platform.watch(PLAN_LIST_KIND, this.#after, {
      timeout: this.#timing.watch,
      signal: watching.signal,
    });
    bound.dispose();
    this.#stopping.signal.removeEventListener("abort", stop);
    if (found.isErr()) {
      this.#listAt = 0;
      await this.#fail(found.error.detail);
      return;
    }
    this.#after = Math.max(this.#after, found.value.version);
    this.#events.confirmed();
    found.value.objects.forEach((object) => this.#events.changed(object));
  }

  async #fail(detail: string): Promise<void> {
    if (!this.#stopping.signal.aborted) {
      this.#events.failed(detail);
      await this.#pause(this.#backoff.next());
    }
  }

  #jittered(period: number): number {
    return period * (1 - this.#random.next() / 2);
  }

  #pause(duration: number): Promise<void> {
    return new Promise((resolve) => {
      const { signal } = this.#stopping;
      const timer = this.#clock.after(duration, done);
      signal.addEventListener("abort", done);
      function done(): void {
        timer.dispose();
        signal.removeEventListener("abort", done);
        resolve();
      }
    });
  }
}
