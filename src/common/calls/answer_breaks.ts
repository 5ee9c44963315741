/** What operators learn of answers that are broken off. */
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import { Occurrences } from "./occurrences.ts";

/** How the connection ended within an answer. */
export enum AnswerBreak {
  Close = "close",
  Reset = "reset",
  /** It was closed before the request was written. */
  Unread = "unread",
}

/** An answer that was broken off after its head. */
export interface IBrokenAnswer {
  readonly end: AnswerBreak;
  /** Address of the target, store or process that answered. */
  readonly source: string;
  /** Whether the answer has a length or chunks. */
  readonly hasLength: boolean;
  /** Bytes written on the connection. */
  readonly sent: number;
  /** Bytes of the request that were still to be written. */
  readonly unsent: number;
}

/** Records each answer that is broken off. */
export interface IAnswerBreakRecorder {
  record(answer: IBrokenAnswer): void;
}

/** Records nothing. */
export const NO_BREAK_RECORDER: IAnswerBreakRecorder = {
  record: () => undefined,
};

/** Counts broken answers, and logs each source once a second at most. */
export class AnswerBreakRecorder implements IAnswerBreakRecorder {
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

  record({ end, source, hasLength, sent, unsent }: IBrokenAnswer): void {
    this.#metrics.count("answers_broken_off", { end });
    const count = this.#occurrences.count(`${end} ${source}`);
    if (count !== null) {
      this.#log.warn("answer_broken_off", {
        ...{ end, source, has_length: hasLength, sent, unsent, count },
      });
    }
  }
}
