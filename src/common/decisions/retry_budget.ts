/**
 * How many second tries there may be. Pattern of load: an outage makes all
 * requests fail at once, and each is tried again; without a budget the load
 * doubles or triples just when there is least to serve it, and the outage
 * outlasts its cause. One would notice by targets that run mostly repeats.
 * A share of the first tries may be repeated; a second try that is not yet
 * earned waits for it, within its deadline, rather than being given up. So a
 * lost replica group costs its requests some time, and an outage adds no more
 * than the share. One budget a client account and a service: one account's
 * failures do not use up another's tries.
 */
import type { MonotonicTime } from "../types.ts";

/** Second tries earned by one first try. */
export const RETRY_SHARE = 0.1;

/** Second tries kept for later, so that a quiet account has a few. */
const LARGEST_SAVINGS = 3;

/** How long the rate of first tries is averaged over, milliseconds. */
const RATE_MEMORY = 5_000;

/** First tries a millisecond of an account that sends hardly any. */
const SMALLEST_RATE = 1 / 1_000;

/** Back-off is spread by up to this, milliseconds, against waves. */
const JITTER = 100;

/** The budget of one client account at one service. */
export class RetryBudget {
  #savings = LARGEST_SAVINGS;
  #rate = SMALLEST_RATE;
  #lastTry: MonotonicTime | null = null;

  /** A request is tried for the first time. */
  recordFirstAttempt(now: MonotonicTime): void {
    const gap = now - (this.#lastTry ?? now);
    const kept = Math.exp(-gap / RATE_MEMORY);
    this.#rate = Math.max(SMALLEST_RATE, this.#rate * kept + 1 / RATE_MEMORY);
    this.#lastTry = now;
    this.#savings = Math.min(LARGEST_SAVINGS, this.#savings + RETRY_SHARE);
  }

  /**
   * Takes one second try.
   *
   * @param within Milliseconds in which it must be sent to be of use.
   * @returns How long to wait before it is sent, milliseconds; null if that
   *   would be too long: the caller is to be told at once.
   */
  take(within: number, random: () => number): number | null {
    const missing = Math.max(0, 1 - this.#savings);
    const wait = missing / (this.#rate * RETRY_SHARE) + random() * JITTER;
    if (wait > within) {
      return null;
    }
    this.#savings -= 1;
    return wait;
  }
}
