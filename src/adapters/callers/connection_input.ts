/**
 * Passes what a connection receives to the parser of its server, a few requests
 * at a time. A caller may send requests ahead and read no answers; the parser
 * turns all that was read at once into requests, each of which takes far more
 * memory than its bytes.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { IScheduledInput, InputSchedule } from "../input_schedule.ts";

/** Unanswered requests of a connection; further ones wait in it. */
const MAXIMUM_UNANSWERED = 2;

/** Bytes that the parser gets at once. */
const PIECE_LENGTH = 16_384;

/** Bytes of memory that each byte of an incomplete head takes. */
const HEAD_FACTOR = 8;

/** The parser accepts lines with and without a carriage return. */
const HEAD_ENDS = ["\n\r\n", "\n\n"];

/** The input of one connection. */
export class ConnectionInput implements IScheduledInput {
  readonly #socket: Socket;
  readonly #schedule: InputSchedule;
  readonly #onSizeChanged: (bytes: number) => void;
  readonly #parse: (piece: Buffer) => void;
  /** Received and not parsed yet. */
  #held: Buffer | null = null;
  /** Bytes of a head that is not complete. */
  #headLength = 0;
  #size = 0;
  #requests = 0;
  #unanswered = 0;
  /** The request whose head was parsed last. */
  #last: IncomingMessage | null = null;
  /** The server reads no more until its answers are written. */
  #isPausedByServer = false;

  /**
   * @param socket - a connection that its server has begun to read
   * @param onSizeChanged - told the bytes that unparsed input takes
   */
  constructor(
    socket: Socket,
    parts: {
      readonly schedule: InputSchedule;
      readonly onSizeChanged: (bytes: number) => void;
    },
  ) {
    this.#socket = socket;
    this.#schedule = parts.schedule;
    this.#onSizeChanged = parts.onSizeChanged;
    const listeners = socket.listeners("data");
    const [parse] = listeners as ((piece: Buffer) => void)[];
    if (parse === undefined || listeners.length !== 1) {
      throw new Error("read a connection: its server does not parse it");
    }
    this.#parse = parse;
    socket.off("data", parse);
    socket.on("data", (piece: Buffer) => this.#receive(piece));
    socket.on("resume", () => this.#handleResume());
    socket.once("close", () => this.#close());
  }

  /** Counts a request of this connection until it is answered. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#last = request;
    this.#requests += 1;
    this.#unanswered += 1;
    response.once("close", () => {
      this.#unanswered -= 1;
      this.#readOn();
    });
  }

  readPiece(): boolean {
    if (!this.#canRead) {
      return false;
    }
    this.#socket.resume();
    this.#parseNext();
    this.#isPausedByServer = this.#socket.isPaused();
    if (this.#held !== null) {
      this.#socket.pause();
    }
    this.#updateSize();
    return this.#canRead;
  }

  get #canRead(): boolean {
    return (
      this.#held !== null &&
      !this.#socket.destroyed &&
      this.#unanswered < MAXIMUM_UNANSWERED &&
      !this.#isPausedByServer
    );
  }

  #receive(piece: Buffer): void {
    this.#held =
      this.#held === null ? piece : Buffer.concat([this.#held, piece]);
    this.#readOn();
    if (this.#held !== null) {
      this.#socket.pause();
      this.#updateSize();
    }
  }

  /** The server resumes a connection whatever is held here. */
  #handleResume(): void {
    if (this.#socket.isPaused()) {
      return;
    }
    this.#isPausedByServer = false;
    if (this.#held !== null) {
      this.#socket.pause();
      this.#readOn();
    }
  }

  #readOn(): void {
    if (this.#canRead) {
      this.#schedule.add(this);
    }
  }

  #parseNext(): void {
    const held = this.#held ?? Buffer.alloc(0);
    const length = this.#nextLength(held);
    const piece = held.subarray(0, length);
    this.#held = length < held.length ? held.subarray(length) : null;
    const before = this.#requests;
    const wasWithinBody = this.#isWithinBody;
    this.#parse(piece);
    if (this.#requests !== before) {
      this.#headLength = this.#restAfterLast(piece);
    } else if (wasWithinBody) {
      this.#headLength = 0;
    } else {
      this.#headLength += piece.length;
    }
  }

  get #isWithinBody(): boolean {
    return this.#last !== null && !this.#last.complete;
  }

  /** Bytes of the next head that follow the last request of a piece. */
  #restAfterLast(piece: Buffer): number {
    if (this.#last === null || this.#isWithinBody) {
      return 0;
    }
    const body = Number(this.#last.headers["content-length"] ?? 0);
    return Math.max(0, piece.length - lastHeadEnd(piece) - body);
  }

  /** Bytes with as many heads as requests may be unanswered. */
  #nextLength(held: Buffer): number {
    const limit = Math.min(held.length, PIECE_LENGTH);
    let end = 0;
    for (let count = this.#unanswered; count < MAXIMUM_UNANSWERED; count += 1) {
      end = nextHeadEnd(held, end);
      if (end >= limit) {
        return limit;
      }
    }
    return end;
  }

  #updateSize(): void {
    const held = this.#held?.buffer.byteLength ?? 0;
    const size = held + this.#headLength * HEAD_FACTOR;
    if (size !== this.#size) {
      this.#size = size;
      this.#onSizeChanged(size);
    }
  }

  #close(): void {
    this.#schedule.delete(this);
    this.#held = null;
    this.#headLength = 0;
    this.#updateSize();
  }
}

/** Where the next head may end; the length of the bytes if none does. */
function nextHeadEnd(bytes: Buffer, start: number): number {
  const ends = HEAD_ENDS.map((text) => {
    const found = bytes.indexOf(text, start);
    return found < 0 ? bytes.length : found + text.length;
  });
  return Math.min(...ends);
}

/** Where the last head or the last chunk may end; 0 if none does. */
function lastHeadEnd(bytes: Buffer): number {
  const ends = HEAD_ENDS.map((text) => {
    const found = bytes.lastIndexOf(text);
    return found < 0 ? 0 : found + text.length;
  });
  return Math.max(...ends);
}
