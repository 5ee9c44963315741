/**
 * Names each sending of a request apart. Two callers may give their requests
 * the same id, and one request may be sent twice: an answer that comes late
 * or crossed would then name the id that is waited for, and a caller would get
 * another's answer or a piece of an earlier one.
 */
import { randomUUID } from "node:crypto";
import type { RequestId } from "../../common/types.ts";

/** Between the caller's id and what makes a sending unique. */
const SEPARATOR = "~";

/** Makes names that no other sending of any process has. */
export class WireIdGenerator {
  readonly #process = randomUUID();
  #sent = 0;

  /** The id under which a request is sent this time. */
  next(requestId: RequestId): string {
    this.#sent += 1;
    return `${requestId}${SEPARATOR}${this.#process}-${this.#sent}`;
  }
}

/** The caller's id in the id of a sending. */
export function requestIdOf(wireId: string): RequestId {
  const end = wireId.lastIndexOf(SEPARATOR);
  return end < 0 ? wireId : wireId.slice(0, end);
}
