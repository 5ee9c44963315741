/** Interprets responses of targets: valid, refused, or outcome unknown. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";

/** Status codes with which a target states that it has not acted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  400, 404, 409, 413, 429, 503,
]);

/** Rejects an answer to another request, which must not reach this caller. */
export function checkServiceAnswer(
  value: unknown,
  requestId: string,
): Result<unknown, ICallFailure> {
  const answer = value as { requestId?: unknown; answer?: unknown } | null;
  if (answer?.requestId !== requestId) {
    const detail = `the answer names request ${String(answer?.requestId)}`;
    return Err({ kind: CallFailureKind.Unknown, detail });
  }
  return Ok(answer.answer);
}

/** Converts a status code other than 200 into a failure. */
export function failureOfStatus(
  attempted: string,
  status: number,
  text: string,
): ICallFailure {
  const kind = REFUSAL_STATUSES.has(status)
    ? CallFailureKind.Refused
    : CallFailureKind.Unknown;
  return { kind, detail: `${attempted}: answered ${status} ${text}` };
}
