/**
 * Bounds on what others answer, and what operators learn of those that are met.
 */
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import { Occurrences } from "./occurrences.ts";

/** What an answer exceeded. */
export enum AnswerBound {
  /** Bytes of its content. */
  Length = "length",
  /** Bytes beside its content: heads, framing, or no answer at all. */
  Framing = "framing",
  /** Fields of its head. */
  Fields = "fields",
  /** The memory of all answers. */
  Memory = "memory",
  /** Bytes of one event of a stream. */
  Event = "event",
  /** Values of a JSON text, or their depth. */
  Values = "values",
}

/** The answer exceeds a bound; the other side may have acted. */
export class AnswerBoundError extends Error {
  readonly code = "ANSWER_BOUND";
  readonly bound: AnswerBound;

  constructor(bound: AnswerBound) {
    super(`the answer exceeds the bound on its ${bound}`);
    this.bound = bound;
  }
}

/** Told of each bound that an answer meets. */
export interface IAnswerBoundRecorder {
  /** @param source - address of the target, store or process that answered */
  record(bound: AnswerBound, source: string): void;
}

/** Records nothing. */
export const NO_BOUND_RECORDER: IAnswerBoundRecorder = {
  record: () => undefined,
};

/** Counts the bounds that are met, and logs each source once a second at most. */
export class AnswerBoundRecorder implements IAnswerBoundRecorder {
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  readonly #occurrences: Occurrences;

  constructor(parts: {
    readonly clock: IClock;
    readonly log: ILog;
    readonly metrics: IMetrics;
  }) {
    this.#log = parts.log;
    this.#metrics = parts.metrics;
    this.#occurrences = new Occurrences(parts.clock);
  }

  record(bound: AnswerBound, source: string): void {
    this.#metrics.count("answers_cut", { bound });
    const count = this.#occurrences.count(`${bound} ${source}`);
    if (count !== null) {
      this.#log.warn("answer_cut", { bound, source, count });
    }
  }
}
