/**
 * Lets a send wait until what had already arrived has been read. A process that
 * is behind reads a call in one turn of its event loop and the close of its
 * caller's connection in the next, which may be seconds later: sent at once, the
 * call would run for nobody.
 */
import type { IDisposable } from "../disposable.ts";
import type { IClock } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";

/**
 * Milliseconds. A poll that took longer says little about what has arrived
 * meanwhile, so the connections are polled again.
 */
const MAXIMUM_AGE = 250;

/** Turns: the one in which a call was read, and a complete poll after it. */
const TURNS_AFTER_READ = 2;

/** Turns: the one in which a connection was made; its call was read before. */
export const TURNS_AFTER_CONNECT = 1;

/** Turns after which a process sends nevertheless, if all of them are long. */
const MAXIMUM_TURNS = 4;

/** The event loop of the process. */
export interface IEventLoop {
  /** Calls back once, when the connections have next been polled. */
  afterPoll(callback: () => void): void;
}

/** Delays what must not be done on old news. */
export interface IInputBarrier {
  /**
   * Calls back, later than this call, when the news is fresh.
   *
   * @param turns - fewest turns of the event loop until then
   */
  wait(callback: () => void, turns?: number): IDisposable;
  /** Resolves when the news is fresh. */
  pass(): Promise<void>;
}

interface IWaiting {
  readonly callback: () => void;
  readonly minimumTurns: number;
  isDisposed: boolean;
  /** Turns of the event loop that have ended since. */
  turns: number;
}

/** The barrier of one process; calls are let through in their order. */
export class InputBarrier implements IInputBarrier {
  readonly #eventLoop: IEventLoop;
  readonly #clock: Pick<IClock, "now">;
  #waiting: IWaiting[] = [];
  #isScheduled = false;
  /** The earliest time at which the last poll can have begun. */
  #polledSince: MonotonicTime = 0;

  constructor(parts: {
    readonly eventLoop: IEventLoop;
    readonly clock: Pick<IClock, "now">;
  }) {
    this.#eventLoop = parts.eventLoop;
    this.#clock = parts.clock;
  }

  wait(
    callback: () => void,
    minimumTurns: number = TURNS_AFTER_READ,
  ): IDisposable {
    const waiting = { callback, minimumTurns, isDisposed: false, turns: 0 };
    this.#waiting.push(waiting);
    this.#schedule();
    return { dispose: () => (waiting.isDisposed = true) };
  }

  pass(): Promise<void> {
    return new Promise((resolve) => this.wait(resolve));
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      this.#eventLoop.afterPoll(() => this.#handlePolled());
    }
  }

  #handlePolled(): void {
    this.#isScheduled = false;
    const startedAt = this.#clock.now();
    const waiting = this.#waiting.filter(({ isDisposed }) => !isDisposed);
    this.#waiting = [];
    waiting.forEach((one) => (one.turns += 1));
    const kept: IWaiting[] = [];
    let hasRun = false;
    for (const one of waiting) {
      if (!this.#mayRun(one, hasRun ? startedAt : null)) {
        kept.push(one);
      } else if (!one.isDisposed) {
        hasRun = true;
        one.callback();
      }
    }
    this.#waiting = [...kept, ...this.#waiting];
    this.#polledSince = this.#clock.now();
    if (this.#waiting.length > 0) {
      this.#schedule();
    }
  }

  /** @param startedAt - when the first callback of this turn ran, if one did */
  #mayRun(
    { turns, minimumTurns }: IWaiting,
    startedAt: MonotonicTime | null,
  ): boolean {
    const now = this.#clock.now();
    if (turns < minimumTurns) {
      return false;
    }
    if (now - this.#polledSince <= MAXIMUM_AGE) {
      return true;
    }
    const hasTime = startedAt === null || now - startedAt <= MAXIMUM_AGE;
    return turns >= MAXIMUM_TURNS && hasTime;
  }
}
