/**
 * Tells a process's own pauses from the silence of others. A process that was
 * stopped, or starved of processor time, has heard nobody; taken for the
 * others' silence, that would have it refuse work that they could do.
 */
import type { MonotonicTime } from "./types.ts";

/** Watches the time between the ticks of one process. */
export class PauseDetector {
  readonly #bound: number;
  #tickedAt: MonotonicTime | null = null;
  #since: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** @param bound - milliseconds; a longer gap between two ticks is a pause */
  constructor(bound: number) {
    this.#bound = bound;
  }

  /** Called more often than the bound. */
  tick(now: MonotonicTime): void {
    this.#since = this.runningSince(now);
    this.#tickedAt = now;
  }

  /**
   * Since when the process runs without a pause, or as far as is known; the
   * present time at the end of a pause, before the next tick.
   */
  runningSince(now: MonotonicTime): MonotonicTime {
    const isPaused =
      this.#tickedAt === null || now - this.#tickedAt > this.#bound;
    return isPaused ? now : this.#since;
  }
}
