/**
 * Remembers requests that were answered whole. The same content cannot be the
 * reason for a crash, and many callers may send it: it must not be refused when
 * several targets with it end for other reasons.
 */
import type { MonotonicTime } from "../types.ts";

/** Requests remembered; the oldest is forgotten first. */
const MAXIMUM_REQUESTS = 4_096;

/** Milliseconds for which an answer counts. */
const LIFETIME = 600_000;

/** Requests that were answered lately, by their fingerprints. */
export class SoundRequests {
  readonly #answeredAt = new Map<string, MonotonicTime>();

  record(fingerprint: string, now: MonotonicTime): void {
    // Set again, so that recent requests are the last to be forgotten.
    this.#answeredAt.delete(fingerprint);
    this.#answeredAt.set(fingerprint, now);
    const [oldest] = this.#answeredAt.keys();
    if (this.#answeredAt.size > MAXIMUM_REQUESTS && oldest !== undefined) {
      this.#answeredAt.delete(oldest);
    }
  }

  has(fingerprint: string, now: MonotonicTime): boolean {
    const answeredAt = this.#answeredAt.get(fingerprint);
    return answeredAt !== undefined && now - answeredAt <= LIFETIME;
  }
}
