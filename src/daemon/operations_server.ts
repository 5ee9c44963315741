/** Serves status, readiness and metrics to operators and collectors. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { listenOn } from "../adapters/listen.ts";
import type { PrometheusMetrics } from "../adapters/metrics/prometheus_metrics.ts";

/** Provides a daemon's status and its burn report. */
export interface IStatusSource {
  status(): object;
  burn(): object;
  readonly isReady: boolean;
}

/** Serves `/status`, `/burn`, `/ready` and `/metrics`. */
export class OperationsServer {
  readonly #source: IStatusSource;
  readonly #metrics: PrometheusMetrics;
  readonly #server: Server;

  constructor(source: IStatusSource, metrics: PrometheusMetrics) {
    this.#source = source;
    this.#metrics = metrics;
    this.#server = createServer(
      (incoming, response) => void this.#serve(incoming, response),
    );
  }

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
    switch (incoming.url) {
      case "/status":
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(this.#source.status()));
        return;
      case "/burn":
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(this.#source.burn()));
        return;
      case "/ready":
        response.statusCode = this.#source.isReady ? 200 : 503;
        response.end();
        return;
      case "/metrics":
        response.setHeader("content-type", this.#metrics.contentType);
        response.end(await this.#metrics.expose());
        return;
      default:
        response.statusCode = 404;
        response.end();
    }
  }
}
