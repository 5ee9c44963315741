/**
 * Number of groups that the calls keep busy, by model, averaged over some
 * seconds. Momentary numbers vary by a third; a group reassigned because of
 * such a swing would be reassigned back.
 */
import type { MonotonicTime } from "../types.ts";

/** Time constant of the average, milliseconds: about three run times. */
const TIME_CONSTANT = 3_000;

/** Exponential moving average of each model's number. */
export class SmoothedDemand {
  readonly #averages = new Map<string, number>();
  #updatedAt: MonotonicTime | null = null;

  /** Adds the current numbers and returns the averages. */
  update(
    counts: ReadonlyMap<string, number>,
    now: MonotonicTime,
  ): ReadonlyMap<string, number> {
    const elapsed =
      this.#updatedAt === null ? TIME_CONSTANT : now - this.#updatedAt;
    const weight = 1 - Math.exp(-elapsed / TIME_CONSTANT);
    this.#updatedAt = now;
    for (const model of new Set([...counts.keys(), ...this.#averages.keys()])) {
      const previous = this.#averages.get(model) ?? 0;
      const count = counts.get(model) ?? 0;
      this.#averages.set(model, previous + (count - previous) * weight);
    }
    return this.#averages;
  }
}
