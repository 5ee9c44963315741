/**
 * What processes send each other to forward requests, over HTTP on the inner
 * port. A call is sent as a line of JSON and then its body. Its response is a
 * line of JSON with the target's head, the target's bytes as they arrive, and a
 * trailer that says how it ended. A response without the trailer is incomplete.
 */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { GroupMemberState, SendFailure } from "../../common/calls/types.ts";
import type { IResponseHead } from "../../common/calls/types.ts";
import type {
  ForwardRefusal,
  IForwardedExchange,
  IForwardedSend,
} from "../../common/forwarding/types.ts";
import type {
  ICrashNews,
  IRequestCrash,
} from "../../common/quarantine/types.ts";
import { OrderKind, OrderOutcome } from "../../common/replicas/types.ts";
import type {
  EngineOrder,
  IEngineReport,
} from "../../common/replicas/types.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure, ServiceName } from "../../common/types.ts";

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

/** The first and the last status of a response that is final. */
const LOWEST_STATUS = 200;
const HIGHEST_STATUS = 999;

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

const crashesSchema = z.array(
  z.object({
    service: z.string(),
    fingerprint: z.string(),
    target: z.string(),
    startedAt: z.number(),
    age: z.number(),
  }),
);

const crashNewsSchema = z.object({
  crashes: crashesSchema,
  wantsAll: z.boolean(),
});

const orderSchema = exchangeSchema.extend({
  order: z.looseObject({ kind: z.enum(OrderKind) }),
});

/** What a target did not report is absent in the answers of older builds. */
const headSchema = z.object({
  status: z.number().int().min(LOWEST_STATUS).max(HIGHEST_STATUS),
  headers: z.array(z.string()).refine(areHeaders),
  isNotRun: z.boolean(),
  isForOtherRequest: z.boolean(),
  load: z
    .object({ running: z.number(), waiting: z.number(), slots: z.number() })
    .nullable()
    .default(null),
  rateLimit: z.number().nullable().default(null),
  retryAfter: z.number().nullable().default(null),
  isLeaving: z.boolean().default(false),
});

const responseSchema = z.union([
  z.object({ head: headSchema }),
  z.object({ failure: z.enum(SendFailure), detail: z.string() }),
]);

const reportSchema = z.object({
  startedAt: z.number(),
  queued: z.number(),
  running: z.number(),
  pace: z.number(),
  engine: z.object({
    staged: z.array(z.string()),
    model: z.string().nullable(),
    membership: z
      .object({
        group: z.string(),
        epoch: z.number(),
        rank: z.number(),
        state: z.enum(GroupMemberState),
      })
      .nullable(),
    domain: z.string(),
  }),
  orderCount: z.number(),
  isLeaving: z.boolean().default(false),
  /** Absent in the answers of older builds. */
  age: z.number().nonnegative().default(0),
});

const fetchedReportSchema = z.union([
  z.object({ report: reportSchema }),
  z.object({ kind: z.enum(CallFailureKind), detail: z.string() }),
]);

const outcomeSchema = z.object({ outcome: z.enum(OrderOutcome) });

const statusSchema = z.object({ outOfReach: z.array(z.string()) });

const knownCrashesSchema = z.object({ crashes: crashesSchema });

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

/** Decodes the first line of a response; null if it is not valid. */
export function decodeResponseLine(line: Uint8Array): ResponseLine | null {
  const { buffer, byteOffset, byteLength } = line;
  return decode(responseSchema, Buffer.from(buffer, byteOffset, byteLength));
}

/** Decodes what came of a report; null if it is not valid. */
export function decodeFetchedReport(
  value: unknown,
): Result<IEngineReport, ICallFailure> | null {
  const found = valueOf(fetchedReportSchema, value);
  if (found === null) {
    return null;
  }
  return "report" in found ? Ok(found.report) : Err(found);
}

/** Decodes what came of an order; null if it is not valid. */
export function decodeOutcome(value: unknown): OrderOutcome | null {
  return valueOf(outcomeSchema, value)?.outcome ?? null;
}

/** Decodes the services that a process does not reach; null if not valid. */
export function decodeOutOfReach(
  value: unknown,
): readonly ServiceName[] | null {
  return valueOf(statusSchema, value)?.outOfReach ?? null;
}

/** Decodes the crashes that a process knows; null if they are not valid. */
export function decodeKnownCrashes(
  value: unknown,
): readonly IRequestCrash[] | null {
  return valueOf(knownCrashesSchema, value)?.crashes ?? null;
}

/** Whether names and values alternate and can be written to a caller. */
function areHeaders(headers: readonly string[]): boolean {
  if (headers.length % 2 !== 0) {
    return false;
  }
  try {
    for (let index = 0; index < headers.length; index += 2) {
      const name = headers[index] ?? "";
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1] ?? "");
    }
    return true;
  } catch {
    // The response is reported as not valid.
    return false;
  }
}

/** The value if it fits a schema, and null if not. */
function valueOf<T>(schema: z.ZodType<T>, value: unknown): T | null {
  const checked = schema.safeParse(value);
  return checked.success ? checked.data : null;
}

function decode<T>(schema: z.ZodType<T>, content: Buffer): T | null {
  try {
    return schema.parse(JSON.parse(content.toString("utf8")));
  } catch {
    // The sender receives status 400, and logs it.
    return null;
  }
}
