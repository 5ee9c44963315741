/** A caller that sends requests on one connection without waiting for answers. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { Path } from "./entry_fleet.ts";

/** Matches the status line of an answer, which begins a line or the text. */
const STATUS_LINE = /HTTP\/1\.1 (\d{3}) /g;

/** A request that is sent ahead. */
export interface ISentAhead {
  readonly id: string;
  readonly path: Path;
  /** Empty by default. */
  readonly body?: string;
}

/** One connection of a caller. */
export class PipeliningCaller {
  readonly #socket: Socket;
  #text = "";
  /** Resolves when the connection has ended, however. */
  readonly closed: Promise<void>;

  constructor(address: string) {
    const [host = "", port = ""] = address.split(":");
    this.#socket = connect({ host, port: Number(port) });
    this.#socket.on("data", (bytes) => (this.#text += bytes.toString()));
    this.#socket.on("error", () => this.#socket.destroy());
    this.closed = new Promise((resolve) => {
      this.#socket.once("close", () => resolve());
    });
  }

  /** What was received so far. */
  get text(): string {
    return this.#text;
  }

  /** Statuses of the answers that have begun so far, in their order. */
  get statuses(): readonly number[] {
    const found = [...this.#text.matchAll(STATUS_LINE)];
    return found.map(([, status]) => Number(status));
  }

  /** Sends requests at once. */
  send(...calls: readonly ISentAhead[]): void {
    this.#socket.write(calls.map(writeCall).join(""));
  }

  [Symbol.dispose](): void {
    this.#socket.destroy();
  }
}

function writeCall({ id, path, body = "" }: ISentAhead): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    "host: news.example",
    "authorization: Bearer key-1",
    `x-attempt-id: ${id}`,
    "x-deadline-ms: 8000",
    `content-length: ${body.length}`,
    ...(path === Path.Stream
      ? ["x-model: small", "x-token-counts: 100,150"]
      : []),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
