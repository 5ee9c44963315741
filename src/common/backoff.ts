/** Computes growing delays between retries, with jitter. */
import type { IRandom } from "./services/services.ts";

/** Share of a delay that is random. */
const JITTER_SHARE = 0.5;

/** Bounds of the delays, milliseconds. */
export interface IBackoffBounds {
  readonly shortest: number;
  readonly longest: number;
}

/**
 * Doubles the delay on each failure up to a maximum. Without growth, an outage
 * would be met by as many calls as the fleet can send. Without jitter, daemons
 * that failed together would retry together, and a platform that has just
 * recovered would receive all calls at once and fail again.
 */
export class Backoff {
  readonly #random: IRandom;
  readonly #bounds: IBackoffBounds;
  #failures = 0;

  constructor(random: IRandom, bounds: IBackoffBounds) {
    this.#random = random;
    this.#bounds = bounds;
  }

  /** Records a failure and returns the delay that follows, milliseconds. */
  nextDelay(): number {
    const { shortest, longest } = this.#bounds;
    const delay = Math.min(shortest * 2 ** this.#failures, longest);
    this.#failures = delay < longest ? this.#failures + 1 : this.#failures;
    return delay * (1 - JITTER_SHARE * this.#random.next());
  }

  /** Resets the delay after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
