/**
 * Limits how many log lines a process writes. In an outage every call fails,
 * each with several lines; writing all of them costs more processor time than
 * the calls and hides the one line that names the cause. Without a limit the
 * log grows with the failures.
 *
 * A token bucket: warnings and errors may use all of it, other lines only what
 * exceeds a reserve, so that lines about successes are omitted first. Omitted
 * lines are counted, and the count is reported once per second.
 */
import type { MonotonicTime } from "./types.ts";

/**
 * Lines per second. At peak load a process serves about 40 calls per second,
 * with one line each and a second one for each failure.
 */
export const LINES_PER_SECOND = 200;
/** Lines in one burst. */
const MAXIMUM_BURST = 400;

/** Share of the burst that is reserved for warnings and errors. */
const RESERVED_SHARE = 0.5;

const MILLISECONDS_PER_SECOND = 1_000;

/** Allows lines to be written, or counts them as omitted. */
export class LogRateLimiter {
  #available = MAXIMUM_BURST;
  #refilledAt: MonotonicTime | null = null;
  #omitted = 0;
  #reportedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** Returns whether a line may be written now; counts it as omitted if not. */
  tryAcquire(isImportant: boolean, now: MonotonicTime): boolean {
    const gap = now - (this.#refilledAt ?? now);
    this.#refilledAt = now;
    const refilled =
      this.#available + (gap * LINES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    this.#available = Math.min(MAXIMUM_BURST, refilled);
    const reserved = isImportant ? 0 : MAXIMUM_BURST * RESERVED_SHARE;
    if (this.#available - 1 < reserved) {
      this.#omitted += 1;
      return false;
    }
    this.#available -= 1;
    return true;
  }

  /** Counts an allowed line that was lost before it was written. */
  recordLostLine(): void {
    this.#omitted += 1;
  }

  /**
   * Returns and resets the number of omitted lines; 0 if there are none, or if
   * the last report was less than a second ago.
   */
  takeOmittedCount(now: MonotonicTime): number {
    if (
      this.#omitted === 0 ||
      now - this.#reportedAt < MILLISECONDS_PER_SECOND
    ) {
      return 0;
    }
    const omitted = this.#omitted;
    this.#omitted = 0;
    this.#reportedAt = now;
    return omitted;
  }
}
