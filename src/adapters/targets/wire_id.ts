/**
 * Generates a unique id for each time that a request is sent to a target. Two
 * callers may use the same request id, and a request may be sent twice. With
 * the caller's id alone, a late or misrouted answer would match the awaited id,
 * and a caller could get another's answer or a part of an earlier one.
 */
import { randomUUID } from "node:crypto";
import type { RequestId } from "../../common/types.ts";

/** Separates the caller's request id from the unique suffix. */
const SEPARATOR = "~";

/** Generates ids that are unique across all processes. */
export class WireIdGenerator {
  readonly #process = randomUUID();
  #count = 0;

  /** Returns a new id for sending a request. */
  next(requestId: RequestId): string {
    this.#count += 1;
    return `${requestId}${SEPARATOR}${this.#process}-${this.#count}`;
  }
}

/** Extracts the caller's request id. */
export function requestIdOf(wireId: string): RequestId {
  const end = wireId.lastIndexOf(SEPARATOR);
  return end < 0 ? wireId : wireId.slice(0, end);
}
