/** A small JSON-over-HTTP server shared by the stand-ins. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listenOn } from "../../adapters/listen.ts";
import { readBody } from "./read_body.ts";

/** Above the platform's limit, so that the object API checks that itself. */
const MAXIMUM_BODY_BYTES = 4_000_000;

const STATUS_UNAVAILABLE = 503;

/** Seconds for which overloaded stand-ins want no requests. */
export const OVERLOAD_RETRY_AFTER = 2;

/** A parsed request. */
export interface IJsonRequest {
  readonly method: string;
  /** Decoded segments of the path. */
  readonly parts: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage["headers"];
  readonly body: unknown;
  readonly response: ServerResponse;
}

export interface IJsonAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Answers one request; null if it wrote the response itself. */
export type JsonHandler = (
  request: IJsonRequest,
) => Promise<IJsonAnswer | null> | IJsonAnswer | null;

/** Passes the requests to all paths to one handler. */
export class JsonServer {
  readonly #handler: JsonHandler;
  readonly #server: Server;

  constructor(handler: JsonHandler) {
    this.#handler = handler;
    this.#server = createServer(
      (incoming, response) => void this.#serve(incoming, response),
    );
  }

  /** Listens on `host:port` and returns the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(incoming.url ?? "/", "http://stand-in");
    const parts = url.pathname.split("/").slice(1).map(decodeURIComponent);
    const body = await readBody(incoming, MAXIMUM_BODY_BYTES);
    const answer = body.isErr()
      ? { status: 400, body: { error: body.error.detail } }
      : await this.#handler({
          method: incoming.method ?? "GET",
          parts,
          query: url.searchParams,
          headers: incoming.headers,
          body: body.value.content,
          response,
        });
    if (answer !== null) {
      response.writeHead(answer.status, {
        ...answer.headers,
        "content-type": "application/json",
      });
      response.end(JSON.stringify(answer.body));
    }
  }
}

export function okAnswer(body: unknown): IJsonAnswer {
  return { status: 200, body };
}

/** An answer that says why the request was not carried out. */
export function errorAnswer(status: number, error: string): IJsonAnswer {
  return { status, body: { error } };
}

/**
 * Rejects a request because of overload.
 *
 * @param retryAfter - seconds for which the sender is to send no more
 */
export function overloadAnswer(retryAfter: number): IJsonAnswer {
  const headers = { "retry-after": String(retryAfter) };
  return { ...errorAnswer(STATUS_UNAVAILABLE, "overloaded"), headers };
}
