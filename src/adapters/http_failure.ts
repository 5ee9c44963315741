/** Tells from a failed HTTP call whether the other side can have acted. */
import { CallFailureKind } from "../common/types.ts";
import type { ICallFailure } from "../common/types.ts";

/** Errors that come before a byte of the request is written. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * @param attempted - what was tried, on what
 * @param error - what the HTTP library threw
 */
export function failureOf(attempted: string, error: unknown): ICallFailure {
  const code = codeOf(error);
  const kind = NOT_SENT_CODES.has(code)
    ? CallFailureKind.NotSent
    : CallFailureKind.Unknown;
  const message = error instanceof Error ? error.message : String(error);
  return { kind, detail: `${attempted}: ${code} ${message}` };
}

function codeOf(error: unknown): string {
  if (typeof error === "object" && error !== null && "code" in error) {
    return String(error.code);
  }
  return error instanceof Error ? error.name : "";
}
