/** Clients that send without regard for limits, and may read no answers. */
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Milliseconds between two looks at a crowd's progress. */
const POLL_INTERVAL = 50;

/** Looks without progress after which a crowd holds on and sends no more. */
const STILL_POLLS = 20;

/** Looks after which a crowd that still sends is left to do so. */
const MAXIMUM_POLLS = 600;

/** Bytes of an answer that are kept. */
const KEPT_ANSWER = 1_024;

const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) /;

/** How the clients of a crowd behave. */
export interface ICrowdPlan {
  readonly address: string;
  readonly clients: number;
  /** What each client writes, in order. */
  readonly pieces: (client: number) => Iterable<Buffer>;
  readonly readsAnswers: boolean;
  /** How often a client returns whose connection was closed; 0 by default. */
  readonly returns?: number;
}

/** One connection. */
class CrowdClient {
  readonly #socket: Socket;
  /** Resolves once the connection is closed. */
  readonly closed: Promise<void>;
  #answer = "";
  #isClosed = false;

  constructor(address: string, readsAnswers: boolean) {
    const [host = "", port = ""] = address.split(":");
    this.#socket = connect(Number(port), host);
    this.#socket.on("error", () => this.#socket.destroy());
    this.closed = new Promise((resolve) => {
      this.#socket.once("close", () => {
        this.#isClosed = true;
        resolve();
      });
    });
    if (readsAnswers) {
      this.#socket.on("data", (bytes: Buffer) => this.#keep(bytes));
    }
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Bytes that the system has taken. */
  get sent(): number {
    return this.#socket.bytesWritten - this.#socket.writableLength;
  }

  /** Status of the first answer; null if none was read. */
  get status(): number | null {
    const [, status] = STATUS_LINE.exec(this.#answer) ?? [];
    return status === undefined ? null : Number(status);
  }

  async send(pieces: Iterable<Buffer>): Promise<void> {
    for (const piece of pieces) {
      if (this.#isClosed || this.#socket.destroyed) {
        return;
      }
      if (!this.#socket.write(piece)) {
        // Fails once the connection is closed.
        const drained = once(this.#socket, "drain").catch(() => undefined);
        await Promise.race([drained, this.closed]);
      }
    }
  }

  close(): void {
    this.#socket.destroy();
  }

  #keep(bytes: Buffer): void {
    if (this.#answer.length < KEPT_ANSWER) {
      this.#answer += bytes.toString("latin1");
    }
  }
}

/** Clients that begin together and stay until the crowd is disposed of. */
export class ClientCrowd implements Disposable {
  readonly #plan: ICrowdPlan;
  readonly #clients: CrowdClient[] = [];
  #isDisposed = false;

  constructor(plan: ICrowdPlan) {
    this.#plan = plan;
    for (let client = 0; client < plan.clients; client += 1) {
      void this.#run(client);
    }
  }

  /** Statuses of the first answers that were read. */
  get statuses(): readonly number[] {
    return this.#clients
      .map(({ status }) => status)
      .filter((status) => status !== null);
  }

  /** Waits until no client sends more or is closed. */
  async settle(): Promise<void> {
    let seen = "";
    let still = 0;
    for (let poll = 0; poll < MAXIMUM_POLLS && still < STILL_POLLS; poll++) {
      await sleep(POLL_INTERVAL);
      const sent = this.#clients.reduce((sum, one) => sum + one.sent, 0);
      const closed = this.#clients.filter(({ isClosed }) => isClosed).length;
      const progress = `${sent} ${closed}`;
      still = progress === seen ? still + 1 : 0;
      seen = progress;
    }
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    this.#clients.forEach((one) => one.close());
  }

  async #run(index: number): Promise<void> {
    const { address, pieces, readsAnswers, returns = 0 } = this.#plan;
    for (let come = 0; come <= returns && !this.#isDisposed; come += 1) {
      const client = new CrowdClient(address, readsAnswers);
      this.#clients.push(client);
      await client.send(pieces(index));
      await client.closed;
    }
  }
}

/** The head of a request, without its last blank line if it is incomplete. */
export function requestHead(
  line: string,
  headers: Readonly<Record<string, string | number>>,
): Buffer {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return Buffer.from(`${[line, ...lines].join("\r\n")}\r\n\r\n`);
}

/** A head and what follows it. */
export function* requestWith(
  head: Buffer,
  ...bodies: readonly Iterable<Buffer>[]
): Iterable<Buffer> {
  yield head;
  for (const body of bodies) {
    yield* body;
  }
}

/** Bytes of one piece that is written at once. */
const PIECE_LENGTH = 65_536;

/** A body's bytes without chunks. */
export function* plainBody(length: number): Iterable<Buffer> {
  const piece = Buffer.alloc(PIECE_LENGTH, "x");
  for (let left = length; left > 0; left -= PIECE_LENGTH) {
    yield left < PIECE_LENGTH ? piece.subarray(0, left) : piece;
  }
}

/** Chunks of a body, without the last one of length zero. */
export function* chunkedBody(
  length: number,
  chunkLength: number,
): Iterable<Buffer> {
  const chunk = encodeChunk(chunkLength);
  const count = Math.floor(length / chunkLength);
  const perPiece = Math.max(1, Math.floor(PIECE_LENGTH / chunk.length));
  const piece = Buffer.concat(Array.from({ length: perPiece }, () => chunk));
  for (let left = count; left > 0; left -= perPiece) {
    yield left < perPiece ? piece.subarray(0, left * chunk.length) : piece;
  }
  const rest = length - count * chunkLength;
  if (rest > 0) {
    yield encodeChunk(rest);
  }
}

/** Ends a body of chunks. */
export const LAST_CHUNK = Buffer.from("0\r\n\r\n");

function encodeChunk(length: number): Buffer {
  return Buffer.from(`${length.toString(16)}\r\n${"x".repeat(length)}\r\n`);
}

/** The same bytes again and again. */
export function* repeated(bytes: Buffer, count: number): Iterable<Buffer> {
  const perPiece = Math.max(1, Math.floor(PIECE_LENGTH / bytes.length));
  const piece = Buffer.concat(Array.from({ length: perPiece }, () => bytes));
  for (let left = count; left > 0; left -= perPiece) {
    yield left < perPiece ? piece.subarray(0, left * bytes.length) : piece;
  }
}
