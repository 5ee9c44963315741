/** A request as the decisions see it: who asks, how much, and until when. */
import type { AccountName, MonotonicTime, RequestId } from "../types.ts";

/**
 * Cost of one prompt token, in generated tokens. Reading a prompt fills the
 * processor while generating waits for memory, so it is far cheaper.
 */
export const PROMPT_TOKEN_COST = 0.05;

/** Asked tokens from which work counts as long. */
export const LONG_WORK_TOKENS = 256;

/** What is asked, before it is sent anywhere. */
export interface IWorkItem {
  readonly id: RequestId;
  readonly account: AccountName;
  /** Higher goes first; 0 to 9. */
  readonly priority: number;
  readonly promptTokens: number;
  /** The most tokens the answer may have. */
  readonly askedTokens: number;
  /** Whether it is a plain call, answered at once and not in tokens. */
  readonly isCall: boolean;
  /** Equal for prompts that begin alike; empty when not known. */
  readonly prefix: string;
  readonly arrivedAt: MonotonicTime;
  /** When the answer is worth nothing any more. */
  readonly deadline: MonotonicTime;
}

/** Estimated cost of work in generated tokens. */
export function costOf(work: IWorkItem): number {
  return work.askedTokens + work.promptTokens * PROMPT_TOKEN_COST;
}

/** Whether work holds its slot for long. */
export function isLong(work: IWorkItem): boolean {
  return work.askedTokens >= LONG_WORK_TOKENS;
}
