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
const MAXIMUM_AGE = 200;

/** The turn in which a send is decided, and a complete poll after it. */
const MINIMUM_TURNS = 2;

/** A process whose turns are all long sends nevertheless. */
const MAXIMUM_TURNS = 6;

/** The event loop of the process. */
export interface IEventLoop {
  /** Calls back once, when the connections have next been polled. */
  afterPoll(callback: () => void): void;
}

/** Delays what must not be done on old news. */
export interface IInputBarrier {
  /** Calls back, later than this call, when the news is fresh. */
  wait(callback: () => void): IDisposable;
  /** Resolves when the news is fresh. */
  pass(): Promise<void>;
}

interface IWaiting {
  readonly callback: () => void;
  isDisposed: boolean;
  /** Turns of the event loop that have ended since. */
  turns: number;
}

/** The barrier of one process; callbacks run in the order of their calls. */
export class InputBarrier implements IInputBarrier {
  readonly #eventLoop: IEventLoop;
  readonly #clock: Pick<IClock, "now">;
  #waiting: IWaiting[] = [];
  #isScheduled = false;
  /** When the last poll can have begun at the earliest. */
  #polledSince: MonotonicTime = 0;

  constructor(parts: {
    readonly eventLoop: IEventLoop;
    readonly clock: Pick<IClock, "now">;
  }) {
    this.#eventLoop = parts.eventLoop;
    this.#clock = parts.clock;
  }

  wait(callback: () => void): IDisposable {
    const waiting = { callback, isDisposed: false, turns: 0 };
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
    let isFirst = true;
    for (const [index, one] of waiting.entries()) {
      if (!this.#mayRun(one, isFirst ? null : startedAt)) {
        this.#waiting = [...waiting.slice(index), ...this.#waiting];
        break;
      }
      isFirst = false;
      if (!one.isDisposed) {
        one.callback();
      }
    }
    this.#polledSince = this.#clock.now();
    if (this.#waiting.length > 0) {
      this.#schedule();
    }
  }

  /** @param startedAt - when the first callback of this turn ran, if one did */
  #mayRun({ turns }: IWaiting, startedAt: MonotonicTime | null): boolean {
    const now = this.#clock.now();
    if (turns < MINIMUM_TURNS) {
      return false;
    }
    if (now - this.#polledSince <= MAXIMUM_AGE) {
      return true;
    }
    const hasTime = startedAt === null || now - startedAt <= MAXIMUM_AGE;
    return turns >= MAXIMUM_TURNS && hasTime;
  }
}
