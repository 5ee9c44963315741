/** Calls to engines and plain services over HTTP. */
import { Readable } from "node:stream";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { Agent, request } from "undici";
import type {
  IEngineCall,
  IEngineOrder,
  IEngineToken,
  IOrderOptions,
  IServiceCall,
  ITargets,
} from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure, ITargetReport } from "../../common/types.ts";
import { failureOf } from "../http_failure.ts";
import { EngineStreamReader } from "./engine_stream_reader.ts";

const CONNECT_TIMEOUT = 500;

/** Longest wait for a first token and between tokens, milliseconds. */
const FIRST_TOKEN_TIMEOUT = 10_000;
const INTER_TOKEN_TIMEOUT = 2_000;

const STATUS_OK = 200;

/** Statuses by which a target says that it has not acted. */
const REFUSALS: ReadonlySet<number> = new Set([400, 404, 409, 413, 429, 503]);

/** Speaks to targets; every call bounds how long silence may last. */
export class HttpTargets implements ITargets {
  readonly #agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT } });

  async report(
    address: string,
    timeout: number,
  ): Promise<Result<ITargetReport, ICallFailure>> {
    const attempted = `report of ${address}`;
    try {
      const answer = await request(`http://${address}/report`, {
        dispatcher: this.#agent,
        headersTimeout: timeout,
        bodyTimeout: timeout,
      });
      return Ok((await answer.body.json()) as ITargetReport);
    } catch (error) {
      return Err(failureOf(attempted, error));
    }
  }

  async order(
    address: string,
    order: IEngineOrder,
    options: IOrderOptions,
  ): Promise<Result<void, ICallFailure>> {
    const { timeout, isStillDue } = options;
    let isWritten = false;
    function* content(): Generator<Buffer> {
      if (!isStillDue()) {
        throw new Error("the lease no longer covers the order");
      }
      isWritten = true;
      yield Buffer.from(JSON.stringify(order));
    }
    const url = `http://${address}/orders`;
    const body = Readable.from(content(), { objectMode: false });
    const answer = await this.#post(url, body, { timeout });
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
    const { requestId, operation, body, timeout } = call;
    const answer = await this.#post(
      `http://${address}/call`,
      JSON.stringify({ requestId, operation, body }),
      { timeout, signal },
    );
    return answer.andThen((value) => checkServiceAnswer(value, call));
  }

  async *generate(
    address: string,
    call: IEngineCall,
    signal: AbortSignal,
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    const attempted = `generate on ${address}`;
    try {
      const answer = await request(`http://${address}/generate`, {
        method: "POST",
        dispatcher: this.#agent,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(call),
        headersTimeout: FIRST_TOKEN_TIMEOUT,
        bodyTimeout: INTER_TOKEN_TIMEOUT,
        signal,
      });
      if (answer.statusCode !== STATUS_OK) {
        const text = await answer.body.text();
        yield Err(refusalOf(attempted, answer.statusCode, text));
        return;
      }
      const reader = new EngineStreamReader(call);
      const decoder = new TextDecoder();
      for await (const chunk of answer.body) {
        const text = decoder.decode(chunk as Buffer, { stream: true });
        const batch = reader.feed(text);
        if (batch.isErr()) {
          yield batch;
          return;
        }
        if (batch.value.length > 0) {
          yield batch;
        }
        if (batch.value.at(-1)?.isEnd) {
          return;
        }
      }
      const detail = `${attempted}: the stream ended without its end mark`;
      yield Err({ kind: CallFailureKind.Unknown, detail });
    } catch (error) {
      yield Err(failureOf(attempted, error));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  async #post(
    url: string,
    body: string | Readable,
    options: { readonly timeout: number; readonly signal?: AbortSignal },
  ): Promise<Result<unknown, ICallFailure>> {
    const attempted = `POST ${url}`;
    try {
      const answer = await request(url, {
        method: "POST",
        dispatcher: this.#agent,
        headers: { "content-type": "application/json" },
        body,
        headersTimeout: options.timeout,
        bodyTimeout: options.timeout,
        signal: options.signal,
      });
      const text = await answer.body.text();
      if (answer.statusCode === STATUS_OK) {
        return Ok(JSON.parse(text) as unknown);
      }
      return Err(refusalOf(attempted, answer.statusCode, text));
    } catch (error) {
      return Err(failureOf(attempted, error));
    }
  }
}

/** An answer to another request must never reach this caller. */
function checkServiceAnswer(
  value: unknown,
  call: IServiceCall,
): Result<unknown, ICallFailure> {
  const answer = value as { requestId?: unknown; answer?: unknown } | null;
  if (answer?.requestId !== call.requestId) {
    const detail = `the answer names request ${String(answer?.requestId)}`;
    return Err({ kind: CallFailureKind.Unknown, detail });
  }
  return Ok(answer.answer);
}

function refusalOf(
  attempted: string,
  status: number,
  text: string,
): ICallFailure {
  const kind = REFUSALS.has(status)
    ? CallFailureKind.Refused
    : CallFailureKind.Unknown;
  return { kind, detail: `${attempted}: answered ${status} ${text}` };
}
