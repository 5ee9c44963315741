/**
 * Requests by model, averaged over some seconds. Counts of one moment swing
 * by a third; a group turned over for a moment's swing would be turned back.
 */
import type { MonotonicTime } from "../types.ts";

/** Time constant of the average, milliseconds: about three run times. */
const TIME_CONSTANT = 3_000;

/** An exponential average of each model's count. */
export class SmoothedDemand {
  readonly #averages = new Map<string, number>();
  #takenAt: MonotonicTime | null = null;

  /** Takes the present counts and returns the averages. */
  update(
    counts: ReadonlyMap<string, number>,
    now: MonotonicTime,
  ): ReadonlyMap<string, number> {
    const gap = this.#takenAt === null ? TIME_CONSTANT : now - this.#takenAt;
    const weight = 1 - Math.exp(-gap / TIME_CONSTANT);
    this.#takenAt = now;
    for (const model of new Set([...counts.keys(), ...this.#averages.keys()])) {
      const before = this.#averages.get(model) ?? 0;
      const count = counts.get(model) ?? 0;
      this.#averages.set(model, before + (count - before) * weight);
    }
    return this.#averages;
  }
}
