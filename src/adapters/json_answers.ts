/**
 * Reads answers that are JSON. What a text is parsed into takes far more memory
 * than the text, and deeply nested values exhaust the stack of whatever writes
 * them again; such texts are not parsed.
 */
import {
  AnswerBound,
  AnswerBoundError,
  NO_BOUND_RECORDER,
} from "../common/calls/answer_bounds.ts";
import type { IAnswerBoundRecorder } from "../common/calls/answer_bounds.ts";
import { measureJson } from "./json_text.ts";
import type { IJsonMeasure } from "./json_text.ts";
import { HttpClients } from "./http/http_clients.ts";

/** Values of an answer; one in sixteen bytes of the longest. */
const MAXIMUM_VALUES = 524_288;

/** Arrays and objects of an answer within each other. */
const MAXIMUM_DEPTH = 500;

/** Bounds on the answers of one kind. */
export const ANSWER_VALUES: IJsonMeasure = {
  values: MAXIMUM_VALUES,
  depth: MAXIMUM_DEPTH,
};

/**
 * Parses a text whose values are bounded.
 *
 * @param most - what parsing it may produce
 * @throws {AnswerBoundError} if it has more, or deeper, values
 * @throws {SyntaxError} if it is not JSON
 */
export function parseBounded(text: string, most: IJsonMeasure): unknown {
  const { values, depth } = measureJson(text);
  if (values > most.values || depth > most.depth) {
    throw new AnswerBoundError(AnswerBound.Values);
  }
  return JSON.parse(text) as unknown;
}

/** Reads answers, and records the bounds that they exceed. */
export class JsonAnswers {
  /** Create the connections on which the answers arrive. */
  readonly clients: HttpClients;
  readonly #recorder: IAnswerBoundRecorder;

  constructor({
    clients = new HttpClients(),
    recorder = NO_BOUND_RECORDER,
  }: {
    readonly clients?: HttpClients;
    readonly recorder?: IAnswerBoundRecorder;
  } = {}) {
    this.clients = clients;
    this.#recorder = recorder;
  }

  /** @param source - address that answered */
  recordExceeded(bound: AnswerBound, source: string): void {
    this.#recorder.record(bound, source);
  }

  /**
   * Reads a whole body.
   *
   * @param limits.limit - bytes
   * @param limits.source - address that answered
   * @param limits.isCall - whether it answers a call
   * @param limits.mayBeEmpty - whether no bytes are read as null
   * @throws {AnswerBoundError} if it is too long, or has too many values
   * @throws {SyntaxError} if it is not JSON
   */
  async read(
    body: AsyncIterable<Uint8Array>,
    limits: {
      readonly limit: number;
      readonly source: string;
      readonly isCall?: boolean;
      readonly mayBeEmpty?: boolean;
    },
  ): Promise<unknown> {
    const text = await this.clients.readText(body, limits);
    if (text === "" && limits.mayBeEmpty === true) {
      return null;
    }
    try {
      return parseBounded(text, ANSWER_VALUES);
    } catch (error) {
      if (error instanceof AnswerBoundError) {
        this.recordExceeded(error.bound, limits.source);
      }
      throw error;
    }
  }
}
