/** Interprets responses of targets: valid, refused, or outcome unknown. */
import type { IncomingHttpHeaders } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { CallFailureKind, TargetState } from "../../common/types.ts";
import type { ICallFailure, ITargetReport } from "../../common/types.ts";
import { decodeRetryAfter } from "../retry_after.ts";

const STATUS_UNAVAILABLE = 503;

/** Status codes with which a target states that it has not acted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([
  400, 404, 409, 413, 429, 503,
]);

const reportSchema = z.object({
  instance: z.string(),
  incarnation: z.string(),
  state: z.enum(TargetState),
  membership: z
    .object({
      group: z.string(),
      generation: z.number(),
      epoch: z.number(),
      rank: z.number(),
    })
    .nullable(),
  model: z.string(),
  running: z.number(),
  queued: z.number(),
  tokens: z.number(),
  lag: z.number(),
});

/**
 * Reads a target's report.
 *
 * @throws {Error} if it is of another form
 */
export function readReport(value: unknown): ITargetReport {
  const checked = reportSchema.safeParse(value);
  if (!checked.success) {
    throw new Error("the report is of another form");
  }
  return checked.data;
}

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
