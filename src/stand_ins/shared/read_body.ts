/** Reads a JSON body of limited size. */
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";

/** A body as text and as parsed JSON. */
export interface IBody {
  readonly text: string;
  readonly content: unknown;
}

/** Why a body was rejected. */
export interface IBodyError {
  readonly detail: string;
  readonly isTooLong: boolean;
}

/**
 * Reads and parses a body. Reading stops at the limit, but the connection stays
 * open so that the caller can still receive the refusal.
 *
 * @param maximumBytes - a longer body is refused
 */
export async function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Result<IBody, IBodyError>> {
  const chunks: Buffer[] = [];
  let length = Number(incoming.headers["content-length"] ?? 0);
  if (length > maximumBytes) {
    return tooLong(maximumBytes);
  }
  length = 0;
  for await (const chunk of incoming.iterator({ destroyOnReturn: false })) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > maximumBytes) {
      return tooLong(maximumBytes);
    }
    chunks.push(bytes);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  try {
    const content: unknown = text === "" ? null : JSON.parse(text);
    return Ok({ text, content });
  } catch (error) {
    const detail = `the body is not JSON: ${String(error)}`;
    return Err({ detail, isTooLong: false });
  }
}

function tooLong(maximumBytes: number): Result<IBody, IBodyError> {
  const detail = `the body is longer than ${maximumBytes} bytes`;
  return Err({ detail, isTooLong: true });
}
