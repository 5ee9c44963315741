/** What targets' answers mean: theirs and whole, refused, or in doubt. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";

/** Statuses by which a target says that it has not acted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  400, 404, 409, 413, 429, 503,
]);

/** An answer to another request must never reach this caller. */
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

/** The failure that a status other than 200 stands for. */
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
