/** HTTP clients whose answers share the memory and the time of the process. */
import { Agent, buildConnector, Client, Pool } from "undici";
import type { Dispatcher } from "undici";
import {
  AnswerBound,
  AnswerBoundError,
  NO_BOUND_RECORDER,
} from "../../common/calls/answer_bounds.ts";
import type { IAnswerBoundRecorder } from "../../common/calls/answer_bounds.ts";
import { NO_BREAK_RECORDER } from "../../common/calls/answer_breaks.ts";
import type { IAnswerBreakRecorder } from "../../common/calls/answer_breaks.ts";
import { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { readText } from "../bounded_body.ts";
import { InputSchedule } from "../input_schedule.ts";
import type { JsonBudget } from "../json_text.ts";
import { guardAnswer } from "./answer_guards.ts";
import { AnswerInput } from "./answer_input.ts";
import type { IAnswerInputParts } from "./answer_input.ts";

/** What the answers to one process share. */
export interface IHttpClientParts {
  /** What answers to calls take, and heads that are not complete. */
  readonly memory?: AnswerMemory;
  /** What other answers take: a flood of those to calls leaves room for them. */
  readonly controlMemory?: AnswerMemory;
  readonly recorder?: IAnswerBoundRecorder;
  readonly breaks?: IAnswerBreakRecorder;
}

/** Creates the clients of one process, and reads their answers. */
export class HttpClients {
  readonly memory: AnswerMemory;
  readonly #controlMemory: AnswerMemory;
  readonly recorder: IAnswerBoundRecorder;
  readonly #breaks: IAnswerBreakRecorder;
  readonly #schedule = new InputSchedule();

  constructor({
    memory = new AnswerMemory(),
    controlMemory = new AnswerMemory(),
    recorder = NO_BOUND_RECORDER,
    breaks = NO_BREAK_RECORDER,
  }: IHttpClientParts = {}) {
    this.memory = memory;
    this.#controlMemory = controlMemory;
    this.recorder = recorder;
    this.#breaks = breaks;
  }

  /**
   * Reads a whole body; its connection is closed if it is too long.
   *
   * @param limits.limit - bytes
   * @param limits.source - address that answered
   * @param limits.isCall - whether it answers a call
   * @throws {AnswerBoundError} if it is too long
   */
  readText(
    body: AsyncIterable<Uint8Array>,
    limits: {
      readonly limit: number;
      readonly source: string;
      readonly isCall?: boolean;
    },
  ): Promise<string> {
    const { limit, source, isCall = false } = limits;
    const memory = isCall ? this.memory : this.#controlMemory;
    return readText(body, {
      limit,
      memory,
      onExceeded: (bound) => this.recorder.record(bound, source),
    });
  }

  /**
   * Reads and parses a whole body; null for an empty one.
   *
   * @param limits.budget - reduced by what the body takes
   * @param limits.source - address that answered
   * @throws {AnswerBoundError} if it has more bytes or values than remain
   * @throws {SyntaxError} if it is not JSON
   */
  async readJson(
    body: AsyncIterable<Uint8Array>,
    limits: { readonly budget: JsonBudget; readonly source: string },
  ): Promise<unknown> {
    const text = await this.readBoundedJson(body, limits);
    return text === "" ? null : (JSON.parse(text) as unknown);
  }

  /**
   * Reads a whole body, whose text may be parsed within the bounds if it is JSON.
   *
   * @param limits - as for {@link readJson}
   * @throws {AnswerBoundError} if it has more bytes or values than remain
   */
  async readBoundedJson(
    body: AsyncIterable<Uint8Array>,
    limits: { readonly budget: JsonBudget; readonly source: string },
  ): Promise<string> {
    const { budget, source } = limits;
    const text = await this.readText(body, { limit: budget.bytes, source });
    if (!budget.take(text)) {
      this.recorder.record(AnswerBound.Values, source);
      throw new AnswerBoundError(AnswerBound.Values);
    }
    return text;
  }

  /** A client with one connection at a time. */
  createClient(origin: string | URL, options: Client.Options): Client {
    return new GuardedClient(origin, options, this.#parts);
  }

  /**
   * The clients of one origin.
   *
   * @param closesAfterFailures - whether a connection is closed after an answer
   *   other than a success
   */
  createPool(
    origin: string | URL,
    options: Pool.Options,
    closesAfterFailures = false,
  ): Pool {
    return createPool(origin, options, { ...this.#parts, closesAfterFailures });
  }

  /** Clients of any origin; they are charged with other control answers. */
  createAgent(options: Agent.Options): Agent {
    const parts = { ...this.#parts, memory: this.#controlMemory };
    return new Agent({
      ...options,
      factory: (url, poolOptions) =>
        createPool(url, poolOptions as Pool.Options, parts),
    });
  }

  get #parts(): IClientParts {
    const { memory } = this;
    const schedule = this.#schedule;
    const { recorder } = this;
    const breaks = this.#breaks;
    return { schedule, memory, recorder, breaks, closesAfterFailures: false };
  }
}

function createPool(
  origin: string | URL,
  options: Pool.Options,
  parts: IClientParts,
): Pool {
  return new Pool(origin, {
    ...options,
    factory: (url, clientOptions) =>
      new GuardedClient(url, clientOptions as Client.Options, parts),
  });
}

interface IClientParts {
  readonly schedule: InputSchedule;
  readonly memory: AnswerMemory;
  readonly recorder: IAnswerBoundRecorder;
  readonly breaks: IAnswerBreakRecorder;
  readonly closesAfterFailures: boolean;
}

/** The connection of a client; there is one at a time. */
interface ICurrentConnection {
  input: AnswerInput | null;
}

class GuardedClient extends Client {
  readonly #recordBound: (bound: AnswerBound) => void;
  readonly #connection: ICurrentConnection;
  readonly #closesAfterFailures: boolean;

  constructor(
    origin: string | URL,
    options: Client.Options,
    { schedule, memory, recorder, breaks, closesAfterFailures }: IClientParts,
  ) {
    const { host } = new URL(origin);
    const onBroken: IAnswerInputParts["onBroken"] = (answer) =>
      breaks.record({ ...answer, source: host });
    const onExceeded = (bound: AnswerBound) => recorder.record(bound, host);
    const connection: ICurrentConnection = { input: null };
    const connect = connectorOf(options);
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          const parts = { schedule, memory, onExceeded, onBroken };
          connection.input = new AnswerInput(socket, parts);
          callback(null, socket);
        });
      },
    });
    this.#connection = connection;
    this.#recordBound = onExceeded;
    this.#closesAfterFailures = closesAfterFailures;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const guarded = guardAnswer(handler, {
      input: () => this.#connection.input,
      onExceeded: this.#recordBound,
      closesAfterFailures: this.#closesAfterFailures,
    });
    return super.dispatch(options, guarded);
  }
}

function connectorOf({ connect }: Client.Options): buildConnector.connector {
  return typeof connect === "function"
    ? connect
    : buildConnector({ ...connect });
}
