/** Creates refusals: final replies to requests that get no answer. */
import { Outcome } from "../types.ts";
import type { IRefusal, Reason } from "../types.ts";

/** Refuses a request that has not run and will not. */
export function notRun(
  reason: Reason,
  detail: string,
  retryAfter = 0,
): IRefusal {
  return { outcome: Outcome.NotRun, reason, detail, retryAfter };
}

/** Refuses a request that may have run. */
export function outcomeUnknown(
  reason: Reason,
  detail: string,
  retryAfter = 0,
): IRefusal {
  return { outcome: Outcome.Unknown, reason, detail, retryAfter };
}
