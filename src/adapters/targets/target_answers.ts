/** Interprets responses of targets: valid, refused, or outcome unknown. */
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";
import { decodeRetryAfter } from "../retry_after.ts";

const STATUS_UNAVAILABLE = 503;

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
  answer: {
    readonly statusCode: number;
    readonly headers: IncomingHttpHeaders;
  },
  text: string,
): ICallFailure {
  const { statusCode: status, headers } = answer;
  const kind = REFUSAL_STATUSES.has(status)
    ? CallFailureKind.Refused
    : CallFailureKind.Unknown;
  const detail = `${attempted}: answered ${status} ${text}`;
  const retryAfter =
    status === STATUS_UNAVAILABLE
      ? decodeRetryAfter(headers["retry-after"])
      : null;
  return retryAfter === null ? { kind, detail } : { kind, detail, retryAfter };
}
