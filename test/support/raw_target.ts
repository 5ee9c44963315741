/** A target whose raw response bytes are written by the test. */
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { listenOn } from "../../src/adapters/listen.ts";

/** Called with each chunk received on a connection. */
export type RawDataHandler = (text: string, socket: Socket) => void;

/** Listens on a free port until it is disposed of. */
export class RawTarget {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** All bytes received, as text. */
  received = "";
  connections = 0;

  constructor(answer: RawDataHandler) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      // A caller that aborts resets the connection, which ends the exchange.
      socket.on("error", () => socket.destroy());
      socket.on("data", (bytes) => {
        const text = bytes.toString("latin1");
        this.received += text;
        answer(text, socket);
      });
    });
  }

  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }
}
