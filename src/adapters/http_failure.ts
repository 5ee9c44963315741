/** Classifies failed HTTP calls by whether the other side may have acted. */
import { CallFailureKind } from "../common/types.ts";
import type { ICallFailure } from "../common/types.ts";

/** Errors that occur before any byte of the request is written. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * @param attempted - the operation and its address, for the failure's detail
 * @param error - the error thrown by the HTTP library
 */
export function callFailureOf(attempted: string, error: unknown): ICallFailure {
  const code = codeOf(error);
  const kind = NOT_SENT_CODES.has(code)
    ? CallFailureKind.NotSent
    : CallFailureKind.Unknown;
  const message = error instanceof Error ? error.message : String(error);
  return { kind, detail: `${attempted}: ${code} ${message}` };
}

/** Errors of open connections that stayed silent for too long. */
const RESPONSE_TIMEOUT_CODES: ReadonlySet<string> = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
  "TIME_LIMIT",
]);

/** Whether a call timed out on a connection that seemed open. */
export function isResponseTimeout(error: unknown): boolean {
  return RESPONSE_TIMEOUT_CODES.has(codeOf(error));
}

function codeOf(error: unknown): string {
  if (typeof error === "object" && error !== null && "code" in error) {
    return String(error.code);
  }
  return error instanceof Error ? error.name : "";
}
