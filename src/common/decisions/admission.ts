/**
 * Admission by plan. Pattern of load: an account sends more than its plan
 * allows. Without it, one account's burst fills every queue and the others'
 * answers come late. A refused request is told at once, and when to come back.
 */
import type { IPlan } from "../plans/types.ts";
import { Reason } from "../types.ts";
import type { MonotonicTime } from "../types.ts";

/** Seconds of a plan's rate that may be spent in one burst. */
const BURST_SECONDS = 1;

const MILLISECONDS_PER_SECOND = 1_000;

/** When to come back if all slots in flight are taken, milliseconds. */
const BUSY_RETRY_AFTER = 1_000;

/** A refusal by plan, and when asking again makes sense. */
export interface IPlanRefusal {
  readonly reason: Reason;
  /** Milliseconds. */
  readonly retryAfter: number;
}

/** One account's use of its plan in this daemon. */
export class AccountUse {
  #tokens: number | null = null;
  #filledAt: MonotonicTime = 0;
  #inFlight = 0;

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Takes a slot, or says why not; each admission is ended by `finished`. */
  admit(plan: IPlan, now: MonotonicTime): IPlanRefusal | null {
    this.#refill(plan, now);
    const tokens = this.#tokens ?? 0;
    if (this.#inFlight >= plan.requestsInFlight) {
      return { reason: Reason.OverLimit, retryAfter: BUSY_RETRY_AFTER };
    }
    if (tokens < 1) {
      const wait = (1 - tokens) / plan.requestsPerSecond;
      const retryAfter = Math.ceil(wait * MILLISECONDS_PER_SECOND);
      return { reason: Reason.OverLimit, retryAfter };
    }
    this.#tokens = tokens - 1;
    this.#inFlight += 1;
    return null;
  }

  /** An admitted request has had its final answer. */
  finished(): void {
    this.#inFlight -= 1;
  }

  #refill(plan: IPlan, now: MonotonicTime): void {
    const capacity = Math.max(1, plan.requestsPerSecond * BURST_SECONDS);
    const elapsed = (now - this.#filledAt) / MILLISECONDS_PER_SECOND;
    const filled =
      (this.#tokens ?? capacity) + elapsed * plan.requestsPerSecond;
    this.#tokens = Math.min(capacity, filled);
    this.#filledAt = now;
  }
}
