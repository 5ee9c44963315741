/**
 * Calls that wait although their answers can no longer be on time.
 *
 * Pattern of load: a burst, a loss or a restart leaves more calls waiting than
 * can be started at once. Served in order of arrival, everyone waits as long as
 * the queue is, so all answers are late until it is empty, though there is room
 * for the calls that arrive; one would notice by first events that stay late
 * for many seconds after the cause is over. So calls that can still be on time
 * go first, and these get what is left.
 *
 * One that will not be started within its caller's patience is told at once to
 * come back: how soon these start is measured while any of them wait.
 */
import type { MonotonicTime } from "../types.ts";

/** The rate is taken over this span, milliseconds: about a patience. */
const WINDOW = 2_000;

/** How long the rate is not judged after the first came, milliseconds. */
const TRIAL_TIME = 800;

/**
 * How much quicker than of late they may be started: room comes in bursts, and
 * a call refused for nothing costs more than one that waits for nothing.
 */
const HOPE = 2;

/** One waiting call, as far as it matters here. */
export interface IOverdueCall {
  readonly arrivedAt: MonotonicTime;
  /** When its caller leaves unless its answer has begun. */
  readonly leavesAt: MonotonicTime;
}

/** How the overdue calls of one model fare. */
export class OverdueCalls {
  #since: MonotonicTime | null = null;
  #starts: MonotonicTime[] = [];

  /** One of them was started. */
  recordStart(now: MonotonicTime): void {
    this.#starts.push(now);
  }

  /**
   * Those that will not be started in time.
   *
   * @param waiting - all of them
   * @param firstEventTime - milliseconds from a start to the first event
   */
  findHopeless<T extends IOverdueCall>(
    waiting: readonly T[],
    firstEventTime: (call: T) => number,
    now: MonotonicTime,
  ): readonly T[] {
    if (waiting.length === 0) {
      this.#since = null;
      this.#starts = [];
      return [];
    }
    this.#since ??= now;
    const turn = this.#timeForOne(now);
    const oldestFirst = [...waiting].sort(
      (one, other) => one.arrivedAt - other.arrivedAt,
    );
    const hopeless: T[] = [];
    let ahead = 0;
    for (const call of oldestFirst) {
      const begins = now + ahead * turn + firstEventTime(call);
      if (begins > call.leavesAt) {
        hopeless.push(call);
      } else {
        ahead += 1;
      }
    }
    return hopeless;
  }

  /** Milliseconds from one start to the next; 0 while it is not known. */
  #timeForOne(now: MonotonicTime): number {
    const waitedFor = now - (this.#since ?? now);
    if (waitedFor < TRIAL_TIME) {
      return 0;
    }
    this.#starts = this.#starts.filter((at) => now - at < WINDOW);
    const span = Math.min(WINDOW, waitedFor);
    return span / Math.max(1, this.#starts.length * HOPE);
  }
}
