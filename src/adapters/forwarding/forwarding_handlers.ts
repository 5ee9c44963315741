/** The server side of requests that other processes forward. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "ts-results-es";
import type { AnswerMemory } from "../../common/calls/answer_memory.ts";
import type { IInputBarrier } from "../../common/calls/input_barrier.ts";
import type { SendFailure } from "../../common/calls/types.ts";
import type {
  IResponseHead,
  IResponseReceiver,
} from "../../common/calls/types.ts";
import type { ForwardedRequests } from "../../common/forwarding/forwarded_requests.ts";
import type { ILog } from "../../common/services/services.ts";
import type { CrashGossip } from "../../common/quarantine/crash_gossip.ts";
import { ForwardRefusal } from "../../common/forwarding/types.ts";
import type { RequestMemory } from "../../common/calls/request_memory.ts";
import { BodyFailure, BodyReceiver } from "../callers/body_receiver.ts";
import { ResponseBody } from "../callers/response_body.ts";
import { hasCallerLeft, onCallerLeft } from "../caller_leave.ts";
import {
  decodeCrashNews,
  decodeExchange,
  decodeOrder,
  decodeSend,
  encodeLine,
  END_TRAILER,
  ForwardPath,
  STATUS_NOT_TAKEN,
  STATUS_OK,
  WHOLE,
} from "./forwarding_protocol.ts";

/** Bytes; larger than any body that a configuration allows. */
const MAXIMUM_LENGTH = 16_777_216;

const STATUS_BAD_REQUEST = 400;

/** Anything but printable ASCII, which a trailer cannot hold. */
const NOT_PRINTABLE = /[^\x20-\x7e]/g;

/** Answers forwarded requests. */
export class ForwardingHandlers {
  readonly #requests: ForwardedRequests;
  readonly #crashes: Pick<CrashGossip, "handle">;
  readonly #barrier: IInputBarrier;
  readonly #memory: AnswerMemory;
  readonly #received: RequestMemory;
  readonly #log: ILog;

  constructor(parts: {
    readonly requests: ForwardedRequests;
    readonly crashes: Pick<CrashGossip, "handle">;
    readonly barrier: IInputBarrier;
    readonly memory: AnswerMemory;
    /** What the received requests take. */
    readonly received: RequestMemory;
    readonly log: ILog;
  }) {
    this.#requests = parts.requests;
    this.#crashes = parts.crashes;
    this.#barrier = parts.barrier;
    this.#memory = parts.memory;
    this.#received = parts.received;
    this.#log = parts.log;
  }

  /** Answers a request; returns false if its path is not one of these. */
  handle(request: IncomingMessage, response: ServerResponse): boolean {
    const path = Object.values(ForwardPath).find((one) => one === request.url);
    if (path === undefined || request.method !== "POST") {
      return false;
    }
    void this.#serve(path, request, response);
    return true;
  }

  /** A fault of one request closes its connection, and nothing beside it. */
  async #serve(
    path: ForwardPath,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.#answer(path, request, response);
    } catch (error) {
      this.#log.error("forwarding_fault", { path, detail: String(error) });
      response.destroy();
    }
  }

  async #answer(
    path: ForwardPath,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const received = await this.#receive(request, response);
    if (received.isErr()) {
      rejectBody(received.error, response);
      return;
    }
    const { buffer, byteOffset, byteLength } = received.value;
    const content = Buffer.from(buffer, byteOffset, byteLength);
    const isTaken =
      path === ForwardPath.Send
        ? this.#send(content, request, response)
        : await this.#exchange(path, content, { request, response });
    if (!isTaken) {
      response.writeHead(STATUS_BAD_REQUEST).end();
    }
  }

  /** The request's content takes memory until it is answered. */
  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<Uint8Array, BodyFailure>> {
    const share = this.#received.createShare(() =>
      receiver.fail(BodyFailure.NoRoom),
    );
    response.once("close", () => share.dispose());
    const limit = MAXIMUM_LENGTH;
    const receiver = new BodyReceiver(request, { limit, share });
    const received = await receiver.result;
    if (received.isOk()) {
      share.complete();
    }
    return received;
  }

  /** Returns false for a request that is not valid. */
  #send(
    content: Buffer,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const send = decodeSend(content);
    if (send === null) {
      return false;
    }
    const refusal = this.#requests.refusalOf(send);
    if (refusal !== null) {
      response.writeHead(STATUS_NOT_TAKEN);
      response.end(JSON.stringify({ refusal }));
    } else if (!hasCallerLeft(request, response)) {
      const writer = new ResponseWriter(response, this.#memory);
      const handle = this.#requests.send(send, writer);
      onCallerLeft(request, response, () => handle.abort());
    }
    return true;
  }

  /** Returns false for a request that is not valid. */
  async #exchange(
    path: ForwardPath,
    content: Buffer,
    caller: {
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
    },
  ): Promise<boolean> {
    const { request, response } = caller;
    // An order or a report that nobody waits for any more is not sent.
    await this.#barrier.pass();
    if (hasCallerLeft(request, response)) {
      return true;
    }
    const answer = await this.#answerExchange(path, content);
    if (answer !== null) {
      response.writeHead(STATUS_OK, { "content-type": "application/json" });
      response.end(JSON.stringify(answer));
    }
    return answer !== null;
  }

  async #answerExchange(
    path: ForwardPath,
    content: Buffer,
  ): Promise<object | null> {
    if (path === ForwardPath.Status) {
      return { outOfReach: this.#requests.outOfReach };
    }
    if (path === ForwardPath.Crashes) {
      const news = decodeCrashNews(content);
      return news && { crashes: this.#crashes.handle(news) };
    }
    if (path === ForwardPath.Order) {
      const order = decodeOrder(content);
      return order && { outcome: await this.#requests.sendOrder(order) };
    }
    const exchange = decodeExchange(content);
    const report = exchange && (await this.#requests.fetchReport(exchange));
    if (report === null) {
      return null;
    }
    return report.isOk() ? { report: report.value } : report.error;
  }
}

/** Writes a target's response to the process that forwarded the call. */
class ResponseWriter implements IResponseReceiver {
  readonly #response: ServerResponse;
  readonly #body: ResponseBody;

  constructor(response: ServerResponse, memory: AnswerMemory) {
    this.#response = response;
    this.#body = new ResponseBody(response, memory);
  }

  onHead(head: IResponseHead): void {
    this.#response.writeHead(STATUS_OK, { trailer: END_TRAILER });
    this.#body.write(encodeLine({ head }));
  }

  /** Ends the connection to a process that does not read. */
  onData(bytes: Uint8Array): void {
    this.#body.write(bytes);
  }

  onEnd(): void {
    this.#response.addTrailers({ [END_TRAILER]: WHOLE });
    this.#body.end();
  }

  onFailure(failure: SendFailure, detail: string): void {
    if (this.#response.headersSent) {
      const end = `${failure} ${detail.replace(NOT_PRINTABLE, " ")}`;
      this.#response.addTrailers({ [END_TRAILER]: end });
      this.#body.end();
    } else {
      this.#response.writeHead(STATUS_OK);
      this.#response.end(encodeLine({ failure, detail }));
    }
  }
}

function rejectBody(failure: BodyFailure, response: ServerResponse): void {
  if (failure === BodyFailure.NoRoom) {
    response.writeHead(STATUS_NOT_TAKEN, { connection: "close" });
    response.end(JSON.stringify({ refusal: ForwardRefusal.Full }));
  } else if (failure !== BodyFailure.SenderLeft) {
    response.writeHead(STATUS_BAD_REQUEST, { connection: "close" }).end();
  }
}
