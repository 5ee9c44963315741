/**
 * Retry budget. An outage makes all requests fail at once and each is retried;
 * without a budget the load doubles or triples when there is the least capacity
 * to serve it, targets run mostly retries, and the outage outlasts its cause.
 * Each first attempt earns a share of a retry. A retry that is not earned yet
 * waits for it, within its deadline, rather than being abandoned. So a lost
 * replica group costs its requests some time, and an outage adds no more load
 * than the share. There is one budget for each client account and service, so
 * that one account's failures do not use up another's retries.
 */
import type { MonotonicTime } from "../types.ts";

/** Retries earned by one first attempt. */
export const RETRY_SHARE = 0.1;

/**
 * Retries that may be saved up, so that an account with few requests has some.
 */
const MAXIMUM_SAVED = 3;

/** Time constant of the average rate of first attempts, milliseconds. */
const RATE_TIME_CONSTANT = 5_000;

/**
 * Least rate assumed, first attempts per millisecond, for accounts that send
 * hardly any.
 */
const LEAST_RATE = 1 / 1_000;

/**
 * Random delay added to each retry, up to this many milliseconds, so that
 * retries do not come in waves.
 */
const JITTER = 100;

/** The budget of one client account at one service. */
export class RetryBudget {
  #saved = MAXIMUM_SAVED;
  #rate = LEAST_RATE;
  #lastAttempt: MonotonicTime | null = null;

  /** Records the first attempt of a request. */
  recordFirstAttempt(now: MonotonicTime): void {
    const gap = now - (this.#lastAttempt ?? now);
    const kept = Math.exp(-gap / RATE_TIME_CONSTANT);
    this.#rate = Math.max(
      LEAST_RATE,
      this.#rate * kept + 1 / RATE_TIME_CONSTANT,
    );
    this.#lastAttempt = now;
    this.#saved = Math.min(MAXIMUM_SAVED, this.#saved + RETRY_SHARE);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param within Milliseconds within which the retry must be sent to be of
   *   use.
   *
   * @returns Milliseconds to wait before it is sent; null if that would be too
   *   long, and the request then fails at once.
   */
  take(within: number, random: () => number): number | null {
    const missing = Math.max(0, 1 - this.#saved);
    const wait = missing / (this.#rate * RETRY_SHARE) + random() * JITTER;
    if (wait > within) {
      return null;
    }
    this.#saved -= 1;
    return wait;
  }
}
