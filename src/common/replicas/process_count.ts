/**
 * Counts the processes that share what the platform allows all of them
 * together.
 *
 * A process that has just started, or has just acquired the lease, does not
 * know of others for a moment. If it counted itself alone then, it would use
 * the whole allowance, and several such processes would exceed the platform's
 * bound on retries after each restart. So the largest recent number counts, and
 * a large one is assumed before any is known.
 */
import type { MonotonicTime } from "../types.ts";

/**
 * Assumed before the number is known, so that each process uses only a
 * negligible share of the allowance.
 */
export const INITIAL_PROCESS_COUNT = 100;

/** How long a larger number is kept, milliseconds: the window of the bounds. */
const MAXIMUM_LIFETIME = 15_000;

/** The number of processes as known to one of them. */
export class ProcessCount {
  #count = INITIAL_PROCESS_COUNT;
  #updatedAt: MonotonicTime | null = null;

  /** @param known - processes known now, 0 if their number is unknown */
  update(known: number, now: MonotonicTime): number {
    const isOld =
      this.#updatedAt === null || now - this.#updatedAt > MAXIMUM_LIFETIME;
    if (known > 0 && (known >= this.#count || isOld)) {
      this.#count = known;
      this.#updatedAt = now;
    }
    return this.#count;
  }
}
