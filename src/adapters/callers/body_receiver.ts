/** Receives the body of a request within the memory of all requests. */
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { BytePieces } from "../../common/calls/byte_pieces.ts";
import type { RequestShare } from "../../common/calls/request_memory.ts";

/** Why a body was not received. */
export enum BodyFailure {
  /** It exceeds the limit of one body. */
  TooLong = "too_long",
  /** The memory of all requests is taken. */
  NoRoom = "no_room",
  /** It was not complete in time. */
  TimedOut = "timed_out",
  /** The process stops. */
  Stopping = "stopping",
  /** The sender has disconnected. */
  SenderLeft = "sender_left",
}

type ReceivedBody = Result<Uint8Array, BodyFailure>;

/**
 * Receives one body. After a failure what else arrives is discarded, and the
 * connection is left open so that the sender can be answered.
 */
export class BodyReceiver {
  /** The whole body, or why there is none. */
  readonly result: Promise<ReceivedBody>;
  readonly #incoming: IncomingMessage;
  readonly #share: RequestShare;
  /** Bytes that the request takes without its body. */
  readonly #base: number;
  readonly #pieces: BytePieces;
  readonly #limit: number;
  #resolve: (result: ReceivedBody) => void = () => undefined;
  #isFinished = false;

  /**
   * @param limit - bytes of the longest body
   * @param share - what the request takes; the body is added to it
   */
  constructor(
    incoming: IncomingMessage,
    { limit, share }: { readonly limit: number; readonly share: RequestShare },
  ) {
    this.#incoming = incoming;
    this.#limit = limit;
    this.#share = share;
    this.#base = share.bytes;
    this.#pieces = new BytePieces((bytes) => share.resize(share.bytes + bytes));
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    const announced = Number(incoming.headers["content-length"] ?? 0);
    if (announced > limit) {
      this.fail(BodyFailure.TooLong);
      return;
    }
    incoming.on("data", this.#handleData).on("end", this.#handleEnd);
    incoming.on("error", this.#handleLeave).on("close", this.#handleLeave);
  }

  /** Whether nothing more is awaited. */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Gives the body up; does nothing once it is complete. */
  fail(failure: BodyFailure): void {
    if (!this.#isFinished) {
      this.#finish(Err(failure));
    }
  }

  readonly #handleData = (piece: Buffer) => {
    if (this.#pieces.length + piece.length > this.#limit) {
      this.fail(BodyFailure.TooLong);
    } else if (!this.#pieces.add(piece)) {
      this.fail(BodyFailure.NoRoom);
    }
  };

  readonly #handleEnd = () => {
    const body = this.#pieces.join();
    this.#share.resize(this.#base + body.byteLength);
    this.#finish(Ok(body));
  };

  readonly #handleLeave = () => {
    this.fail(BodyFailure.SenderLeft);
  };

  #finish(result: ReceivedBody): void {
    const incoming = this.#incoming;
    this.#isFinished = true;
    incoming.off("data", this.#handleData).off("end", this.#handleEnd);
    incoming.off("close", this.#handleLeave);
    this.#pieces.clear();
    if (result.isErr()) {
      incoming.resume();
    }
    this.#resolve(result);
  }
}
