/**
 * Counts the targets that have crashed under each request, over all attempts of
 * its caller. Each attempt has an id of its own and may come to another process,
 * so without a count of them together one request ends targets for as long as
 * its caller repeats it.
 */
import type { MonotonicTime, ServiceName } from "../types.ts";
import type { IPromptedCall, IRequestCrash } from "./types.ts";

/** Targets that may crash under one request; it is sent to no further one. */
export const MAXIMUM_REQUEST_CRASHES = 3;

/** Milliseconds for which a crash is counted. */
const CRASH_LIFETIME = 600_000;

/** Requests whose crashes are remembered; the oldest is forgotten first. */
const MAXIMUM_REQUESTS = 10_000;

interface IRequestEntry {
  readonly service: ServiceName;
  readonly fingerprint: string;
  /** When each target crashed, by target and start. */
  readonly crashes: Map<string, IRequestCrash & { readonly at: MonotonicTime }>;
}

/** The crashes under requests that one process knows of. */
export class CrashingRequests {
  readonly #entries = new Map<string, IRequestEntry>();

  /** Returns whether the crash was not known. */
  record(crash: IRequestCrash, now: MonotonicTime): boolean {
    const { service, fingerprint, target, startedAt, age } = crash;
    if (age > CRASH_LIFETIME) {
      return false;
    }
    const key = requestKey(service, fingerprint);
    const entry = this.#entries.get(key) ?? {
      ...{ service, fingerprint, crashes: new Map() },
    };
    const crashKey = `${target} ${startedAt}`;
    if (entry.crashes.has(crashKey)) {
      return false;
    }
    entry.crashes.set(crashKey, { ...crash, at: now - age });
    // Set again, so that recent requests are the last to be forgotten.
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    for (const oldest of this.#entries.keys()) {
      if (this.#entries.size <= MAXIMUM_REQUESTS) {
        break;
      }
      this.#entries.delete(oldest);
    }
    return true;
  }

  /** Forgets the crashes under a request that an answer has proved harmless. */
  recordProof({ service, fingerprint }: IPromptedCall): void {
    if (fingerprint !== null) {
      this.#entries.delete(requestKey(service, fingerprint));
    }
  }

  /** Targets that have crashed under a request. */
  count({ service, fingerprint }: IPromptedCall, now: MonotonicTime): number {
    if (fingerprint === null || this.#entries.size === 0) {
      return 0;
    }
    const key = requestKey(service, fingerprint);
    const entry = this.#entries.get(key);
    if (entry === undefined) {
      return 0;
    }
    for (const [crashKey, { at }] of entry.crashes) {
      if (now - at > CRASH_LIFETIME) {
        entry.crashes.delete(crashKey);
      }
    }
    if (entry.crashes.size === 0) {
      this.#entries.delete(key);
    }
    return entry.crashes.size;
  }

  /** All crashes, with their ages. */
  all(now: MonotonicTime): readonly IRequestCrash[] {
    return [...this.#entries.values()].flatMap(({ crashes }) =>
      [...crashes.values()]
        .filter(({ at }) => now - at <= CRASH_LIFETIME)
        .map(({ at, ...crash }) => ({ ...crash, age: now - at })),
    );
  }
}

function requestKey(service: ServiceName, fingerprint: string): string {
  return `${service} ${fingerprint}`;
}
