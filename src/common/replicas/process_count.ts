/**
 * How many processes share what the platform allows to all of them together.
 *
 * A process that has just started, or has just taken the lease, hears of no
 * other for a moment. Were it to count itself alone then, it would take the
 * whole of the allowance for itself, and several at once would break it: one
 * would notice more repeats than the platform's bound after each restart. So
 * the largest number of late counts, and many before any was heard.
 */
import type { MonotonicTime } from "../types.ts";

/** Assumed before anything was heard: the share of each is next to nothing. */
export const INITIAL_PROCESS_COUNT = 100;

/** A larger number is kept for so long, milliseconds: the bounds' window. */
const MAXIMUM_LIFETIME = 15_000;

/** The number as one process believes it. */
export class ProcessCount {
  #count = INITIAL_PROCESS_COUNT;
  #updatedAt: MonotonicTime | null = null;

  /** @param heard - processes heard of now, 0 when that is not known */
  update(heard: number, now: MonotonicTime): number {
    const isOld =
      this.#updatedAt === null || now - this.#updatedAt > MAXIMUM_LIFETIME;
    if (heard > 0 && (heard >= this.#count || isOld)) {
      this.#count = heard;
      this.#updatedAt = now;
    }
    return this.#count;
  }
}
