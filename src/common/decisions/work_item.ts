/** A request as scheduling sees it: the account, its size and its deadline. */
import type { AccountName, MonotonicTime, RequestId } from "../types.ts";

/**
 * Cost of one prompt token, in generated tokens. Prefill is bound by compute
 * and generation by memory bandwidth, so a prompt token is far cheaper.
 */
export const PROMPT_TOKEN_COST = 0.05;

/** Requested tokens from which work counts as long. */
export const LONG_WORK_TOKENS = 256;

/** A request to be scheduled. */
export interface IWorkItem {
  readonly id: RequestId;
  readonly account: AccountName;
  /** Higher goes first; 0 to 9. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Maximum tokens of the answer. */
  readonly requestedTokens: number;
  /** Whether it is a plain call, answered at once and not as tokens. */
  readonly isCall: boolean;
  /** Equal for prompts with the same beginning; empty when unknown. */
  readonly prefix: string;
  readonly arrivedAt: MonotonicTime;
  /** When the answer becomes useless to the caller. */
  readonly deadline: MonotonicTime;
}

/** Estimated cost of work in generated tokens. */
export function costOf(work: IWorkItem): number {
  return work.requestedTokens + work.promptTokens * PROMPT_TOKEN_COST;
}

/** Whether work occupies its slot for a long time. */
export function isLong(work: IWorkItem): boolean {
  return work.requestedTokens >= LONG_WORK_TOKENS;
}
