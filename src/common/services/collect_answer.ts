/** Collects a stream of tokens into a buffered answer. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { AnswerMemory } from "../calls/answer_memory.ts";
import { Reason } from "../types.ts";
import type { IRefusal } from "../types.ts";
import type { TokenBatch } from "./forwarding.ts";
import { outcomeUnknown } from "./refusal.ts";
import type { IBufferedAnswer } from "./types.ts";

/** Bytes that a token takes beyond its text. */
const TOKEN_SIZE = 64;

/** Where a collected answer is accounted for. */
export interface ICollectParts {
  /** The memory of all answers. */
  readonly memory: AnswerMemory;
  /** Called when there is no room for the answer. */
  readonly onExceeded: () => void;
}

/** Resolves with the complete answer or a refusal, never a partial answer. */
export async function collectAnswer(
  batches: AsyncIterable<TokenBatch>,
  { memory, onExceeded }: ICollectParts,
): Promise<Result<IBufferedAnswer, IRefusal>> {
  const parts: string[] = [];
  const share = memory.createShare();
  try {
    for await (const batch of batches) {
      if (batch.isErr()) {
        return Err(batch.error);
      }
      let bytes = 0;
      for (const token of batch.value) {
        if (token.isEnd) {
          return Ok({ body: { text: parts.join(""), tokens: parts.length } });
        }
        parts.push(token.text);
        bytes += token.text.length + TOKEN_SIZE;
      }
      if (!share.resize(share.kept + bytes)) {
        onExceeded();
        const detail = "the answer is too long, or there is no room for it";
        return Err(outcomeUnknown(Reason.TargetLost, detail));
      }
    }
    return Err(outcomeUnknown(Reason.TargetLost, "the answer ended early"));
  } finally {
    share.dispose();
  }
}
