/** The platform's object API over HTTP. Replace this folder for another API. */
import type { IncomingHttpHeaders } from "node:http";
import { Err, None, Ok, Some } from "ts-results-es";
import type { Option, Result } from "ts-results-es";
import { request } from "undici";
import type { Agent, Dispatcher } from "undici";
import { WriteFailureKind } from "../../common/services/services.ts";
import type {
  IConditionalWrite,
  IPlatform,
  IPlatformObject,
  IWatchResult,
  IWriteFailure,
} from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure, IInstance } from "../../common/types.ts";
import { callFailureOf } from "../http_failure.ts";
import { JsonAnswers } from "../json_answers.ts";
import { withTimeLimit } from "../time_limit.ts";
import { InstanceListCache } from "./instance_list_cache.ts";
import type { ITaggedAnswer } from "./instance_list_cache.ts";
import {
  decodeObject,
  decodeObjects,
  decodeWrittenVersion,
} from "./object_decoder.ts";

/** Milliseconds; the platform normally answers within a few. */
const CALL_TIMEOUT = 2_000;

/** Milliseconds. */
const CONNECT_TIMEOUT = 1_000;

/** Added to the requested wait of a watch, milliseconds. */
const WATCH_GRACE = 3_000;

/** Bytes; the list of all instances takes some millions. */
const LONGEST_ANSWER = 8_388_608;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

/** Calls the object API with conditional requests and long polls. */
export class HttpPlatform implements IPlatform {
  readonly #origin: string;
  readonly #instanceList = new InstanceListCache();
  readonly #answers: JsonAnswers;
  readonly #agent: Agent;

  /**
   * @param origin - such as `http://10.0.0.1:8080`
   * @param answers - create the connections, and read what arrives
   */
  constructor(origin: string, answers = new JsonAnswers()) {
    this.#origin = origin;
    this.#answers = answers;
    this.#agent = answers.clients.createAgent({
      connect: { timeout: CONNECT_TIMEOUT },
    });
  }

  async read(
    kind: string,
    name: string,
  ): Promise<Result<Option<IPlatformObject>, ICallFailure>> {
    const answer = await this.#get(objectPath(kind, name), CALL_TIMEOUT);
    if (answer.isErr()) {
      return Err(answer.error);
    }
    if (answer.value.status === STATUS_NOT_FOUND) {
      return Ok(None);
    }
    const object = this.#expectOk(answer.value, decodeObject);
    return object.map((found) => Some(found));
  }

  async list(kind: string): Promise<Result<IWatchResult, ICallFailure>> {
    const path = `/objects/${encodeURIComponent(kind)}`;
    const answer = await this.#get(path, CALL_TIMEOUT);
    return answer.andThen((value) => this.#expectOk(value, decodeObjects));
  }

  async watch(
    kind: string,
    after: number,
    options: { readonly timeout: number; readonly signal: AbortSignal },
  ): Promise<Result<IWatchResult, ICallFailure>> {
    const { timeout, signal } = options;
    const query = `after=${after}&timeout_ms=${timeout}`;
    const path = `/watch/${encodeURIComponent(kind)}?${query}`;
    const answer = await this.#get(path, timeout + WATCH_GRACE, signal);
    return answer.andThen((value) => this.#expectOk(value, decodeObjects));
  }

  async write(
    write: IConditionalWrite,
  ): Promise<Result<number, IWriteFailure>> {
    const { expectedVersion } = write;
    const headers: Record<string, string> =
      expectedVersion === null
        ? { "if-none-match": "*" }
        : { "if-match": String(expectedVersion) };
    const answer = await this.#send("PUT", objectPath(write.kind, write.name), {
      headers: { ...headers, "content-type": "application/json" },
      body: JSON.stringify(write.value),
    });
    return writeResultOf(answer).andThen((body) => {
      const version = decodeWrittenVersion(body);
      const detail = "platform answered a write with no version";
      return version === null
        ? Err({ kind: WriteFailureKind.Unknown, detail })
        : Ok(version);
    });
  }

  async remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<void, IWriteFailure>> {
    const answer = await this.#send("DELETE", objectPath(kind, name), {
      headers: { "if-match": String(expectedVersion) },
    });
    return writeResultOf(answer).map(() => undefined);
  }

  async instances(): Promise<Result<readonly IInstance[], ICallFailure>> {
    const answer = await this.#send("GET", "/instances", {
      headers: this.#instanceList.requestHeaders,
      timeout: CALL_TIMEOUT,
    });
    return answer.andThen((value) => this.#instanceList.update(value));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  #get(
    path: string,
    timeout: number,
    signal?: AbortSignal,
  ): Promise<Result<ITaggedAnswer, ICallFailure>> {
    return this.#send("GET", path, { timeout, signal });
  }

  async #send(
    method: Dispatcher.HttpMethod,
    path: string,
    options: {
      readonly headers?: Record<string, string>;
      readonly body?: string;
      readonly timeout?: number;
      readonly signal?: AbortSignal;
    },
  ): Promise<Result<ITaggedAnswer, ICallFailure>> {
    const timeout = options.timeout ?? CALL_TIMEOUT;
    try {
      const limit = timeout + CONNECT_TIMEOUT;
      return await withTimeLimit(limit, async (limitSignal) => {
        const { signal = limitSignal } = options;
        const answer = await request(`${this.#origin}${path}`, {
          method,
          dispatcher: this.#agent,
          headers: options.headers,
          body: options.body,
          headersTimeout: timeout,
          bodyTimeout: timeout,
          signal: AbortSignal.any([signal, limitSignal]),
        });
        const limits = {
          limit: LONGEST_ANSWER,
          source: this.#origin,
          mayBeEmpty: true,
        };
        const body = await this.#answers.read(answer.body, limits);
        return Ok({
          status: answer.statusCode,
          body,
          tag: tagOf(answer.headers),
        });
      });
    } catch (error) {
      return Err(callFailureOf(`platform ${method} ${path}`, error));
    }
  }

  /** @param decode - returns null for an answer that it cannot read */
  #expectOk<T>(
    { status, body }: ITaggedAnswer,
    decode: (body: unknown) => T | null,
  ): Result<T, ICallFailure> {
    const decoded = status === STATUS_OK ? decode(body) : null;
    if (decoded !== null) {
      return Ok(decoded);
    }
    const problem = status === STATUS_OK ? "in another form" : String(status);
    const detail = `platform answered ${problem}`;
    return Err({ kind: CallFailureKind.Refused, detail });
  }
}

function tagOf(headers: IncomingHttpHeaders): string | null {
  return typeof headers["etag"] === "string" ? headers["etag"] : null;
}

function objectPath(kind: string, name: string): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function writeResultOf(
  answer: Result<ITaggedAnswer, ICallFailure>,
): Result<unknown, IWriteFailure> {
  if (answer.isErr()) {
    const isUnsent = answer.error.kind === CallFailureKind.NotSent;
    const kind = isUnsent
      ? WriteFailureKind.NotApplied
      : WriteFailureKind.Unknown;
    return Err({ kind, detail: answer.error.detail });
  }
  const { status, body } = answer.value;
  if (status === STATUS_OK) {
    return Ok(body);
  }
  return Err({
    kind: writeFailureKindOf(status),
    detail: `platform answered ${status} ${JSON.stringify(body)}`,
  });
}

function writeFailureKindOf(status: number): WriteFailureKind {
  if (status === STATUS_CONFLICT || status === STATUS_NOT_FOUND) {
    return WriteFailureKind.Conflict;
  }
  const isRefused = status === STATUS_TOO_MANY || status === STATUS_UNAVAILABLE;
  const isBad = status >= 400 && status < 500;
  return isRefused || isBad
    ? WriteFailureKind.NotApplied
    : WriteFailureKind.Unknown;
}
