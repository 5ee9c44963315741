/**
 * What a connection to a target, the store or another process receives. The HTTP
 * client parses all that has arrived at once and reports only what belongs to an
 * answer; whoever writes without end, in small pieces or beside any answer,
 * would take the whole time of the process, and memory without a bound.
 */
import type { Socket } from "node:net";
import {
  AnswerBound,
  AnswerBoundError,
} from "../../common/calls/answer_bounds.ts";
import { AnswerBreak } from "../../common/calls/answer_breaks.ts";
import type { IBrokenAnswer } from "../../common/calls/answer_breaks.ts";
import type {
  AnswerMemory,
  AnswerShare,
} from "../../common/calls/answer_memory.ts";
import type { IScheduledInput, InputSchedule } from "../input_schedule.ts";
import { ConnectionEnd, UNREAD_CODE } from "./connection_end.ts";

/** Bytes that the parser gets at once. */
const PIECE_LENGTH = 8_192;

/** Bytes of an answer that are not content, beyond its share of these. */
const LONGEST_FRAMING = 24_576;

/** Bytes of framing that each byte of content may have, as in short chunks. */
const FRAMING_FACTOR = 16;

/** Bytes of memory that each byte of an incomplete head takes. */
const HEAD_FACTOR = 64;

/** Time that an answer takes while it counts as short, milliseconds. */
const SHORT_TIME = 2;

const RESET_CODE = "ECONNRESET";

/** How a connection ended, by the code of its error. */
const BREAKS: ReadonlyMap<unknown, AnswerBreak> = new Map([
  [RESET_CODE, AnswerBreak.Reset],
  ["EPIPE", AnswerBreak.Reset],
  ["UND_ERR_SOCKET", AnswerBreak.Close],
  [UNREAD_CODE, AnswerBreak.Unread],
]);

/** Where a connection's input is accounted for. */
export interface IAnswerInputParts {
  readonly schedule: InputSchedule;
  readonly memory: AnswerMemory;
  /** Called when the connection is closed for a bound. */
  readonly onExceeded: (bound: AnswerBound) => void;
  /** Called when an answer is broken off after its head. */
  readonly onBroken: (answer: Omit<IBrokenAnswer, "source">) => void;
}

/** The input of one connection, which carries one answer at a time. */
export class AnswerInput implements IScheduledInput {
  readonly #socket: Socket;
  readonly #parts: IAnswerInputParts;
  readonly #read: (size?: number) => Buffer | null;
  /** What the head takes that is not complete. */
  readonly #headShare: AnswerShare;
  /** Whether the schedule has called for the next piece. */
  #isCalled = false;
  /** When the parser got its last piece; null once that is parsed. */
  #pieceAt: number | null = null;
  /** Bytes received that are neither content nor allowed beside it. */
  #excess = 0;
  #isHeadOpen = true;
  /** Whether an answer is awaited; what arrives otherwise belongs to none. */
  #isAwaited = false;
  /** Milliseconds that the current answer has taken. */
  #taken = 0;
  /** Whether the parser waits until the content that it has passed on is read. */
  #isPaused = false;
  /** Whether the current answer has no length, and ends with the connection. */
  #endsWithConnection = false;
  /** Whether the other side has closed its direction. */
  #hasEnded = false;
  /** The end of the connection, while it is held from the parser. */
  #heldEnd: ConnectionEnd | null = null;
  /** Whether a bound was exceeded; what has arrived is not parsed any more. */
  #hasFailed = false;

  constructor(socket: Socket, parts: IAnswerInputParts) {
    this.#socket = socket;
    this.#parts = parts;
    this.#headShare = parts.memory.createShare(() =>
      this.#fail(AnswerBound.Memory),
    );
    // The HTTP client reads a socket until it is empty, and can be held up only
    // within the content of an answer; so its reads are answered here.
    this.#read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number) =>
      size === 0 ? this.#prepareRead() : this.#readNext();
    // Null is the end; no property of the socket shows it before it is read.
    const push = socket.push.bind(socket);
    socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
      this.#hasEnded ||= chunk === null;
      return push(chunk, encoding);
    };
    const destroy = socket.destroy.bind(socket);
    socket.destroy = (error?: Error) => {
      this.#recordBreak(error);
      return destroy(error === undefined ? undefined : brokenOffBy(error));
    };
    socket.once("close", () => this.#close());
  }

  /** A request is written, whose answer comes next. */
  recordStart(): void {
    this.#isAwaited = true;
    this.#taken = 0;
  }

  /**
   * The head of an answer is complete.
   *
   * @param hasLength - whether the answer has a length or chunks
   */
  recordHead(hasLength: boolean): void {
    this.#isHeadOpen = false;
    this.#endsWithConnection = !hasLength;
    this.#headShare.dispose();
  }

  /** @param length - bytes of content that have been parsed */
  recordContent(length: number): void {
    this.#excess -= length * (1 + FRAMING_FACTOR);
    this.#excess = Math.max(0, this.#excess);
  }

  /** An answer is complete; what follows belongs to the next one. */
  recordEnd(): void {
    this.#excess = 0;
    this.#isHeadOpen = true;
    this.#endsWithConnection = false;
    this.#isAwaited = false;
  }

  /**
   * Closes the connection once its answer has ended. Deferred, because the HTTP
   * client still uses it; it writes no other request before.
   */
  closeAfterAnswer(): void {
    queueMicrotask(() => this.#socket.destroy());
  }

  /** The parser waits until what it has passed on is read. */
  recordPause(): void {
    this.#isPaused = true;
  }

  recordResume(): void {
    this.#isPaused = false;
  }

  /** Has the parser read; it may read one piece. */
  readPiece(): boolean {
    this.#isCalled = true;
    this.#socket.emit("readable");
    const hasRead = !this.#isCalled;
    this.#isCalled = false;
    return hasRead && this.#socket.readableLength > 0;
  }

  /**
   * Has the socket receive more, or report its end. The parser cannot handle the
   * end while it is paused.
   */
  #prepareRead(): Buffer | null {
    const isEmpty = this.#socket.readableLength === 0;
    const isHeld = isEmpty && (this.#isPaused || this.#holdsEnd());
    return isHeld ? null : this.#read(0);
  }

  /** Whether the connection's end, which is next, is yet to be confirmed. */
  #holdsEnd(): boolean {
    if (!this.#hasEnded || !this.#endsWithConnection) {
      return false;
    }
    this.#heldEnd ??= new ConnectionEnd(this.#socket, () => {
      this.#endsWithConnection = false;
      this.#read(0);
    });
    return true;
  }

  /** Null if nothing has arrived, or until the schedule calls for it. */
  #readNext(): Buffer | null {
    this.#endPiece();
    if (this.#hasFailed) {
      return null;
    }
    const { readableLength, destroyed } = this.#socket;
    if (readableLength === 0 || destroyed) {
      return !destroyed && this.#holdsEnd() ? null : this.#read();
    }
    if (!this.#isCalled && !this.#mayRead) {
      return null;
    }
    this.#isCalled = false;
    const piece = this.#read(Math.min(readableLength, PIECE_LENGTH));
    if (piece !== null) {
      this.#excess += piece.length;
      this.#pieceAt = performance.now();
      queueMicrotask(() => this.#endPiece());
    }
    return piece;
  }

  /**
   * Whether the parser may have the next piece now. What arrived before a request
   * must be parsed before it is written, or it would be taken for its answer.
   */
  get #mayRead(): boolean {
    const isShort = this.#taken < SHORT_TIME;
    return !this.#isAwaited || this.#parts.schedule.tryRead(this, isShort);
  }

  /** The parser has parsed its last piece. */
  #endPiece(): void {
    if (this.#pieceAt === null) {
      return;
    }
    const time = performance.now() - this.#pieceAt;
    this.#parts.schedule.recordTime(this, time);
    this.#taken += time;
    this.#pieceAt = null;
    if (this.#excess > LONGEST_FRAMING) {
      this.#fail(AnswerBound.Framing);
    } else if (
      this.#isHeadOpen &&
      !this.#headShare.resize(this.#excess * HEAD_FACTOR)
    ) {
      this.#fail(AnswerBound.Memory);
    }
  }

  #fail(bound: AnswerBound): void {
    if (!this.#socket.destroyed) {
      this.#hasFailed = true;
      this.#parts.onExceeded(bound);
      this.#socket.destroy(new AnswerBoundError(bound));
    }
  }

  /** @param error - why the connection is destroyed */
  #recordBreak(error: Error | undefined): void {
    const isWithinAnswer = this.#isAwaited && !this.#isHeadOpen;
    const end = BREAKS.get(error && "code" in error && error.code);
    if (isWithinAnswer && end !== undefined && !this.#socket.destroyed) {
      const { bytesWritten, writableLength } = this.#socket;
      this.#parts.onBroken({
        end,
        hasLength: !this.#endsWithConnection,
        sent: bytesWritten - writableLength,
        unsent: writableLength,
      });
    }
  }

  #close(): void {
    this.#pieceAt = null;
    this.#parts.schedule.delete(this);
    this.#heldEnd?.dispose();
    this.#headShare.dispose();
  }
}

/**
 * The parser takes a reset for the end of an answer without a length, and cannot
 * handle it while it is paused; it handles other errors as a broken answer.
 */
function brokenOffBy(error: Error): Error {
  const isReset = "code" in error && error.code === RESET_CODE;
  return isReset ? new ConnectionResetError(error) : error;
}

/** The other side has reset the connection. */
class ConnectionResetError extends Error {
  readonly code = "CONNECTION_RESET";

  constructor(cause: Error) {
    super("the connection was reset", { cause });
  }
}
