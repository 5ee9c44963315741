/** Serves other processes and metrics collectors on the inner port. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { z } from "zod";
import { RequestMemory } from "../../common/calls/request_memory.ts";
import type {
  ExchangeAnswer,
  IProcessReport,
} from "../../common/replicas/exchange.ts";
import { BodyReceiver, BodyFailure } from "../callers/body_receiver.ts";
import { ConnectionInput } from "../callers/connection_input.ts";
import { endAfterDiscardingBody } from "../callers/discard_body.ts";
import { InputSchedule } from "../input_schedule.ts";
import { listenOn } from "../listen.ts";

/** Where processes report their requests in flight to the lease holder. */
export const EXCHANGE_PATH = "/exchange";
const METRICS_PATH = "/metrics";

/** Bytes; a valid report takes only a few kilobytes. */
const MAXIMUM_REPORT_LENGTH = 262_144;

/** Megabytes of which a share is for the reports that arrive. */
const REPORT_MEMORY = 128;

/** Bytes of a connection that are received and not parsed yet. */
const MAXIMUM_INPUT = 1_048_576;

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
  readonly #schedule = new InputSchedule();
  readonly #inputs = new WeakMap<Socket, ConnectionInput>();
  readonly #memory = new RequestMemory(REPORT_MEMORY);

  constructor(handler: IInnerServerHandler) {
    this.#handler = handler;
    this.#server = createServer((request, response) => {
      this.#inputs.get(request.socket)?.recordRequest(request, response);
      void this.#serve(request, response);
    });
    this.#server.on("connection", (socket) => this.#addInput(socket));
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

  /** Others may send without end, which would take the process's time. */
  #addInput(socket: Socket): void {
    const input = new ConnectionInput(socket, {
      schedule: this.#schedule,
      onSizeChanged: (bytes) => {
        if (bytes > MAXIMUM_INPUT) {
          socket.destroy();
        }
      },
    });
    this.#inputs.set(socket, input);
  }

  /** A fault of one request closes its connection, and nothing beside it. */
  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.#answer(request, response);
    } catch {
      // The sender finds its request unanswered, and logs it.
      response.destroy();
    }
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === METRICS_PATH) {
      end(request, response, await this.#handler.metrics());
    } else if (request.url === EXCHANGE_PATH && request.method === "POST") {
      await this.#exchange(request, response);
    } else if (!this.#handler.forward(request, response)) {
      response.statusCode = STATUS_NOT_FOUND;
      end(request, response);
    }
  }

  async #exchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const report = await this.#readReport(request, response);
    if (report === null) {
      response.statusCode = STATUS_BAD_REQUEST;
      end(request, response);
      return;
    }
    const answer = await this.#handler.exchange(report);
    const status = answer.isHolder ? STATUS_OK : STATUS_NOT_HOLDER;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  async #readReport(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<IProcessReport | null> {
    const share = this.#memory.createShare(() =>
      receiver.fail(BodyFailure.NoRoom),
    );
    response.once("close", () => share.dispose());
    const limit = MAXIMUM_REPORT_LENGTH;
    const receiver = new BodyReceiver(request, { limit, share });
    const received = await receiver.result;
    return received.isOk() ? decodeReport(received.value) : null;
  }
}

function decodeReport(content: Uint8Array): IProcessReport | null {
  const { buffer, byteOffset, byteLength } = content;
  const text = Buffer.from(buffer, byteOffset, byteLength).toString("utf8");
  try {
    return processReportSchema.parse(JSON.parse(text));
  } catch {
    // The sender receives status 400 and logs it.
    return null;
  }
}

/** Ends a response whose request may still arrive, or never end. */
function end(
  request: IncomingMessage,
  response: ServerResponse,
  text = "",
): void {
  if (request.complete) {
    response.end(text);
    return;
  }
  response.shouldKeepAlive = false;
  response.write(text);
  endAfterDiscardingBody(request, response);
}
