/** Reads bodies of answers up to a length: what another side writes may not end. */
import {
  AnswerBound,
  AnswerBoundError,
} from "../common/calls/answer_bounds.ts";
import { AnswerBuffer } from "../common/calls/answer_memory.ts";
import type { AnswerMemory } from "../common/calls/answer_memory.ts";

/** How much of a body is read. */
export interface IBodyLimit {
  /** Bytes. */
  readonly limit: number;
  /** The memory of all such answers. */
  readonly memory: AnswerMemory;
  /** Called when the body is too long, or there is no room for it. */
  readonly onExceeded: (bound: AnswerBound) => void;
}

/**
 * Reads a whole body; its connection is closed if it is too long.
 *
 * @throws {AnswerBoundError} if it is too long
 */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  { limit, memory, onExceeded }: IBodyLimit,
): Promise<string> {
  const buffer = new AnswerBuffer(memory, limit);
  try {
    for await (const chunk of body) {
      if (!buffer.push(chunk)) {
        const isTooLong = buffer.length + chunk.length > limit;
        const bound = isTooLong ? AnswerBound.Length : AnswerBound.Memory;
        onExceeded(bound);
        throw new AnswerBoundError(bound);
      }
    }
    const { buffer: bytes, byteOffset, byteLength } = buffer.join();
    return Buffer.from(bytes, byteOffset, byteLength).toString("utf8");
  } finally {
    buffer.dispose();
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
