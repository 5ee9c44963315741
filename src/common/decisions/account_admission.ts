/**
 * Admission by plan. It refuses the requests of an account that sends more than
 * its plan allows; otherwise one account's burst fills the queues up to their
 * bounds and gets more service than the account pays for. A refusal is
 * immediate and says when to retry. The tokens an answer may need are charged
 * on admission and corrected to the tokens used when it ends; otherwise an
 * account could start any number of long answers at the same moment.
 */
import type { IPlan } from "../plans/types.ts";
import { Reason } from "../types.ts";
import type { MonotonicTime } from "../types.ts";

/** Seconds of a plan's request rate that may be spent in one burst. */
const BURST_SECONDS = 1;

/** Seconds of a plan's token rate that may be spent in one burst. */
const TOKEN_BURST_SECONDS = 60;

const SECONDS_PER_MINUTE = 60;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Retry delay while all in-flight slots of the plan are taken, milliseconds.
 */
const BUSY_RETRY_AFTER = 1_000;

/** A refusal by plan, with the time after which to retry. */
export interface IPlanRefusal {
  readonly reason: Reason;
  /** Milliseconds. */
  readonly retryAfter: number;
}

/** A token bucket: fills at a rate, up to a capacity. */
class RateBucket {
  /** Null until the first refill, which fills it to its capacity. */
  #available: number | null = null;
  #filledAt: MonotonicTime = 0;

  /** Adds what has accrued since the last call. */
  refill(perSecond: number, capacity: number, now: MonotonicTime): void {
    const elapsed = (now - this.#filledAt) / MILLISECONDS_PER_SECOND;
    const filled = (this.#available ?? capacity) + elapsed * perSecond;
    this.#available = Math.min(capacity, filled);
    this.#filledAt = now;
  }

  /** Milliseconds until the amount is available; 0 if it already is. */
  timeUntil(amount: number, perSecond: number): number {
    const missing = Math.max(0, amount - (this.#available ?? 0));
    return Math.ceil((missing / perSecond) * MILLISECONDS_PER_SECOND);
  }

  take(amount: number): void {
    this.#available = (this.#available ?? 0) - amount;
  }
}

/** Tracks one account's use of its plan in this daemon. */
export class AccountAdmission {
  readonly #requests = new RateBucket();
  readonly #tokens = new RateBucket();
  #inFlight = 0;

  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Takes a slot, or returns why it is refused. Each admission must be ended by
   * `finish`.
   *
   * @param requested Tokens the answer may have at most; 0 for a plain call.
   */
  admit(
    plan: IPlan,
    requested: number,
    now: MonotonicTime,
  ): IPlanRefusal | null {
    const reason = Reason.OverLimit;
    const tokenRate = plan.tokensPerMinute / SECONDS_PER_MINUTE;
    const tokenCapacity = tokenRate * TOKEN_BURST_SECONDS;
    const burst = Math.max(1, plan.requestsPerSecond * BURST_SECONDS);
    this.#requests.refill(plan.requestsPerSecond, burst, now);
    this.#tokens.refill(tokenRate, tokenCapacity, now);
    if (this.#inFlight >= plan.requestsInFlight) {
      return { reason, retryAfter: BUSY_RETRY_AFTER };
    }
    // An answer larger than the bucket's capacity is admitted when it is full.
    const needed = Math.min(requested, tokenCapacity);
    const retryAfter = Math.max(
      this.#requests.timeUntil(1, plan.requestsPerSecond),
      this.#tokens.timeUntil(needed, tokenRate),
    );
    if (retryAfter > 0) {
      return { reason, retryAfter };
    }
    this.#requests.take(1);
    this.#tokens.take(requested);
    this.#inFlight += 1;
    return null;
  }

  /** Ends an admitted request and corrects the tokens charged to those used. */
  finish(requested: number, used: number): void {
    this.#inFlight -= 1;
    this.#tokens.take(used - requested);
  }
}
