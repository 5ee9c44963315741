/** Reads bodies of answers up to a length: what another side writes may not end. */
import type { AnswerShare } from "../common/calls/answer_memory.ts";

/** The answer is longer than any valid one; the other side may have acted. */
export class AnswerTooLongError extends Error {
  readonly code = "ANSWER_TOO_LONG";

  /** @param limit - bytes */
  constructor(limit: number) {
    super(`the answer exceeds ${limit} bytes`);
  }
}

/** How much of a body is read. */
export interface IBodyLimit {
  /** Bytes. */
  readonly limit: number;
  /** What the body takes of the memory of all answers; none if it is small. */
  readonly share?: AnswerShare;
}

/**
 * Reads a whole body; its connection is closed if it is too long.
 *
 * @throws {AnswerTooLongError} if it is too long
 */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  { limit, share }: IBodyLimit,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const chunk of body) {
      length += chunk.byteLength;
      if (length > limit || share?.resize(length) === false) {
        throw new AnswerTooLongError(limit);
      }
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
  } finally {
    share?.dispose();
  }
}

/** Reads the beginning of a body; its connection is closed after that. */
export async function readBeginning(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<string> {
  let text = "";
  for await (const chunk of body) {
    text += Buffer.from(chunk).toString("utf8");
    if (text.length >= limit) {
      break;
    }
  }
  return text.slice(0, limit);
}
