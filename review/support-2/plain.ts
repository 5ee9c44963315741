/** A runner of a plain service that follows the users' pages. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import type { Store } from "./store.ts";

/** Milliseconds between two heartbeats in the store. */
const HEARTBEAT = 1_200;

/** A request that began to run. */
export interface IPlainRun {
  readonly at: number;
  readonly runner: string;
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly length: number;
}

/** One runner of a plain service. */
export class PlainRunner {
  readonly id: string;
  readonly service: string;
  address = "";
  readonly runs: IPlainRun[] = [];
  /** Milliseconds that a request runs for. */
  runTime = 20;
  readonly #log: (text: string) => void;
  readonly #server: Server;
  readonly #born = Date.now();
  #timer: NodeJS.Timeout | null = null;
  #list: () => void = () => undefined;
  #state = "ready";

  constructor(id: string, service: string, log: (text: string) => void) {
    this.id = id;
    this.service = service;
    this.#log = log;
    const options = { keepAliveTimeout: 20_000, maxHeaderSize: 131_072 };
    this.#server = createServer(options, (request, response) => {
      void this.#handle(request, response);
    });
  }

  async listen(store: Store): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = this.#server.address() as { readonly port: number };
    this.address = `127.0.0.1:${port}`;
    this.#list = () =>
      void store.put("servers", this.id, {
        service: this.service,
        address: this.address,
        zone: "north-a",
        version: "v1",
        slots: 6,
        state: this.#state,
        coldLeftMs: 0,
        born: this.#born,
        seqNo: Math.floor(performance.now()),
      });
    this.#list();
    this.#timer = setInterval(() => this.#list(), HEARTBEAT);
  }

  /** Reports that it leaves, and serves on; the store has accepted it then. */
  drain(): void {
    this.#state = "draining";
    this.#list();
  }

  close(): void {
    if (this.#timer !== null) {
      clearInterval(this.#timer);
    }
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let length = 0;
    for await (const piece of request as AsyncIterable<Buffer>) {
      length += piece.length;
    }
    const { headers, method = "", url: path = "" } = request;
    const attempt = headers["x-attempt-id"];
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id }).end();
      return;
    }
    if (typeof attempt !== "string") {
      response.writeHead(400, { "x-not-executed": "1" }).end();
      return;
    }
    const at = performance.now();
    const run = { at, runner: this.id, attempt, method, path, headers, length };
    this.runs.push(run);
    this.#log(`${this.id} run ${attempt} ${method} ${path}`);
    setTimeout(() => {
      response.writeHead(200, {
        "x-attempt-id": attempt,
        "x-response-stamp": `${this.id}.${this.runs.length}`,
        "x-server-load": "1,0,6",
      });
      response.end(`answer to ${attempt}`);
    }, this.runTime);
  }
}
