/** Reads a bounded JSON body. */
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";

/** A body as text and as what it says. */
export interface IBody {
  readonly text: string;
  readonly content: unknown;
}

/**
 * @param maximumBytes - a longer body is refused without being read
 * @returns the body, or what is wrong with it
 */
export async function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
): Promise<Result<IBody, string>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > maximumBytes) {
      return Err(`the body is longer than ${maximumBytes} bytes`);
    }
    chunks.push(bytes);
  }
  const text = Buffer.concat(chunks).toString("utf8");
  try {
    const content: unknown = text === "" ? null : JSON.parse(text);
    return Ok({ text, content });
  } catch (error) {
    return Err(`the body is not JSON: ${String(error)}`);
  }
}
