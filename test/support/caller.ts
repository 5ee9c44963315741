/** HTTP client for calls to the deployment under test. */
import { createParser } from "eventsource-parser";
import { request } from "undici";

const STATUS_OK = 200;

/** A call to one operation of a service. */
export interface ICall {
  readonly address: string;
  readonly credential: string;
  /** Service and operation, such as `summarizer/headline`. */
  readonly operation: string;
  readonly body: unknown;
  readonly key?: string;
  readonly requestId?: string;
  /** Called for each text event; tests use it to await the first. */
  readonly onFirstText?: () => void;
  /** Aborts the request, as when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** A buffered answer or a refusal, as received by the caller. */
export interface IReply {
  readonly status: number;
  readonly body: {
    readonly request_id: string;
    readonly outcome: string;
    readonly reason?: string;
    readonly answer?: unknown;
    readonly answer_omitted?: {
      readonly sha256: string;
      readonly bytes: number;
    };
    readonly retry_after_ms?: number;
  };
}

/** A stream, as received by the caller. */
export interface IStreamReply {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  readonly wasReset: boolean;
  /** The body of a refusal; empty for a stream. */
  readonly refusal: string;
}

/** Formats a reply on one line, for assertion messages. */
export function describeReply(reply: IStreamReply): string {
  const { status, text, isWhole, wasReset, refusal } = reply;
  const words = text.split(" ").length;
  return JSON.stringify({ status, words, isWhole, wasReset, refusal });
}

/** The retry delay in a refusal, milliseconds. */
export function retryDelayOf({ refusal }: IStreamReply): number {
  const body = JSON.parse(refusal) as IReply["body"];
  return body.retry_after_ms ?? 0;
}

/** A call of the editor desk for a stream of the given number of tokens. */
export function longBrief(
  address: string,
  { id, tokens }: { readonly id: string; readonly tokens: number },
): ICall & { readonly requestId: string } {
  return {
    address,
    credential: "editor-desk-secret",
    operation: "summarizer/long-brief",
    requestId: id,
    body: { prompt: `story ${id}`, maximum_tokens: tokens },
  };
}

/** Sends a call and returns its buffered answer. */
export async function sendCall(call: ICall): Promise<IReply> {
  const answer = await postCall(call);
  const body = (await answer.body.json()) as IReply["body"];
  return { status: answer.statusCode, body };
}

/** Sends a call and reads the stream to its end or reset. */
export async function sendStreamCall(call: ICall): Promise<IStreamReply> {
  const answer = await postCall(call);
  let text = "";
  let refusal = "";
  let isWhole = false;
  const parser = createParser({
    onEvent: (event) => {
      if (event.event === "end") {
        isWhole = true;
      } else {
        text += (JSON.parse(event.data) as { text: string }).text;
        call.onFirstText?.();
      }
    },
  });
  const { statusCode: status } = answer;
  try {
    const decoder = new TextDecoder();
    for await (const chunk of answer.body) {
      const piece = decoder.decode(chunk as Buffer, { stream: true });
      refusal += status === STATUS_OK ? "" : piece;
      parser.feed(piece);
    }
  } catch {
    return { status, text, isWhole, wasReset: true, refusal };
  }
  return { status, text, isWhole, wasReset: false, refusal };
}

function postCall(call: ICall) {
  return request(`http://${call.address}/v1/services/${call.operation}`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${call.credential}`,
      "content-type": "application/json",
      ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
      ...(call.requestId === undefined
        ? {}
        : { "x-request-id": call.requestId }),
    },
    body: JSON.stringify(call.body),
    signal: call.signal,
  });
}
