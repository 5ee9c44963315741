/** Collects a stream of tokens into a buffered answer. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { Reason } from "../types.ts";
import type { IRefusal } from "../types.ts";
import type { TokenBatch } from "./forwarding.ts";
import { outcomeUnknown } from "./refusal.ts";
import type { IBufferedAnswer } from "./types.ts";

/** Resolves with the complete answer or a refusal, never a partial answer. */
export async function collectAnswer(
  batches: AsyncIterable<TokenBatch>,
): Promise<Result<IBufferedAnswer, IRefusal>> {
  const parts: string[] = [];
  for await (const batch of batches) {
    if (batch.isErr()) {
      return Err(batch.error);
    }
    for (const token of batch.value) {
      if (token.isEnd) {
        return Ok({ body: { text: parts.join(""), tokens: parts.length } });
      }
      parts.push(token.text);
    }
  }
  return Err(outcomeUnknown(Reason.TargetLost, "the answer ended early"));
}
