/** Writes responses to callers: a complete answer or a clear failure. */
import type { ServerResponse } from "node:http";
import type {
  CallerAnswer,
  IStreamedAnswer,
} from "../../common/services/types.ts";
import type { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { Outcome, Reason } from "../../common/types.ts";
import type { OmittedAnswer } from "../../common/runs/run_record.ts";
import type { IRefusal } from "../../common/types.ts";
import { endAfterDiscardingBody } from "./discard_body.ts";

const STATUS_OK = 200;
const STATUS_BY_REASON: Readonly<Record<Reason, number>> = {
  [Reason.UnknownCaller]: 401,
  [Reason.NotInPlan]: 403,
  [Reason.NoSuchOperation]: 404,
  [Reason.BadRequest]: 400,
  [Reason.BodyTooLarge]: 413,
  [Reason.IdempotencyKeyRequired]: 400,
  [Reason.IdempotencyKeyReused]: 422,
  [Reason.InProgress]: 409,
  [Reason.OutcomeUnknown]: 409,
  [Reason.OverLimit]: 429,
  [Reason.DeadlineTooNear]: 429,
  [Reason.QueueFull]: 429,
  [Reason.DaemonFull]: 503,
  [Reason.NoReplicaAvailable]: 503,
  [Reason.PlatformUnavailable]: 503,
  [Reason.PlanListsUnknown]: 503,
  [Reason.TargetLost]: 502,
  [Reason.TargetRefused]: 503,
  [Reason.ShuttingDown]: 503,
  [Reason.DeadlinePassed]: 504,
  [Reason.CallerLeft]: 499,
  [Reason.Quarantined]: 503,
};

/** How long a caller may read nothing from its stream, milliseconds. */
const DRAIN_TIMEOUT = 30_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Writes a refusal in the documented format and returns its outcome. */
export function sendRefusal(
  response: ServerResponse,
  requestId: string,
  refusal: IRefusal,
): Outcome {
  if (refusal.retryAfter > 0) {
    const seconds = Math.ceil(refusal.retryAfter / MILLISECONDS_PER_SECOND);
    response.setHeader("retry-after", seconds);
  }
  const body = JSON.stringify({
    request_id: requestId,
    outcome: refusal.outcome,
    reason: refusal.reason,
    detail: refusal.detail,
    retry_after_ms: refusal.retryAfter,
  });
  // An unread rest of the request would be parsed as the next one.
  const isComplete = response.req.complete;
  if (!isComplete) {
    response.setHeader("connection", "close");
  }
  response.writeHead(STATUS_BY_REASON[refusal.reason], {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  if (isComplete) {
    response.end(body);
  } else {
    response.write(body);
    endAfterDiscardingBody(response.req, response);
  }
  return refusal.outcome;
}

/** Writes an answer and returns the outcome that the caller sees. */
export async function sendAnswer(
  response: ServerResponse,
  requestId: string,
  {
    answer,
    memory,
  }: { readonly answer: CallerAnswer; readonly memory: AnswerMemory },
): Promise<Outcome> {
  if (answer.kind === "stream") {
    return sendStream(response, requestId, answer.answer);
  }
  const body = JSON.stringify({
    request_id: requestId,
    outcome: Outcome.Completed,
    answer: answer.answer.body,
    ...omittedFields(answer.answer.omitted),
  });
  const length = Buffer.byteLength(body);
  const unread = memory.createShare(() => response.destroy());
  response.once("close", () => unread.dispose());
  if (!unread.resize(length)) {
    response.destroy();
    return Outcome.Unknown;
  }
  response.writeHead(STATUS_OK, {
    "content-type": "application/json",
    "content-length": length,
  });
  response.end(body);
  return Outcome.Completed;
}

/** For a repeated call, describes an answer that was too large to store. */
function omittedFields(omitted: OmittedAnswer | null | undefined): object {
  if (!omitted) {
    return {};
  }
  const { digest, bytes } = omitted;
  return { answer_omitted: { sha256: digest, bytes } };
}

/**
 * Streams tokens as server-sent events. Nothing is written before the first
 * token, so an earlier failure is still sent as an ordinary refusal. A later
 * failure resets the connection: a normal close would look like a complete
 * answer.
 */
async function sendStream(
  response: ServerResponse,
  requestId: string,
  answer: IStreamedAnswer,
): Promise<Outcome> {
  let sentTokens = 0;
  for await (const batch of answer.tokens) {
    if (batch.isErr()) {
      if (sentTokens === 0) {
        return sendRefusal(response, requestId, batch.error);
      }
      response.destroy();
      return batch.error.outcome;
    }
    if (sentTokens === 0) {
      response.writeHead(STATUS_OK, { "content-type": "text/event-stream" });
    }
    let text = "";
    for (const token of batch.value) {
      const data = token.isEnd
        ? endData(requestId, token.sequence)
        : JSON.stringify({ text: token.text });
      const event = token.isEnd ? "event: end\n" : "";
      text += `${event}id: ${token.sequence}\ndata: ${data}\n\n`;
    }
    sentTokens += batch.value.length;
    const isComplete = batch.value.at(-1)?.isEnd === true;
    if (!response.write(text) && !isComplete) {
      await waitForDrain(response);
    }
    if (isComplete) {
      response.end();
      return Outcome.Completed;
    }
  }
  response.destroy();
  return Outcome.Unknown;
}

function endData(requestId: string, tokens: number): string {
  const outcome = Outcome.Completed;
  return JSON.stringify({ request_id: requestId, outcome, tokens });
}

/**
 * Waits until a slow caller has drained the buffer or its connection closes. A
 * caller that reads nothing would hold its engine slot forever, so it is
 * disconnected after a timeout.
 */
function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), DRAIN_TIMEOUT);
    const finish = () => {
      clearTimeout(timer);
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.on("drain", finish);
    response.on("close", finish);
  });
}
