/**
 * How many log lines a process may write. Pattern of load: an outage makes
 * every call fail, each with several lines; written in full they cost more
 * processor time than the calls and hide the one line that names the cause.
 * Without a bound one would notice a log that grows with the trouble.
 *
 * A token bucket: warnings and errors may use all of it, other lines only what
 * is above a reserve, so successes are left out first. What was left out is
 * counted and told once a second.
 */
import type { MonotonicTime } from "./types.ts";

/**
 * Lines a second and at once. A process at the peak of the sites serves some
 * 40 calls a second, with a line each and a second for each failure.
 */
export const LINES_PER_SECOND = 200;
const LARGEST_BURST = 400;

/** Part of the burst that only warnings and errors may use. */
const RESERVE = 0.5;

const MILLISECONDS_A_SECOND = 1_000;

/** Lets lines through, or counts them as left out. */
export class LogRateLimiter {
  #left = LARGEST_BURST;
  #filledAt: MonotonicTime | null = null;
  #leftOut = 0;
  #toldAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** Whether a line may be written now. */
  tryAcquire(isImportant: boolean, now: MonotonicTime): boolean {
    const gap = now - (this.#filledAt ?? now);
    this.#filledAt = now;
    const filled =
      this.#left + (gap * LINES_PER_SECOND) / MILLISECONDS_A_SECOND;
    this.#left = Math.min(LARGEST_BURST, filled);
    const kept = isImportant ? 0 : LARGEST_BURST * RESERVE;
    if (this.#left - 1 < kept) {
      this.#leftOut += 1;
      return false;
    }
    this.#left -= 1;
    return true;
  }

  /** A line that was let through was lost on its way out. */
  recordLostLine(): void {
    this.#leftOut += 1;
  }

  /** Lines left out since the last call; 0 if there are none to tell now. */
  takeOmittedCount(now: MonotonicTime): number {
    if (this.#leftOut === 0 || now - this.#toldAt < MILLISECONDS_A_SECOND) {
      return 0;
    }
    const leftOut = this.#leftOut;
    this.#leftOut = 0;
    this.#toldAt = now;
    return leftOut;
  }
}
