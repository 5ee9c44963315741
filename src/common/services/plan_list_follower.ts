/** Reads the plan lists from the platform by watch or by slow polling. */
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

/** Timing of watches and polls, milliseconds. */
export interface IFollowTiming {
  /** How long a watch waits for a change. */
  readonly watch: number;
  /** How often the whole kind is listed, also by watchers. */
  readonly poll: number;
  /** The longest pause after failures. */
  readonly longestRetry: number;
}

/** The first pause after a failure, milliseconds. */
const SHORTEST_RETRY = 250;

/** How long after its own timeout a watch is aborted, milliseconds. */
const WATCH_ABORT_GRACE = 1_000;

/** How often a daemon checks whether it has become a watcher, milliseconds. */
const DUTY_CHECK_INTERVAL = 1_000;

/** Callbacks of {@link PlanListFollower}. */
export interface IFollowerEvents {
  /** True while this daemon is one of its zone's watchers. */
  isWatcher(): boolean;
  /** Receives a changed object, possibly an old version. */
  changed(object: IPlatformObject): void;
  /** Receives every object of the kind on the platform. */
  listed(objects: readonly IPlatformObject[]): void;
  /** Called when the platform has answered, so its content is known. */
  confirmed(): void;
  failed(detail: string): void;
}

/**
 * Follows the plan list objects. After a failure it lists before it watches
 * again: a list is answered at once, so the end of an outage is noticed within
 * the longest pause. It also detects a platform restored to older content,
 * which a watch from a higher version never would.
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
  #version = 0;
  #nextListAt: MonotonicTime = 0;

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
      if (this.#clock.now() >= this.#nextListAt) {
        await this.#list();
      } else if (this.#events.isWatcher()) {
        await this.#watch();
      } else {
        await this.#pause(DUTY_CHECK_INTERVAL);
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
      await this.#handleFailure(found.error.detail);
      return;
    }
    this.#version = found.value.version;
    this.#nextListAt = this.#clock.now() + this.#jittered(this.#timing.poll);
    this.#backoff.reset();
    this.#events.confirmed();
    this.#events.listed(found.value.objects);
  }

  async #watch(): Promise<void> {
    const watching = new AbortController();
    const stop = () => watching.abort();
    this.#stopping.signal.addEventListener("abort", stop);
    const bound = this.#clock.after(
      this.#timing.watch + WATCH_ABORT_GRACE,
      stop,
    );
    const found = await this.#platform.watch(PLAN_LIST_KIND, this.#version, {
      timeout: this.#timing.watch,
      signal: watching.signal,
    });
    bound.dispose();
    this.#stopping.signal.removeEventListener("abort", stop);
    if (found.isErr()) {
      this.#nextListAt = 0;
      await this.#handleFailure(found.error.detail);
      return;
    }
    this.#version = Math.max(this.#version, found.value.version);
    this.#events.confirmed();
    found.value.objects.forEach((object) => this.#events.changed(object));
  }

  async #handleFailure(detail: string): Promise<void> {
    if (!this.#stopping.signal.aborted) {
      this.#events.failed(detail);
      await this.#pause(this.#backoff.nextDelay());
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
