/** Calls to engines and plain services over HTTP. */
import { performance } from "node:perf_hooks";
import { Readable } from "node:stream";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { request } from "undici";
import type { Dispatcher } from "undici";
import type {
  IEngineCall,
  IEngineOrder,
  IEngineToken,
  IGenerateOptions,
  IOrderOptions,
  IServiceCall,
  ITargets,
} from "../../common/services/services.ts";
import { LONGEST_ANSWER } from "../../common/calls/answer_memory.ts";
import type { IInputBarrier } from "../../common/calls/input_barrier.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure, ITargetReport } from "../../common/types.ts";
import { readBeginning } from "../bounded_body.ts";
import { callFailureOf, isResponseTimeout } from "../http_failure.ts";
import { JsonAnswers } from "../json_answers.ts";
import { withTimeLimit } from "../time_limit.ts";
import { EngineStreamReader } from "./engine_stream_reader.ts";
import { LinkedAbortController } from "./linked_abort_controller.ts";
import {
  checkServiceAnswer,
  failureOfStatus,
  readReport,
} from "./target_answers.ts";
import { TargetConnections } from "./target_connections.ts";
import { WireIdGenerator } from "./wire_id.ts";

/** Maximum time to connect to a target of the zone, milliseconds. */
const CONNECT_TIMEOUT = 500;

/** Shortest timeout for the HTTP library, where 0 means none, milliseconds. */
const SHORTEST_TIMEOUT = 1;

/** Bytes of a report, which takes some hundred. */
const LONGEST_REPORT = 65_536;

/** Characters of a failure's body that its detail quotes. */
const LONGEST_DETAIL = 1_024;

const STATUS_OK = 200;

/** The call was not sent. */
const CALLER_LEFT: ICallFailure = {
  kind: CallFailureKind.NotSent,
  detail: "the caller is gone",
};

/** How a POST request is sent. */
interface IPostOptions {
  readonly body: string | Readable;
  readonly timeout: number;
  /** Milliseconds without a response after which its pool is retired. */
  readonly suspectAfter?: number;
  readonly signal?: AbortSignal;
  /** Uses a new connection that is closed after the call. */
  readonly needsNewConnection?: boolean;
}

/** Calls targets; every call has a limit on the time without any data. */
export class HttpTargets implements ITargets {
  readonly #barrier: IInputBarrier;
  readonly #connections: TargetConnections;
  readonly #wireIds = new WireIdGenerator();
  readonly #answers: JsonAnswers;

  /**
   * @param barrier - delays calls until the news on their callers is fresh
   * @param answers - create the connections, and read what arrives
   */
  constructor(barrier: IInputBarrier, answers = new JsonAnswers()) {
    this.#barrier = barrier;
    this.#answers = answers;
    this.#connections = new TargetConnections({
      clients: answers.clients,
      connectTimeout: CONNECT_TIMEOUT,
      barrier,
      now: () => performance.now(),
    });
  }

  async report(
    address: string,
    timeout: number,
  ): Promise<Result<ITargetReport, ICallFailure>> {
    const { dispatcher } = this.#connections.poolFor(address);
    try {
      const limit = timeout + CONNECT_TIMEOUT;
      const report = await withTimeLimit(limit, async (signal) => {
        const answer = await request(`http://${address}/report`, {
          dispatcher,
          headersTimeout: timeout,
          bodyTimeout: timeout,
          signal,
        });
        const limits = { limit: LONGEST_REPORT, source: address };
        return readReport(await this.#answers.read(answer.body, limits));
      });
      this.#connections.recordAnswer(address);
      return Ok(report);
    } catch (error) {
      const attempted = `report of ${address}`;
      return Err(this.#failureOf(error, { attempted, address, dispatcher }));
    }
  }

  async order(
    address: string,
    order: IEngineOrder,
    options: IOrderOptions,
  ): Promise<Result<void, ICallFailure>> {
    const { timeout, isStillDue } = options;
    let isWritten = false;
    function* writeContent(): Generator<Buffer> {
      if (!isStillDue()) {
        throw new Error("the lease no longer covers the order");
      }
      isWritten = true;
      yield Buffer.from(JSON.stringify(order));
    }
    const body = Readable.from(writeContent(), { objectMode: false });
    // The answer names no order, so its connection carries no other.
    const sending = { body, timeout, needsNewConnection: true };
    const answer = await this.#post(address, "/orders", sending);
    return answer
      .map(() => undefined)
      .mapErr(({ kind, detail }) => ({
        kind: isWritten ? kind : CallFailureKind.NotSent,
        detail,
      }));
  }

  async call(
    address: string,
    call: IServiceCall,
    signal: AbortSignal,
  ): Promise<Result<unknown, ICallFailure>> {
    await this.#barrier.pass();
    if (signal.aborted || call.isStillDue?.() === false) {
      return Err(CALLER_LEFT);
    }
    const { operation, body } = call;
    const requestId = this.#wireIds.next(call.requestId);
    const content = encodeCall({ requestId, operation, body });
    if (content.isErr()) {
      return content;
    }
    const timeout = Math.max(SHORTEST_TIMEOUT, call.timeout);
    const needsNewConnection = call.needsNewConnection;
    const { suspectAfter = timeout } = call;
    const sending = {
      body: content.value,
      ...{ timeout, suspectAfter, signal, needsNewConnection },
    };
    const answer = await this.#post(address, "/call", sending);
    return answer.andThen((value) => checkServiceAnswer(value, requestId));
  }

  async *generate(
    address: string,
    call: IEngineCall,
    options: IGenerateOptions,
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    await this.#barrier.pass();
    if (options.signal.aborted) {
      yield Err(CALLER_LEFT);
      return;
    }
    const attempted = `generate on ${address}`;
    const { dispatcher, connectionLost } = this.#connections.poolFor(address);
    const requestId = this.#wireIds.next(call.requestId);
    const sent = { ...call, requestId };
    using cancel = new LinkedAbortController([options.signal, connectionLost]);
    try {
      const answer = await request(`http://${address}/generate`, {
        method: "POST",
        dispatcher,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(sent),
        headersTimeout: Math.max(SHORTEST_TIMEOUT, options.firstTokenWithin),
        bodyTimeout: options.nextTokenWithin,
        signal: cancel.signal,
      });
      cancel.unlink(connectionLost);
      if (answer.statusCode !== STATUS_OK) {
        const text = await readBeginning(answer.body, LONGEST_DETAIL);
        yield Err(failureOfStatus(attempted, answer, text));
        return;
      }
      using reader = new EngineStreamReader(sent, {
        memory: this.#answers.clients.memory,
        onExceeded: (bound) => this.#answers.recordExceeded(bound, address),
      });
      for await (const chunk of answer.body) {
        const batch = reader.feed(chunk as Buffer);
        if (batch.isErr() || batch.value.length > 0) {
          yield batch;
        }
        if (batch.isErr() || batch.value.at(-1)?.isEnd) {
          return;
        }
      }
      const detail = `${attempted}: the stream ended without its end mark`;
      yield Err({ kind: CallFailureKind.Unknown, detail });
    } catch (error) {
      yield Err(this.#failureOf(error, { attempted, address, dispatcher }));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#connections[Symbol.asyncDispose]();
  }

  async #post(
    address: string,
    path: string,
    sending: IPostOptions,
  ): Promise<Result<unknown, ICallFailure>> {
    const { body, timeout, signal, needsNewConnection = false } = sending;
    const attempted = `POST ${path} to ${address}`;
    const dispatcher = needsNewConnection
      ? this.#connections.createSingleUse(address)
      : this.#connections.poolFor(address).dispatcher;
    const suspicion = setTimeout(
      () => this.#connections.retireSilentPool(address, dispatcher),
      sending.suspectAfter ?? timeout,
    );
    try {
      const answer = await request(`http://${address}${path}`, {
        method: "POST",
        dispatcher,
        headers: { "content-type": "application/json" },
        body,
        headersTimeout: timeout,
        bodyTimeout: timeout,
        signal,
      });
      if (answer.statusCode === STATUS_OK) {
        const read = await this.#answers.read(answer.body, {
          limit: LONGEST_ANSWER,
          source: address,
          isCall: true,
        });
        return Ok(read);
      }
      const text = await readBeginning(answer.body, LONGEST_DETAIL);
      return Err(failureOfStatus(attempted, answer, text));
    } catch (error) {
      return Err(this.#failureOf(error, { attempted, address, dispatcher }));
    } finally {
      clearTimeout(suspicion);
      if (needsNewConnection) {
        void dispatcher.destroy();
      }
    }
  }

  /** Converts an error; after a timeout, the next call connects again. */
  #failureOf(
    error: unknown,
    call: {
      readonly attempted: string;
      readonly address: string;
      readonly dispatcher: Dispatcher;
    },
  ): ICallFailure {
    if (isResponseTimeout(error)) {
      this.#connections.retireSilentPool(call.address, call.dispatcher);
    }
    return callFailureOf(call.attempted, error);
  }
}

/** A body that cannot be encoded fails its own call only. */
function encodeCall(call: {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
}): Result<string, ICallFailure> {
  try {
    return Ok(JSON.stringify(call));
  } catch (error) {
    const detail = `encode ${call.operation}: ${String(error)}`;
    return Err({ kind: CallFailureKind.NotSent, detail });
  }
}
