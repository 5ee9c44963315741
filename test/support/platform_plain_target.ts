/** A target of a plain service that speaks the users' platform's protocol. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { performance } from "node:perf_hooks";
import { listenOn } from "../../src/adapters/listen.ts";
import type { IArrival } from "./leaving_callers.ts";
import type { PlatformStore } from "./platform_store.ts";

/** Answers each request, by default at once, and records those that it ran. */
export class PlatformPlainTarget {
  readonly id: string;
  address = "";
  /** Ids of the attempts that it ran. */
  readonly runs: string[] = [];
  /** The same attempts, and when they arrived. */
  readonly timedArrivals: IArrival[] = [];
  /** Milliseconds that a request runs. */
  runTime = 0;
  readonly #service: string;
  readonly #server: Server;

  constructor(id: string, service: string) {
    this.id = id;
    this.#service = service;
    this.#server = createServer((request, response) => {
      request.resume();
      const attempt = request.headers["x-attempt-id"];
      if (attempt === undefined) {
        response.writeHead(400, { "x-not-executed": "1" }).end();
        return;
      }
      const id = String(attempt);
      this.runs.push(id);
      this.timedArrivals.push({ id, at: performance.now() });
      setTimeout(() => {
        response.writeHead(200, {
          "x-attempt-id": String(attempt),
          "x-response-stamp": this.id,
        });
        response.end("done");
      }, this.runTime);
    });
  }

  async listen(store: PlatformStore): Promise<void> {
    this.address = await listenOn(this.#server, "127.0.0.1:0");
    store.put("servers", this.id, {
      service: this.#service,
      address: this.address,
      zone: "north-a",
      version: "v1",
      slots: 6,
      state: "ready",
      born: 1,
      seqNo: 1,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}
