/** Watches one request's answer on its way to the caller. */
import type { Result } from "ts-results-es";
import type { IClock, IEngineToken } from "../services/services.ts";
import type { CallerAnswer, ICallerRequest } from "../services/types.ts";
import type { IRefusal, MonotonicTime, Outcome, Reason } from "../types.ts";

/**
 * Gaps noted of one stream; those beyond it are not counted. Engines
 * send tens of tokens a second, so that this is minutes of one stream.
 */
const MAXIMUM_GAPS = 4_096;

/** Tokens that came together, and how long each took on average. */
export interface ITokenGap {
  /** Milliseconds. */
  readonly gap: number;
  readonly tokens: number;
}

/** What a caller got, and when. */
export interface IRequestResult {
  readonly outcome: Outcome;
  /** Why there was no whole answer; null when there was. */
  readonly reason: Reason | null;
  readonly finishedAt: MonotonicTime;
  /** Milliseconds until the first token of a stream; null for others. */
  readonly firstToken: number | null;
  readonly gaps: readonly ITokenGap[];
}

type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** Follows one request; {@link finish} reports what became of it. */
export class RequestObserver {
  readonly #request: ICallerRequest;
  readonly #clock: IClock;
  readonly #report: (served: IRequestResult) => void;
  readonly #gaps: ITokenGap[] = [];
  #reason: Reason | null = null;
  #firstToken: number | null = null;

  constructor(
    request: ICallerRequest,
    clock: IClock,
    report: (served: IRequestResult) => void,
  ) {
    this.#request = request;
    this.#clock = clock;
    this.#report = report;
  }

  /** The same answer, timed as the caller takes it. */
  observeAnswer(
    answer: Result<CallerAnswer, IRefusal>,
  ): Result<CallerAnswer, IRefusal> {
    if (answer.isErr()) {
      this.#reason = answer.error.reason;
      return answer;
    }
    return answer.map((found) =>
      found.kind === "stream"
        ? {
            ...found,
            answer: {
              ...found.answer,
              tokens: this.#time(found.answer.tokens),
            },
          }
        : found,
    );
  }

  /** @param outcome - as written to the caller */
  finish(outcome: Outcome): void {
    this.#report({
      outcome,
      reason: this.#reason,
      finishedAt: this.#clock.now(),
      firstToken: this.#firstToken,
      gaps: this.#gaps,
    });
  }

  /**
   * A gap runs from when the next tokens were asked for, so that a caller who
   * reads slowly is not taken for an engine that writes slowly.
   */
  async *#time(tokens: AsyncIterable<TokenBatch>): AsyncIterable<TokenBatch> {
    let askedAt = this.#clock.now();
    for await (const batch of tokens) {
      const now = this.#clock.now();
      if (batch.isErr()) {
        this.#reason = batch.error.reason;
      } else if (this.#firstToken === null) {
        this.#firstToken = now - this.#request.arrivedAt;
      } else if (this.#gaps.length < MAXIMUM_GAPS && batch.value.length > 0) {
        const { length } = batch.value;
        this.#gaps.push({ gap: (now - askedAt) / length, tokens: length });
      }
      yield batch;
      askedAt = this.#clock.now();
    }
  }
}
