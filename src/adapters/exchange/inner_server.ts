/** Serves other processes and metrics collectors on the inner port. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";
import type {
  ExchangeAnswer,
  IProcessReport,
} from "../../common/replicas/exchange.ts";
import { listenOn } from "../listen.ts";

/** Where processes report their requests in flight to the lease holder. */
export const EXCHANGE_PATH = "/exchange";
const METRICS_PATH = "/metrics";

/** Characters; a valid report takes only a few kilobytes. */
const MAXIMUM_REPORT_LENGTH = 262_144;

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_NOT_HOLDER = 409;

const crashReportSchema = z.object({
  serial: z.number(),
  target: z.string(),
  startedAt: z.number(),
  service: z.string(),
  age: z.number(),
  suspects: z.record(
    z.string(),
    z.object({ calls: z.number(), newCalls: z.number() }),
  ),
  requests: z.array(z.string()).optional(),
});

const quarantineEntrySchema = z.object({
  service: z.string(),
  parts: z.array(z.string()).min(1),
  since: z.number(),
  until: z.number(),
  crashes: z.number(),
  isSaved: z.boolean(),
});

const processReportSchema = z.object({
  process: z.string(),
  hasCalls: z.boolean(),
  inFlight: z.record(z.string(), z.number()),
  work: z.array(
    z.object({
      service: z.string(),
      model: z.string(),
      groups: z.number(),
      waiting: z.number(),
    }),
  ),
  tableVersion: z.number(),
  suspects: z.array(z.string()),
  // Older builds send none; they may run alongside during a rolling update.
  versions: z
    .object({ configuration: z.number(), targets: z.number() })
    .default({ configuration: 0, targets: 0 }),
  storeService: z
    .object({
      age: z.number(),
      length: z.number(),
      updateTime: z.string(),
    })
    .optional(),
  rateLimits: z
    .record(
      z.string(),
      z.object({ rate: z.number().nullable(), age: z.number() }),
    )
    .optional(),
  takesTableChanges: z.boolean().optional(),
  forwarding: z
    .object({ zone: z.string(), outOfReach: z.array(z.string()) })
    .optional(),
  quarantine: z
    .object({
      crashes: z.array(crashReportSchema),
      proofs: z.record(z.string(), z.number()),
      listVersion: z.number(),
      unsaved: z.array(quarantineEntrySchema),
    })
    .optional(),
  cores: z.number().positive().optional(),
});

/** Answers the requests of the inner server. */
export interface IInnerServerHandler {
  exchange(report: IProcessReport): Promise<ExchangeAnswer>;
  metrics(): Promise<string>;
  /**
   * Answers a request that another process forwards; returns false for any
   * other request.
   */
  forward(request: IncomingMessage, response: ServerResponse): boolean;
}

/** The HTTP server on the inner port. */
export class InnerServer {
  readonly #handler: IInnerServerHandler;
  readonly #server: Server;

  constructor(handler: IInnerServerHandler) {
    this.#handler = handler;
    this.#server = createServer((request, response) => {
      void this.#answer(request, response);
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === METRICS_PATH) {
      response.end(await this.#handler.metrics());
    } else if (request.url === EXCHANGE_PATH && request.method === "POST") {
      await this.#exchange(request, response);
    } else if (!this.#handler.forward(request, response)) {
      response.writeHead(STATUS_NOT_FOUND).end();
    }
  }

  async #exchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const report = await readReport(request);
    if (report === null) {
      response.writeHead(STATUS_BAD_REQUEST).end();
      return;
    }
    const answer = await this.#handler.exchange(report);
    const status = answer.isHolder ? STATUS_OK : STATUS_NOT_HOLDER;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }
}

async function readReport(
  request: IncomingMessage,
): Promise<IProcessReport | null> {
  let text = "";
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      text += chunk.toString("utf8");
      if (text.length > MAXIMUM_REPORT_LENGTH) {
        return null;
      }
    }
    return processReportSchema.parse(JSON.parse(text));
  } catch {
    // The sender receives status 400 and logs it.
    return null;
  }
}
