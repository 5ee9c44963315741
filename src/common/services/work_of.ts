/** Estimates the cost of a request from its body. */
import type { IWorkItem } from "../decisions/work_item.ts";
import { ServiceKind } from "../types.ts";
import type { ICallerRequest } from "./types.ts";

/** Approximate characters of a prompt for each token. */
const CHARACTERS_PER_TOKEN = 4;

/** Leading characters that prompts must have in common to share a prefix. */
const PREFIX_CHARACTERS = 256;

/** Tokens an engine generates when the request sets no maximum. */
export const DEFAULT_MAXIMUM_TOKENS = 256;

/** Describes a request to the scheduler. */
export function workOf(request: ICallerRequest): IWorkItem {
  const { account, arrivedAt, deadline, requestId, service } = request;
  const isCall = service.kind === ServiceKind.Plain;
  const size = isCall ? CALL_SIZE : sizeOf(request.body);
  return {
    id: requestId,
    account: account.customer.account,
    priority: account.plan.priority,
    arrivedAt,
    deadline,
    isCall,
    ...size,
  };
}

/** A plain call counts as an answer of one token. */
const CALL_SIZE = { promptTokens: 0, requestedTokens: 1, prefix: "" };

function sizeOf(body: unknown) {
  const { prompt, maximum_tokens } = (body ?? {}) as Record<string, unknown>;
  const text = typeof prompt === "string" ? prompt : "";
  const hasMaximum = typeof maximum_tokens === "number" && maximum_tokens > 0;
  return {
    promptTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    requestedTokens: hasMaximum ? maximum_tokens : DEFAULT_MAXIMUM_TOKENS,
    prefix:
      text.length > PREFIX_CHARACTERS ? text.slice(0, PREFIX_CHARACTERS) : "",
  };
}
