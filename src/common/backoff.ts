/** Pauses between tries that grow, with jitter. */
import type { IRandom } from "./services/services.ts";

/** Share of a pause that is left to chance. */
const JITTER_SHARE = 0.5;

/** Bounds on the pauses, milliseconds. */
export interface IBackoffBounds {
  readonly shortest: number;
  readonly longest: number;
}

/**
 * Doubles the pause on each failure up to a bound. Without growth an outage
 * would be met by as many calls as the fleet can send; without jitter daemons
 * that failed together would ask together, and the platform, just back, would
 * see them all in one moment and fail again.
 */
export class Backoff {
  readonly #random: IRandom;
  readonly #bounds: IBackoffBounds;
  #failures = 0;

  constructor(random: IRandom, bounds: IBackoffBounds) {
    this.#random = random;
    this.#bounds = bounds;
  }

  /** The pause after one more failure, milliseconds. */
  nextDelay(): number {
    const { shortest, longest } = this.#bounds;
    const pause = Math.min(shortest * 2 ** this.#failures, longest);
    this.#failures = pause < longest ? this.#failures + 1 : this.#failures;
    return pause * (1 - JITTER_SHARE * this.#random.next());
  }

  /** Starts over after a success. */
  reset(): void {
    this.#failures = 0;
  }
}
