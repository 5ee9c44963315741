/**
 * Admits a call with quarantined parts from time to time. While all such calls
 * are refused, no answer can show that the finding was wrong, and sound calls
 * would be refused for as long as it lasts. Each trial may end an engine, so
 * they become rare quickly.
 */
import type { MonotonicTime } from "../types.ts";
import type { ICrashCause, IPromptedCall } from "./types.ts";

/** Milliseconds until the first trial of a cause. */
const FIRST_DELAY = 60_000;

/** The same for a cause whose parts were sound before, or are common. */
const FIRST_DELAY_IN_DOUBT = 5_000;

/** Factor by which each delay is longer than the one before. */
const BACKOFF = 3;

/** Causes whose next trial is known; the oldest is forgotten first. */
const MAXIMUM_CAUSES = 1_000;

interface ITrialPlan {
  nextAt: MonotonicTime;
  delay: number;
}

/** The trials of one process. */
export class QuarantineTrials {
  readonly #plans = new Map<string, ITrialPlan>();
  /** Calls that were admitted and have not been broken off. */
  readonly #calls = new WeakSet<IPromptedCall>();

  /** @param isInDoubt - whether the cause may well be wrong */
  schedule(cause: ICrashCause, isInDoubt: boolean, now: MonotonicTime): void {
    const delay = isInDoubt ? FIRST_DELAY_IN_DOUBT : FIRST_DELAY;
    this.#plans.set(keyOf(cause), { nextAt: now + delay, delay });
    const [oldest] = this.#plans.keys();
    if (this.#plans.size > MAXIMUM_CAUSES && oldest !== undefined) {
      this.#plans.delete(oldest);
    }
  }

  isScheduled(cause: ICrashCause): boolean {
    return this.#plans.has(keyOf(cause));
  }

  /** Whether a call was admitted, or is admitted now. */
  admits(call: IPromptedCall, cause: ICrashCause, now: MonotonicTime): boolean {
    if (this.#calls.has(call)) {
      return true;
    }
    const plan = this.#plans.get(keyOf(cause));
    if (plan === undefined || now < plan.nextAt) {
      return false;
    }
    plan.delay *= BACKOFF;
    plan.nextAt = now + plan.delay;
    this.#calls.add(call);
    return true;
  }

  isTrial(call: IPromptedCall): boolean {
    return this.#calls.has(call);
  }

  /** A trial that was broken off is not sent again. */
  recordBroken(call: IPromptedCall): void {
    this.#calls.delete(call);
  }
}

function keyOf({ service, parts }: ICrashCause): string {
  return `${service} ${parts.join(",")}`;
}
