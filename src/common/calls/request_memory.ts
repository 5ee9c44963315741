/**
 * Bounds the memory of requests that a process has received and not yet
 * answered. Each is within its own limit, but callers may send any number of
 * them, and may never complete them.
 */
import type { IDisposable } from "../disposable.ts";

/** Share of the process's memory that all requests may take. */
const SHARE_OF_MEMORY = 0.14;

/** Share of that which only small requests may take. */
const RESERVED_SHARE = 0.25;

/** Bytes up to which a request is small; prompts are mostly shorter. */
const SMALL_REQUEST = 32_768;

const BYTES_A_MEGABYTE = 1_048_576;

/** The memory of all requests of one process. */
export class RequestMemory {
  /** Bytes. */
  readonly #total: number;
  readonly #onEvicted: () => void;
  /** Those of incomplete requests, the oldest first. */
  readonly #evictable = new Set<RequestShare>();
  #used = 0;

  /**
   * @param memory - megabytes that the process may take
   * @param onEvicted - called with each request that is discarded
   */
  constructor(memory: number, onEvicted: () => void = () => undefined) {
    this.#total = memory * BYTES_A_MEGABYTE * SHARE_OF_MEMORY;
    this.#onEvicted = onEvicted;
  }

  /** Bytes that are kept at present. */
  get used(): number {
    return this.#used;
  }

  /** @param evict - discards the request, which has not run */
  createShare(evict: () => void): RequestShare {
    const share: RequestShare = new RequestShare({
      evict,
      request: (bytes) => this.#request(share, bytes),
      onComplete: () => this.#evictable.delete(share),
    });
    this.#evictable.add(share);
    return share;
  }

  #request(share: RequestShare, bytes: number): boolean {
    const added = bytes - share.bytes;
    if (added > 0 && !this.#makeRoom(share, bytes)) {
      return false;
    }
    this.#used += added;
    return true;
  }

  /** Evicts incomplete requests that take at least as much as this one. */
  #makeRoom(share: RequestShare, bytes: number): boolean {
    const isSmall = bytes <= SMALL_REQUEST;
    const limit = this.#total * (isSmall ? 1 : 1 - RESERVED_SHARE);
    const excess = () => this.#used + bytes - share.bytes - limit;
    while (excess() > 0) {
      const largest = this.#findLargest(share, bytes);
      if (largest === null) {
        break;
      }
      largest.evict();
      this.#onEvicted();
    }
    return excess() <= 0;
  }

  #findLargest(exempt: RequestShare, minimum: number): RequestShare | null {
    let found: RequestShare | null = null;
    for (const share of this.#evictable) {
      const isLarger = share.bytes > (found?.bytes ?? 0);
      if (share !== exempt && share.bytes >= minimum && isLarger) {
        found = share;
      }
    }
    return found;
  }
}

/** What one request takes, until it is disposed of. */
export class RequestShare implements IDisposable {
  readonly #parts: {
    readonly evict: () => void;
    readonly request: (bytes: number) => boolean;
    readonly onComplete: () => void;
  };
  #bytes = 0;
  #isDisposed = false;

  constructor(parts: {
    readonly evict: () => void;
    /** Grants a number of bytes in place of those kept. */
    readonly request: (bytes: number) => boolean;
    readonly onComplete: () => void;
  }) {
    this.#parts = parts;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Returns false, and changes nothing, if there is no room. */
  resize(bytes: number): boolean {
    const isGranted = !this.#isDisposed && this.#parts.request(bytes);
    this.#bytes = isGranted ? bytes : this.#bytes;
    return isGranted;
  }

  /** The request is complete: from now on it is not evicted. */
  complete(): void {
    this.#parts.onComplete();
  }

  /** Discards the request to make room for others. */
  evict(): void {
    this.dispose();
    this.#parts.evict();
  }

  dispose(): void {
    this.#parts.onComplete();
    this.resize(0);
    this.#isDisposed = true;
  }
}
