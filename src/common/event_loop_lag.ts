/**
 * How far a process is behind. What arrives while a turn of its event loop
 * lasts lies unread until the next one, so what it knows can be that old.
 */
import type { MonotonicTime } from "./types.ts";

/** Milliseconds; the longest delay of one or two spans is kept. */
const SPAN = 1_000;

/** Measures the delays of a periodic tick. */
export class EventLoopLag {
  readonly #period: number;
  #lastTickAt: MonotonicTime | null = null;
  #spanStart: MonotonicTime = Number.NEGATIVE_INFINITY;
  #longest = 0;
  #longestBefore = 0;

  /** @param period - milliseconds between two ticks of an idle process */
  constructor(period: number) {
    this.#period = period;
  }

  /** Records a tick; returns by how many milliseconds it was late. */
  tick(now: MonotonicTime): number {
    const delay = this.#delayAt(now);
    if (now - this.#spanStart > SPAN) {
      this.#spanStart = now;
      this.#longestBefore = this.#longest;
      this.#longest = 0;
    }
    this.#longest = Math.max(this.#longest, delay);
    this.#lastTickAt = now;
    return delay;
  }

  /** The longest recent delay, including that of a tick that is overdue. */
  at(now: MonotonicTime): number {
    return Math.max(this.#longest, this.#longestBefore, this.#delayAt(now));
  }

  #delayAt(now: MonotonicTime): number {
    const last = this.#lastTickAt;
    return last === null ? 0 : Math.max(0, now - last - this.#period);
  }
}
