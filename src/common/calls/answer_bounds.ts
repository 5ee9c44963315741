/**
 * Bounds on what others answer, and what operators learn of those that are met.
 */
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";

/** Shortest time between two lines on a bound and a source, milliseconds. */
const LINE_PERIOD = 1_000;

/** Bounds and sources that are counted apart; beyond it counts begin anew. */
const MAXIMUM_COUNTS = 1_000;

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

interface IOccurrences {
  count: number;
  loggedAt: MonotonicTime;
}

/** Counts the bounds that are met, and logs each source once a second at most. */
export class AnswerBoundRecorder implements IAnswerBoundRecorder {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #metrics: IMetrics;
  readonly #occurrences = new Map<string, IOccurrences>();

  constructor(parts: {
    readonly clock: IClock;
    readonly log: ILog;
    readonly metrics: IMetrics;
  }) {
    this.#clock = parts.clock;
    this.#log = parts.log;
    this.#metrics = parts.metrics;
  }

  record(bound: AnswerBound, source: string): void {
    const now = this.#clock.now();
    const seen = this.#occurrencesOf(`${bound} ${source}`);
    seen.count += 1;
    this.#metrics.count("answers_cut", { bound });
    if (now - seen.loggedAt >= LINE_PERIOD) {
      this.#log.warn("answer_cut", { bound, source, count: seen.count });
      seen.count = 0;
      seen.loggedAt = now;
    }
  }

  #occurrencesOf(key: string): IOccurrences {
    const seen = this.#occurrences.get(key);
    if (seen !== undefined) {
      return seen;
    }
    if (this.#occurrences.size >= MAXIMUM_COUNTS) {
      this.#occurrences.clear();
    }
    const first = { count: 0, loggedAt: Number.NEGATIVE_INFINITY };
    this.#occurrences.set(key, first);
    return first;
  }
}
