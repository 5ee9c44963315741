/** Stands before a target or a store, and answers some requests in its place. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { request as send } from "undici";
import type { Dispatcher } from "undici";
import { listenOn } from "../../src/adapters/listen.ts";
import { writePieces } from "./endless_pieces.ts";
import type { IEndlessAnswer } from "./endless_pieces.ts";

/** Those that belong to the request, and not to its connection. */
const PASSED_HEADERS = new Set(["content-type", "if-match", "if-none-match"]);

/** Answers one request, whose body is given. */
export type FaultyAnswer = (response: ServerResponse, body: string) => void;

/** Passes requests on but for those whose answers are faulty. */
export class FaultyTarget {
  readonly #server: Server;
  /** `host:port` that other requests are passed on to. */
  target = "";
  /** Faulty answers, by the beginning of the requests' paths. */
  readonly faults = new Map<string, FaultyAnswer>();
  /** Requests that got a faulty answer. */
  faultyRequests = 0;

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#answer(request, response).catch(() => response.destroy());
    });
  }

  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { url = "", method = "GET", headers } = request;
    let body = "";
    for await (const chunk of request as AsyncIterable<Buffer>) {
      body += chunk.toString();
    }
    for (const [path, fault] of this.faults) {
      if (url.startsWith(path)) {
        this.faultyRequests += 1;
        fault(response, body);
        return;
      }
    }
    const passed = Object.entries(headers).filter(([name]) =>
      PASSED_HEADERS.has(name),
    );
    const answer = await send(`http://${this.target}${url}`, {
      method: method as Dispatcher.HttpMethod,
      headers: Object.fromEntries(passed),
      body: body === "" ? null : body,
    });
    response.writeHead(answer.statusCode, answer.headers);
    await pipeline(answer.body, response);
  }
}

/** Answers with the bytes of a pattern. */
export function piecesOf(answer: IEndlessAnswer): FaultyAnswer {
  return ({ socket }) => {
    if (socket !== null) {
      writePieces(socket, answer);
    }
  };
}
