/**
 * Writes the body of a response to whoever may read it slowly, or not at all.
 * A write to a connection takes far more memory than a few bytes, so there is
 * one at a time; what is written meanwhile is joined.
 */
import type { ServerResponse } from "node:http";
import type {
  AnswerMemory,
  AnswerShare,
} from "../../common/calls/answer_memory.ts";
import { BytePieces } from "../../common/calls/byte_pieces.ts";

/** The body of one response, and the memory that it takes until it is read. */
export class ResponseBody {
  readonly #response: ServerResponse;
  readonly #memory: AnswerMemory;
  readonly #unread: AnswerShare;
  /** What is written once the connection has taken what it has. */
  readonly #waiting = new BytePieces((bytes) => this.#grow(bytes));
  /** Bytes that these take. */
  #waitingSize = 0;
  #isScheduled = false;
  #isWriting = false;

  constructor(response: ServerResponse, memory: AnswerMemory) {
    this.#response = response;
    this.#memory = memory;
    this.#unread = memory.createShare(() => response.destroy());
    response.once("close", () => this.#discard());
  }

  /** Ends the connection if there is no room for what is not read. */
  write(bytes: Uint8Array): void {
    if (this.#response.destroyed) {
      return;
    }
    const before = this.#waiting.count;
    const isKept = this.#waiting.add(bytes);
    this.#memory.addPieces(this.#waiting.count - before);
    if (!isKept) {
      this.#response.destroy();
    } else if (!this.#isScheduled && !this.#isWriting) {
      this.#isScheduled = true;
      // Deferred, because more may be written in the same turn.
      queueMicrotask(() => {
        this.#isScheduled = false;
        this.#flush();
      });
    }
  }

  /** Completes the response. */
  end(): void {
    this.#flush();
    this.#response.end();
  }

  #grow(bytes: number): boolean {
    const size = this.#waitingSize + bytes;
    const isGranted = this.#unread.resize(this.#response.writableLength + size);
    this.#waitingSize = isGranted ? size : this.#waitingSize;
    return isGranted;
  }

  #flush(): void {
    if (this.#response.destroyed) {
      return;
    }
    const { chunks } = this.#waiting;
    const last = chunks.length - 1;
    this.#clearWaiting();
    chunks.forEach((chunk, index) => {
      this.#isWriting = true;
      this.#response.write(chunk, () => {
        if (index === last) {
          this.#isWriting = false;
          this.#flush();
        }
      });
    });
    this.#unread.resize(this.#response.writableLength);
  }

  #clearWaiting(): void {
    this.#memory.addPieces(-this.#waiting.count);
    this.#waiting.clear();
    this.#waitingSize = 0;
  }

  #discard(): void {
    this.#clearWaiting();
    this.#unread.dispose();
  }
}
