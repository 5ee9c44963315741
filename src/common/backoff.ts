/**
 * Pauses between failed tries. Each failure doubles the bound up to a largest
 * one, so that a longer outage makes fewer calls; the pause is drawn from the
 * whole range below the bound ("full jitter"), so that daemons which failed
 * together do not come back together.
 */
import type { IRandom } from "./services/services.ts";

/** Grows with failures, and starts over at a success. */
export class Backoff {
  readonly #first: number;
  readonly #largest: number;
  readonly #random: IRandom;
  #bound: number;

  /** @param bounds - first and largest bound, milliseconds */
  constructor(
    bounds: { readonly first: number; readonly largest: number },
    random: IRandom,
  ) {
    this.#first = bounds.first;
    this.#largest = bounds.largest;
    this.#random = random;
    this.#bound = bounds.first;
  }

  /** Milliseconds to wait after one more failure; never under `first / 2`. */
  next(): number {
    const bound = this.#bound;
    this.#bound = Math.min(this.#bound * 2, this.#largest);
    return this.#first / 2 + this.#random.next() * (bound - this.#first / 2);
  }

  succeeded(): void {
    this.#bound = this.#first;
  }
}
