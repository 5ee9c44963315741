/**
 * How fast waiting calls of one model leave, and so when a refused caller
 * should come back. Callers sent back to the same moment come as a second
 * wave; the answer is spread by chance.
 */
import type { MonotonicTime } from "../types.ts";

/** The rate is taken over this span, milliseconds: some run times. */
const WINDOW = 3_000;

/** Shortest and longest time until a caller should come back, milliseconds. */
const SHORTEST = 100;
const LONGEST = 3_000;

/** Part of the answer that is left to chance. */
const SPREAD = 0.5;

/** Counts calls as they are started. */
export class DrainRate {
  #starts: MonotonicTime[] = [];

  recordStart(now: MonotonicTime): void {
    this.#starts.push(now);
    this.#expire(now);
  }

  /** Milliseconds until so many have left; infinite while none leave. */
  timeToDrain(waiting: number, now: MonotonicTime): number {
    this.#expire(now);
    const rate = this.#starts.length / WINDOW;
    return rate === 0 ? Number.POSITIVE_INFINITY : waiting / rate;
  }

  /** Milliseconds after which a refused caller finds room. */
  retryAfter(waiting: number, now: MonotonicTime, chance: number): number {
    const time = Math.min(LONGEST, this.timeToDrain(waiting, now));
    return Math.max(SHORTEST, time * (1 - SPREAD / 2 + SPREAD * chance));
  }

  #expire(now: MonotonicTime): void {
    let old = 0;
    while ((this.#starts[old] ?? now) < now - WINDOW) {
      old += 1;
    }
    if (old > 0) {
      this.#starts = this.#starts.slice(old);
    }
  }
}
