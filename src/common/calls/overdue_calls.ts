/**
 * Waiting calls whose responses can no longer be on time.
 *
 * A burst, a loss or a restart leaves more calls waiting than can be started at
 * once. Served in order of arrival, every call waits for the whole queue, so
 * all responses are late until it is empty, although there is capacity for the
 * calls that arrive: first events stay late for many seconds after the cause is
 * over. So calls that can still be on time go first, and overdue calls get the
 * remaining capacity.
 *
 * An overdue call that will not start within its caller's patience is refused
 * at once with a time to retry. How fast overdue calls start is measured while
 * any of them wait.
 */
import type { MonotonicTime } from "../types.ts";

/**
 * Span over which the rate is measured, milliseconds: about as long as a caller
 * waits for its first event.
 */
const WINDOW = 2_000;

/** Time from the first overdue call until the rate is used, milliseconds. */
const MEASURING_TIME = 800;

/**
 * Factor on the measured rate. Capacity comes in bursts, and a call refused
 * needlessly costs more than one that waits in vain.
 */
const RATE_FACTOR = 2;

/** The times of a waiting call. */
export interface IOverdueCall {
  readonly arrivedAt: MonotonicTime;
  /** When its caller leaves unless its response has started. */
  readonly leavesAt: MonotonicTime;
}

/** The overdue calls of one model and the rate at which they start. */
export class OverdueCalls {
  #waitingSince: MonotonicTime | null = null;
  #starts: MonotonicTime[] = [];

  /** Records the start of an overdue call. */
  recordStart(now: MonotonicTime): void {
    this.#starts.push(now);
  }

  /**
   * Finds the calls that will not be started in time.
   *
   * @param waiting - all overdue calls
   * @param firstEventTime - milliseconds from a start to the first event
   */
  findHopeless<T extends IOverdueCall>(
    waiting: readonly T[],
    firstEventTime: (call: T) => number,
    now: MonotonicTime,
  ): readonly T[] {
    if (waiting.length === 0) {
      this.#waitingSince = null;
      this.#starts = [];
      return [];
    }
    this.#waitingSince ??= now;
    const interval = this.#startInterval(now);
    const oldestFirst = [...waiting].sort(
      (one, other) => one.arrivedAt - other.arrivedAt,
    );
    const hopeless: T[] = [];
    let ahead = 0;
    for (const call of oldestFirst) {
      const firstEventAt = now + ahead * interval + firstEventTime(call);
      if (firstEventAt > call.leavesAt) {
        hopeless.push(call);
      } else {
        ahead += 1;
      }
    }
    return hopeless;
  }

  /** Milliseconds from one start to the next; 0 while unknown. */
  #startInterval(now: MonotonicTime): number {
    const waitedFor = now - (this.#waitingSince ?? now);
    if (waitedFor < MEASURING_TIME) {
      return 0;
    }
    this.#starts = this.#starts.filter((at) => now - at < WINDOW);
    const span = Math.min(WINDOW, waitedFor);
    return span / Math.max(1, this.#starts.length * RATE_FACTOR);
  }
}
