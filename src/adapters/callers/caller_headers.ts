/** Validates the headers of a caller's request. */
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";

/** Headers allowed only once: duplicates could contradict each other. */
const SINGLE_HEADERS: readonly string[] = [
  "authorization",
  "content-type",
  "idempotency-key",
  "x-request-id",
];

/** Printable characters without spaces, which are safe in a log line. */
const IDENTIFIER_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Printable characters; limited in length as it names a platform object. */
const KEY_PATTERN = /^[\x20-\x7e]{1,200}$/;

const JSON_TYPE = /^application\/json\s*(;|$)/i;

/** Validated values of the caller's headers. */
export interface ICallerHeaders {
  /** The idempotency key; null when absent. */
  readonly key: string | null;
}

/** The caller's id for its request; null when absent or invalid. */
export function callerRequestId(incoming: IncomingMessage): string | null {
  const id = readHeader(incoming, "x-request-id");
  return id !== null && IDENTIFIER_PATTERN.test(id) ? id : null;
}

/** Returns the validated headers, or all their errors. */
export function checkHeaders(
  incoming: IncomingMessage,
): Result<ICallerHeaders, string> {
  const findings = SINGLE_HEADERS.filter(
    (name) => (incoming.headersDistinct[name]?.length ?? 0) > 1,
  ).map((name) => `${name} comes more than once`);
  const id = readHeader(incoming, "x-request-id");
  if (id !== null && !IDENTIFIER_PATTERN.test(id)) {
    findings.push("x-request-id: expected 1 to 128 printable characters");
  }
  const key = readHeader(incoming, "idempotency-key");
  if (key !== null && !KEY_PATTERN.test(key)) {
    findings.push("idempotency-key: expected 1 to 200 printable characters");
  }
  const type = readHeader(incoming, "content-type");
  if (type !== null && !JSON_TYPE.test(type)) {
    findings.push("content-type: expected application/json");
  }
  return findings.length > 0 ? Err(findings.join("; ")) : Ok({ key });
}

function readHeader(incoming: IncomingMessage, name: string): string | null {
  const value = incoming.headers[name];
  return typeof value === "string" && value !== "" ? value : null;
}
