/**
 * Bounds the memory of answers that a process keeps. A target in trouble may
 * write without end, and a bound on each answer alone does not bound their sum:
 * the process would end, and with it all calls that it serves.
 */
import type { IDisposable } from "../disposable.ts";

/** Bytes of one answer; a longer one is broken. */
export const LONGEST_ANSWER = 8_388_608;

/** Bytes of all answers beyond the shares that are always granted. */
const TOTAL = 67_108_864;

/** Bytes that any answer may take, so that long ones do not displace it. */
const SMALL_ANSWER = 16_384;

/** The memory of all answers of one process. */
export class AnswerMemory {
  #used = 0;

  /** Bytes that are kept at present. */
  get used(): number {
    return this.#used;
  }

  createShare(): AnswerShare {
    return new AnswerShare((bytes, kept) => {
      const used = this.#used - kept + bytes;
      const isGranted =
        bytes <= Math.max(SMALL_ANSWER, kept) ||
        (bytes <= LONGEST_ANSWER && used <= TOTAL);
      if (isGranted) {
        this.#used = used;
      }
      return isGranted;
    });
  }
}

/** What one answer takes, until it is disposed of. */
export class AnswerShare implements IDisposable {
  readonly #request: (bytes: number, kept: number) => boolean;
  #kept = 0;

  /** @param request - grants a number of bytes in place of those kept */
  constructor(request: (bytes: number, kept: number) => boolean) {
    this.#request = request;
  }

  /** Returns false, and changes nothing, if the bytes are too many. */
  resize(bytes: number): boolean {
    const isGranted = this.#request(bytes, this.#kept);
    this.#kept = isGranted ? bytes : this.#kept;
    return isGranted;
  }

  dispose(): void {
    this.resize(0);
  }
}

/** A body that is kept until it is complete. */
export class AnswerBuffer implements IDisposable {
  readonly #share: AnswerShare;
  #chunks: Uint8Array[] = [];
  #length = 0;

  constructor(memory: AnswerMemory) {
    this.#share = memory.createShare();
  }

  get chunks(): readonly Uint8Array[] {
    return this.#chunks;
  }

  /** Bytes. */
  get length(): number {
    return this.#length;
  }

  /** Returns false, and keeps nothing more, if the body is too long. */
  push(bytes: Uint8Array): boolean {
    if (!this.#share.resize(this.#length + bytes.length)) {
      return false;
    }
    this.#length += bytes.length;
    this.#chunks.push(bytes);
    return true;
  }

  dispose(): void {
    this.#chunks = [];
    this.#length = 0;
    this.#share.dispose();
  }
}
