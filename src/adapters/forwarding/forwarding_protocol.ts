/**
 * What processes send each other to forward requests, over HTTP on the inner
 * port. A call is sent as a line of JSON and then its body. Its response is a
 * line of JSON with the target's head, the target's bytes as they arrive, and a
 * trailer that says how it ended. A response without the trailer is incomplete.
 */
import { z } from "zod";
import type { IResponseHead, SendFailure } from "../../common/calls/types.ts";
import type {
  ForwardRefusal,
  IForwardedExchange,
  IForwardedSend,
} from "../../common/forwarding/types.ts";
import type { ICrashNews } from "../../common/quarantine/types.ts";
import { OrderKind } from "../../common/replicas/types.ts";
import type { EngineOrder } from "../../common/replicas/types.ts";

/** Paths on the inner port. */
export enum ForwardPath {
  Send = "/forward/send",
  Report = "/forward/report",
  Order = "/forward/order",
  Status = "/forward/status",
  Crashes = "/forward/crashes",
}

/** The trailer at the end of a response: `whole`, or a failure. */
export const END_TRAILER = "forward-end";

/** Value of {@link END_TRAILER} after a complete response. */
export const WHOLE = "whole";

/** Status of a request that was not taken; nothing was sent to a target. */
export const STATUS_NOT_TAKEN = 503;

export const STATUS_OK = 200;

/** Ends the line of JSON; does not occur within it. */
export const LINE_END = 0x0a;

const sendSchema = z.object({
  target: z.string(),
  call: z.object({
    id: z.string(),
    service: z.string(),
    account: z.string().nullable(),
    message: z.object({
      method: z.string(),
      requestTarget: z.string(),
      headers: z.array(z.string()),
    }),
  }),
  timeLeft: z.number(),
  lastEventId: z.string().nullable(),
  needsNewConnection: z.boolean(),
});

const exchangeSchema = z.object({ engine: z.string(), timeout: z.number() });

const crashNewsSchema = z.object({
  crashes: z.array(
    z.object({
      service: z.string(),
      fingerprint: z.string(),
      target: z.string(),
      startedAt: z.number(),
      age: z.number(),
    }),
  ),
  wantsAll: z.boolean(),
});

const orderSchema = exchangeSchema.extend({
  order: z.looseObject({ kind: z.enum(OrderKind) }),
});

/** The first line of its response. */
export type ResponseLine =
  | { readonly head: IResponseHead }
  | { readonly failure: SendFailure; readonly detail: string };

/** The body of a response that says that a call was not taken. */
export interface INotTaken {
  readonly refusal: ForwardRefusal;
}

/** Joins a line of JSON and the bytes after it. */
export function encodeLine(
  line: object,
  rest: Uint8Array = new Uint8Array(),
): Buffer {
  return Buffer.concat([Buffer.from(`${JSON.stringify(line)}\n`), rest]);
}

/** Decodes a forwarded call; null if it is not valid. */
export function decodeSend(content: Buffer): IForwardedSend | null {
  const end = content.indexOf(LINE_END);
  const line = decode(sendSchema, content.subarray(0, Math.max(0, end)));
  if (line === null) {
    return null;
  }
  const { call, ...rest } = line;
  const message = { ...call.message, body: content.subarray(end + 1) };
  return { ...rest, call: { ...call, message } };
}

/** Decodes a request for a report; null if it is not valid. */
export function decodeExchange(content: Buffer): IForwardedExchange | null {
  return decode(exchangeSchema, content);
}

/** Decodes news of crashes; null if they are not valid. */
export function decodeCrashNews(content: Buffer): ICrashNews | null {
  return decode(crashNewsSchema, content);
}

/** Decodes an order; null if it is not valid. */
export function decodeOrder(
  content: Buffer,
): (IForwardedExchange & { readonly order: EngineOrder }) | null {
  const order = decode(orderSchema, content);
  // The engine checks the other fields of the order.
  return order as (IForwardedExchange & { order: EngineOrder }) | null;
}

function decode<T>(schema: z.ZodType<T>, content: Buffer): T | null {
  try {
    return schema.parse(JSON.parse(content.toString("utf8")));
  } catch {
    // The sender receives status 400, and logs it.
    return null;
  }
}
