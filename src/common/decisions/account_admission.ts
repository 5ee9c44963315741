/**
 * Admission by plan. Pattern of load: an account sends more than its plan
 * allows. Without it one account's burst fills the queues up to their bounds,
 * and its fair part is more than it has paid for. A refused request is told at
 * once, and when to come back. What an answer will need is counted as asked
 * when it is let in, and settled by what it took when it has ended: otherwise
 * an account could have any number of long answers begun at the same moment.
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

/** When to come back if all slots in flight are taken, milliseconds. */
const BUSY_RETRY_AFTER = 1_000;

/** A refusal by plan, and when asking again makes sense. */
export interface IPlanRefusal {
  readonly reason: Reason;
  /** Milliseconds. */
  readonly retryAfter: number;
}

/** A rate that may be saved up to a capacity. */
class RateBucket {
  #left: number | null = null;
  #filledAt: MonotonicTime = 0;

  /** Fills up for the time passed. */
  refill(perSecond: number, capacity: number, now: MonotonicTime): void {
    const elapsed = (now - this.#filledAt) / MILLISECONDS_PER_SECOND;
    const filled = (this.#left ?? capacity) + elapsed * perSecond;
    this.#left = Math.min(capacity, filled);
    this.#filledAt = now;
  }

  /** Milliseconds until so much is there; 0 if it is. */
  timeUntil(amount: number, perSecond: number): number {
    const missing = Math.max(0, amount - (this.#left ?? 0));
    return Math.ceil((missing / perSecond) * MILLISECONDS_PER_SECOND);
  }

  take(amount: number): void {
    this.#left = (this.#left ?? 0) - amount;
  }
}

/** One account's use of its plan in this daemon. */
export class AccountAdmission {
  readonly #requests = new RateBucket();
  readonly #tokens = new RateBucket();
  #inFlight = 0;

  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Takes a slot, or says why not; each admission is ended by `finished`.
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
    // An answer larger than the whole allowance is let in when it is full.
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

  /** An admitted request has had its final answer. */
  finish(requested: number, used: number): void {
    this.#inFlight -= 1;
    this.#tokens.take(used - requested);
  }
}
