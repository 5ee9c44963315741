/**
 * The rate at which waiting calls of one model are started, and the retry-after
 * time of refused callers that follows from it. Callers sent back to the same
 * moment would arrive as a second burst, so the time is randomized.
 */
import type { MonotonicTime } from "../types.ts";

/**
 * Span over which the rate is measured, milliseconds: a few times a call's run
 * time.
 */
const WINDOW = 3_000;

/** Shortest and longest retry-after time, milliseconds. */
const SHORTEST_RETRY_AFTER = 100;
const LONGEST_RETRY_AFTER = 3_000;

/** Share of the retry-after time that is random. */
const SPREAD = 0.5;

/** Measures how fast calls are started. */
export class DrainRate {
  #starts: MonotonicTime[] = [];

  recordStart(now: MonotonicTime): void {
    this.#starts.push(now);
    this.#expire(now);
  }

  /** Milliseconds until `waiting` calls are started; infinite if none are. */
  timeToDrain(waiting: number, now: MonotonicTime): number {
    this.#expire(now);
    const rate = this.#starts.length / WINDOW;
    return rate === 0 ? Number.POSITIVE_INFINITY : waiting / rate;
  }

  /**
   * Milliseconds after which a refused caller finds a free slot.
   *
   * @param chance - random number in [0, 1)
   */
  retryAfter(waiting: number, now: MonotonicTime, chance: number): number {
    const time = Math.min(LONGEST_RETRY_AFTER, this.timeToDrain(waiting, now));
    return Math.max(
      SHORTEST_RETRY_AFTER,
      time * (1 - SPREAD / 2 + SPREAD * chance),
    );
  }

  #expire(now: MonotonicTime): void {
    let expired = 0;
    while ((this.#starts[expired] ?? now) < now - WINDOW) {
      expired += 1;
    }
    if (expired > 0) {
      this.#starts = this.#starts.slice(expired);
    }
  }
}
