/**
 * Bounds the memory of answers that a process keeps. A target in trouble may
 * write without end, and a bound on each answer alone does not bound their sum:
 * the process would end, and with it all calls that it serves.
 */
import type { IDisposable } from "../disposable.ts";
import { AnswerBound } from "./answer_bounds.ts";
import { BytePieces } from "./byte_pieces.ts";

/** Bytes of one answer; a longer one is broken. */
export const LONGEST_ANSWER = 8_388_608;

/**
 * Share of the process's memory that all answers may take, beyond the shares
 * that are always granted.
 */
const SHARE_OF_MEMORY = 0.18;

const BYTES_A_MEGABYTE = 1_048_576;

/** Megabytes of the platform's smallest instances. */
const SMALLEST_MEMORY = 350;

/**
 * Bytes that any answer may take, so that long ones do not displace it: 16 KB of
 * content, and what its pieces take beyond that.
 */
const SMALL_ANSWER = 20_480;

/** Bytes that the longest answer may take, with those of its pieces. */
const LONGEST_KEPT = LONGEST_ANSWER * 1.125;

/** The memory of all answers of one process. */
export class AnswerMemory {
  /** Bytes. */
  readonly #total: number;
  /** Those of answers that may be discarded. */
  readonly #evictable = new Set<AnswerShare>();
  readonly #onEvicted: () => void;
  #used = 0;
  #pieces = 0;

  /**
   * @param memory - megabytes that the process may take
   * @param onEvicted - called with each answer that is discarded for others
   */
  constructor(
    memory = SMALLEST_MEMORY,
    onEvicted: () => void = () => undefined,
  ) {
    this.#total = memory * BYTES_A_MEGABYTE * SHARE_OF_MEMORY;
    this.#onEvicted = onEvicted;
  }

  /** Bytes that are kept at present. */
  get used(): number {
    return this.#used;
  }

  /** Pieces in which answers are kept at present. */
  get pieces(): number {
    return this.#pieces;
  }

  /** Counts pieces that are kept from now on, or no longer if negative. */
  addPieces(count: number): void {
    this.#pieces += count;
  }

  /**
   * @param evict - discards the answer, to make room for others that are not
   *   larger; an answer without it is kept
   */
  createShare(evict: (() => void) | null = null): AnswerShare {
    const share: AnswerShare = new AnswerShare({
      evict: evict ?? (() => undefined),
      request: (bytes) => {
        const isGranted = this.#makeRoom(share, bytes);
        if (isGranted) {
          this.#used += bytes - share.kept;
          this.#setEvictable(share, evict !== null && bytes > 0);
        }
        return isGranted;
      },
    });
    return share;
  }

  #setEvictable(share: AnswerShare, isEvictable: boolean): void {
    if (isEvictable) {
      this.#evictable.add(share);
    } else {
      this.#evictable.delete(share);
    }
  }

  /** Returns false if an answer is too long, or there is no room for it. */
  #makeRoom(share: AnswerShare, bytes: number): boolean {
    if (bytes <= Math.max(SMALL_ANSWER, share.kept)) {
      return true;
    }
    if (bytes > LONGEST_KEPT) {
      return false;
    }
    while (this.#used + bytes - share.kept > this.#total) {
      const largest = this.#findLargest(share, bytes);
      if (largest === null) {
        return false;
      }
      largest.evict();
      this.#onEvicted();
    }
    return true;
  }

  #findLargest(exempt: AnswerShare, minimum: number): AnswerShare | null {
    let found: AnswerShare | null = null;
    for (const share of this.#evictable) {
      const isLarger = share.kept > (found?.kept ?? 0);
      if (share !== exempt && share.kept >= minimum && isLarger) {
        found = share;
      }
    }
    return found;
  }
}

/** What one answer takes, until it is disposed of. */
export class AnswerShare implements IDisposable {
  readonly #parts: {
    readonly evict: () => void;
    readonly request: (bytes: number) => boolean;
  };
  #kept = 0;

  constructor(parts: {
    readonly evict: () => void;
    /** Grants a number of bytes in place of those kept. */
    readonly request: (bytes: number) => boolean;
  }) {
    this.#parts = parts;
  }

  /** Bytes. */
  get kept(): number {
    return this.#kept;
  }

  /** Returns false, and changes nothing, if the bytes are too many. */
  resize(bytes: number): boolean {
    const isGranted = this.#parts.request(bytes);
    this.#kept = isGranted ? bytes : this.#kept;
    return isGranted;
  }

  /** Discards the answer to make room for others. */
  evict(): void {
    this.dispose();
    this.#parts.evict();
  }

  dispose(): void {
    this.resize(0);
  }
}

/** A body that is kept until it is complete. */
export class AnswerBuffer implements IDisposable {
  readonly #memory: AnswerMemory;
  readonly #share: AnswerShare;
  readonly #limit: number;
  readonly #pieces: BytePieces;
  #exceeded = AnswerBound.Length;

  /** @param limit - bytes of the longest body */
  constructor(memory: AnswerMemory, limit = LONGEST_ANSWER) {
    this.#memory = memory;
    this.#limit = limit;
    const share = memory.createShare();
    this.#share = share;
    this.#pieces = new BytePieces((bytes) => share.resize(share.kept + bytes));
  }

  get chunks(): readonly Uint8Array[] {
    return this.#pieces.chunks;
  }

  /** Bytes. */
  get length(): number {
    return this.#pieces.length;
  }

  /** What the body exceeds, once {@link push} has returned false. */
  get exceeded(): AnswerBound {
    return this.#exceeded;
  }

  /** Returns false, and keeps nothing more, if the body is too long. */
  push(bytes: Uint8Array): boolean {
    if (this.length + bytes.length > this.#limit) {
      this.#exceeded = AnswerBound.Length;
      return false;
    }
    this.#exceeded = AnswerBound.Memory;
    const before = this.#pieces.count;
    const isAdded = this.#pieces.add(bytes);
    this.#memory.addPieces(this.#pieces.count - before);
    return isAdded;
  }

  /** Returns the whole body. */
  join(): Uint8Array {
    return this.#pieces.join();
  }

  dispose(): void {
    this.#memory.addPieces(-this.#pieces.count);
    this.#pieces.clear();
    this.#share.dispose();
  }
}
