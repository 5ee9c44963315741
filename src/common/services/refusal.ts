/** Makes the final words for callers that get no answer. */
import { Outcome } from "../types.ts";
import type { IRefusal, Reason } from "../types.ts";

/** The request did not run and will not. */
export function notRun(
  reason: Reason,
  detail: string,
  retryAfter = 0,
): IRefusal {
  return { outcome: Outcome.NotRun, reason, detail, retryAfter };
}

/** The request may have run. */
export function outcomeUnknown(
  reason: Reason,
  detail: string,
  retryAfter = 0,
): IRefusal {
  return { outcome: Outcome.Unknown, reason, detail, retryAfter };
}
