/**
 * Distinguishes a process's own pauses from the silence of others. A process
 * that was stopped, or starved of processor time, has received nothing; if it
 * mistook that for the silence of others, it would refuse work that they could
 * do.
 */
import type { MonotonicTime } from "./types.ts";

/** Measures the time between the ticks of a process. */
export class PauseDetector {
  readonly #threshold: number;
  #lastTickAt: MonotonicTime | null = null;
  #since: MonotonicTime = Number.NEGATIVE_INFINITY;

  /** @param threshold - milliseconds; a longer gap between ticks is a pause */
  constructor(threshold: number) {
    this.#threshold = threshold;
  }

  /** Records a tick; must be called more often than the threshold. */
  tick(now: MonotonicTime): void {
    this.#since = this.runningSince(now);
    this.#lastTickAt = now;
  }

  /**
   * The time since which the process is known to have run without a pause.
   * Between the end of a pause and the next tick this is `now`.
   */
  runningSince(now: MonotonicTime): MonotonicTime {
    const isPaused =
      this.#lastTickAt === null || now - this.#lastTickAt > this.#threshold;
    return isPaused ? now : this.#since;
  }
}
