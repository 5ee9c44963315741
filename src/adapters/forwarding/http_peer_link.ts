/** The HTTP client for requests that are forwarded to other processes. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { request } from "undici";
import type { Agent, buildConnector, Dispatcher } from "undici";
import {
  AnswerBound,
  AnswerBoundError,
} from "../../common/calls/answer_bounds.ts";
import { AnswerBuffer } from "../../common/calls/answer_memory.ts";
import type { IInputBarrier } from "../../common/calls/input_barrier.ts";
import { SendFailure } from "../../common/calls/types.ts";
import type { ISendHandle } from "../../common/calls/types.ts";
import { ForwardRefusal } from "../../common/forwarding/types.ts";
import type {
  IForwardedExchange,
  IForwardedSend,
  IForwardReceiver,
  IPeerLink,
} from "../../common/forwarding/types.ts";
import type { ICrashNewsLink } from "../../common/quarantine/crash_gossip.ts";
import type {
  ICrashNews,
  IRequestCrash,
} from "../../common/quarantine/types.ts";
import { OrderOutcome } from "../../common/replicas/types.ts";
import type {
  EngineOrder,
  IEngineReport,
} from "../../common/replicas/types.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure, ServiceName } from "../../common/types.ts";
import { barrierConnector } from "../barrier_connector.ts";
import { measureJson } from "../json_text.ts";
import { HttpClients } from "../http/http_clients.ts";
import { withTimeLimit } from "../time_limit.ts";
import { timedConnector } from "../timed_connector.ts";
import {
  decodeFetchedReport,
  decodeKnownCrashes,
  decodeOutcome,
  decodeOutOfReach,
  decodeResponseLine,
  encodeLine,
  END_TRAILER,
  ForwardPath,
  LINE_END,
  STATUS_OK,
  WHOLE,
} from "./forwarding_protocol.ts";
import type { INotTaken } from "./forwarding_protocol.ts";

/** Milliseconds; a round trip between zones takes about 12. */
const CONNECT_TIMEOUT = 250;

/** Time beyond that of the engine until its answer is here, milliseconds. */
const EXCHANGE_MARGIN = 100;

/** Bytes of an answer that is no forwarded response. */
const LONGEST_EXCHANGE = 4_194_304;

/** JSON values of such an answer, and their depth; most are of crashes. */
const MOST_VALUES = 65_536;
const MOST_DEPTH = 32;

/**
 * Bytes of the first line of a response, or of a refusal; a head takes some
 * kilobytes.
 */
const LONGEST_LINE = 262_144;

/** The path has its own, shorter time limits. */
const NO_TIMEOUTS = { headersTimeout: 0, bodyTimeout: 0 };

/** Forwards requests over HTTP. */
export class HttpPeerLink implements IPeerLink, ICrashNewsLink {
  readonly #connect: buildConnector.connector;
  readonly #clients: HttpClients;
  readonly #agent: Agent;

  /**
   * @param barrier - delays the use of connections that calls wait for
   * @param clients - create the connections
   */
  constructor(barrier: IInputBarrier, clients = new HttpClients()) {
    this.#clients = clients;
    const connectTo = timedConnector(CONNECT_TIMEOUT);
    this.#connect = barrierConnector(connectTo, barrier);
    const connect = this.#connect;
    const options = { ...NO_TIMEOUTS, connect, pipelining: 1 };
    this.#agent = clients.createAgent(options);
  }

  send(
    address: string,
    { call, ...rest }: IForwardedSend,
    receiver: IForwardReceiver,
  ): ISendHandle {
    const { id, service, account } = call;
    const { body, ...message } = call.message;
    const origin = `http://${address}`;
    const { memory, recorder } = this.#clients;
    const handler = new ForwardHandler(receiver, {
      pending: new AnswerBuffer(memory, LONGEST_LINE),
      onExceeded: (bound) => recorder.record(bound, address),
    });
    const options = { ...NO_TIMEOUTS, connect: this.#connect };
    const client = rest.needsNewConnection
      ? this.#clients.createClient(origin, options)
      : null;
    handler.onDone = () => void client?.destroy();
    (client ?? this.#agent).dispatch(
      {
        origin,
        method: "POST",
        path: ForwardPath.Send,
        body: encodeLine(
          { ...rest, call: { id, service, account, message } },
          body,
        ),
      },
      handler,
    );
    return handler;
  }

  async fetchReport(
    address: string,
    exchange: IForwardedExchange,
  ): Promise<Result<IEngineReport, ICallFailure>> {
    const attempted = `report of ${exchange.engine} through ${address}`;
    const limit = exchange.timeout + EXCHANGE_MARGIN;
    const answer = await this.#exchange(address, ForwardPath.Report, {
      content: exchange,
      limit,
    });
    if (answer.isErr()) {
      const detail = `${attempted}: ${answer.error}`;
      return Err({ kind: CallFailureKind.NoPath, detail });
    }
    const detail = `${attempted}: not a valid answer`;
    const invalid = Err({ kind: CallFailureKind.NoPath, detail });
    return decodeFetchedReport(answer.value) ?? invalid;
  }

  async sendOrder(
    address: string,
    exchange: IForwardedExchange & { readonly order: EngineOrder },
  ): Promise<OrderOutcome> {
    const answer = await this.#exchange(address, ForwardPath.Order, {
      content: exchange,
      limit: exchange.timeout + EXCHANGE_MARGIN,
    });
    const outcome = answer.isOk() ? decodeOutcome(answer.value) : null;
    return outcome ?? OrderOutcome.Unknown;
  }

  async ping(
    address: string,
    timeout: number,
  ): Promise<readonly ServiceName[] | null> {
    const answer = await this.#exchange(address, ForwardPath.Status, {
      content: {},
      limit: timeout,
    });
    return answer.isOk() ? decodeOutOfReach(answer.value) : null;
  }

  async tellCrashes(
    address: string,
    news: ICrashNews,
    timeout: number,
  ): Promise<readonly IRequestCrash[] | null> {
    const answer = await this.#exchange(address, ForwardPath.Crashes, {
      content: news,
      limit: timeout,
    });
    return answer.isOk() ? decodeKnownCrashes(answer.value) : null;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  /** Resolves with the answer's JSON, or with what went wrong. */
  async #exchange(
    address: string,
    path: ForwardPath,
    { content, limit }: { readonly content: object; readonly limit: number },
  ): Promise<Result<unknown, string>> {
    try {
      return await withTimeLimit(limit, async (signal) => {
        const { statusCode, body } = await request(`http://${address}${path}`, {
          method: "POST",
          dispatcher: this.#agent,
          headers: { "content-type": "application/json" },
          body: JSON.stringify(content),
          signal,
        });
        const limits = { limit: LONGEST_EXCHANGE, source: address };
        const text = await this.#clients.readText(body, limits);
        return statusCode === STATUS_OK
          ? Ok(this.#parse(text, address))
          : Err(`answered ${statusCode}`);
      });
    } catch (error) {
      return Err(String(error));
    }
  }

  /** @throws {AnswerBoundError} if the answer has too many values */
  #parse(text: string, source: string): unknown {
    const { values, depth } = measureJson(text);
    if (values > MOST_VALUES || depth > MOST_DEPTH) {
      this.#clients.recorder.record(AnswerBound.Values, source);
      throw new AnswerBoundError(AnswerBound.Values);
    }
    return JSON.parse(text);
  }
}

/** Receives the response to one forwarded call. */
class ForwardHandler implements Dispatcher.DispatchHandler, ISendHandle {
  readonly #receiver: IForwardReceiver;
  /** The first line until it is complete, or a refusal. */
  readonly #pending: AnswerBuffer;
  readonly #onExceeded: (bound: AnswerBound) => void;
  #controller: Dispatcher.DispatchController | null = null;
  #status = 0;
  #hasLine = false;
  #isFinished = false;
  /** Called once when the response has ended, failed or been aborted. */
  onDone: () => void = () => undefined;

  constructor(
    receiver: IForwardReceiver,
    parts: {
      readonly pending: AnswerBuffer;
      /** Called when there is no room for the line. */
      readonly onExceeded: (bound: AnswerBound) => void;
    },
  ) {
    this.#receiver = receiver;
    this.#pending = parts.pending;
    this.#onExceeded = parts.onExceeded;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isFinished) {
      controller.abort(new Error("aborted before it was sent"));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    this.#status = status;
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#isFinished) {
      return;
    }
    if (this.#hasLine) {
      this.#receiver.onData(chunk);
      return;
    }
    const isOk = this.#status === STATUS_OK;
    const end = isOk ? chunk.indexOf(LINE_END) : -1;
    if (!this.#keep(end < 0 ? chunk : chunk.subarray(0, end)) || end < 0) {
      return;
    }
    this.#hasLine = true;
    this.#handleLine(this.#pending.join());
    const rest = chunk.subarray(end + 1);
    if (rest.byteLength > 0 && !this.#isFinished) {
      this.#receiver.onData(rest);
    }
  }

  onResponseEnd(
    _controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.#status !== STATUS_OK) {
      this.#handleNotTaken();
      return;
    }
    const end = String(trailers[END_TRAILER] ?? "");
    if (!this.#finish()) {
      return;
    }
    if (end === WHOLE && this.#hasLine) {
      this.#receiver.onEnd();
    } else if (end === "" || end === WHOLE) {
      this.#receiver.onFailure(SendFailure.PathLost, "response without an end");
    } else {
      this.#receiver.onFailure(SendFailure.Broken, end);
    }
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#controller === null) {
      this.#refuse(error.message);
    } else if (this.#finish()) {
      this.#receiver.onFailure(SendFailure.PathLost, error.message);
    }
  }

  abort(): void {
    if (this.#finish()) {
      this.#controller?.abort(new Error("aborted"));
    }
  }

  /** Returns false if there is no room. */
  #keep(bytes: Uint8Array): boolean {
    const isKept = this.#pending.push(bytes);
    if (!isKept) {
      const isTooLong = this.#pending.length + bytes.length > LONGEST_LINE;
      this.#onExceeded(isTooLong ? AnswerBound.Length : AnswerBound.Memory);
      this.#failInvalid("first line exceeds the size limit");
    }
    return isKept;
  }

  #handleLine(bytes: Uint8Array): void {
    const line = decodeResponseLine(bytes);
    this.#pending.dispose();
    if (line === null) {
      this.#failInvalid("first line is not valid");
    } else if ("head" in line) {
      this.#receiver.onHead(line.head);
    } else if (this.#finish()) {
      this.#receiver.onFailure(line.failure, line.detail);
    }
  }

  #handleNotTaken(): void {
    const text = Buffer.from(this.#pending.join()).toString("utf8");
    const refusal = readRefusal(text);
    if (this.#finish()) {
      this.#receiver.onRefused(refusal, `status ${this.#status}`);
    }
  }

  /** The bytes are of another program; the peer may have sent the call. */
  #failInvalid(detail: string): void {
    if (this.#finish()) {
      this.#controller?.abort(new Error(detail));
      this.#receiver.onFailure(SendFailure.PathLost, "no valid response");
    }
  }

  /** Nothing was written to the peer. */
  #refuse(detail: string): void {
    if (this.#finish()) {
      this.#receiver.onRefused(ForwardRefusal.NotConnected, detail);
    }
  }

  #finish(): boolean {
    if (this.#isFinished) {
      return false;
    }
    this.#isFinished = true;
    this.#pending.dispose();
    // Deferred, because undici's current call still uses the connection.
    queueMicrotask(this.onDone);
    return true;
  }
}

/** An answer without a known refusal comes from another program or build. */
function readRefusal(text: string): ForwardRefusal {
  const known = Object.values(ForwardRefusal);
  try {
    const { refusal } = JSON.parse(text) as INotTaken;
    return known.find((one) => one === refusal) ?? ForwardRefusal.NotConnected;
  } catch {
    return ForwardRefusal.NotConnected;
  }
}
