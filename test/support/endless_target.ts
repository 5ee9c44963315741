/** A target whose answers have no end. */
import type { Socket } from "node:net";
import { writeWithoutEnd } from "./endless_writer.ts";
import { RawTarget } from "./raw_target.ts";

/** Head of an answer that ends with its connection. */
export const OPEN_HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";

/** Head of an answer that is refused, and ends with its connection. */
export const FAILURE_HEAD = "HTTP/1.1 500 Internal Server Error\r\n\r\n";

/** A head that goes on. */
export const ENDLESS_HEAD = "HTTP/1.1 200 OK\r\nx-filler: ";

/** Bytes after which a test knows enough. */
const MOST_BYTES = 134_217_728;

/** Writes a beginning and then bytes for as long as they are read. */
export class EndlessTarget extends RawTarget {
  readonly #written: Set<Socket>;

  constructor(beginning: string) {
    const written = new Set<Socket>();
    super((_, socket) => {
      if (!written.has(socket)) {
        written.add(socket);
        socket.write(beginning);
        writeWithoutEnd(socket, MOST_BYTES);
      }
    });
    this.#written = written;
  }

  /** Bytes that its callers have read, or that are on their way. */
  get bytesSent(): number {
    return [...this.#written].reduce(
      (sum, { bytesWritten, writableLength }) =>
        sum + bytesWritten - writableLength,
      0,
    );
  }
}
