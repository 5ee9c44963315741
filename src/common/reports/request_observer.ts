/** Measures the answer to one request on its way to the caller. */
import type { Result } from "ts-results-es";
import type { IClock, IEngineToken } from "../services/services.ts";
import type { CallerAnswer, ICallerRequest } from "../services/types.ts";
import type { IRefusal, MonotonicTime, Outcome, Reason } from "../types.ts";

/**
 * Maximum gaps recorded per stream; later ones are not counted. Engines send
 * tens of tokens per second, so this covers minutes of a stream.
 */
const MAXIMUM_GAPS = 4_096;

/** Tokens that arrived together, with the average time of each. */
export interface ITokenGap {
  /** Average milliseconds per token. */
  readonly gap: number;
  readonly tokens: number;
}

/** The result of a request and its timing. */
export interface IRequestResult {
  readonly outcome: Outcome;
  /** Why there is no complete answer; null if there is one. */
  readonly reason: Reason | null;
  readonly finishedAt: MonotonicTime;
  /** Milliseconds until the first token of a stream; null for other answers. */
  readonly firstToken: number | null;
  readonly gaps: readonly ITokenGap[];
}

type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** Observes one request; {@link finish} reports its result. */
export class RequestObserver {
  readonly #request: ICallerRequest;
  readonly #clock: IClock;
  readonly #onFinish: (result: IRequestResult) => void;
  readonly #gaps: ITokenGap[] = [];
  #reason: Reason | null = null;
  #firstToken: number | null = null;

  constructor(
    request: ICallerRequest,
    clock: IClock,
    onFinish: (result: IRequestResult) => void,
  ) {
    this.#request = request;
    this.#clock = clock;
    this.#onFinish = onFinish;
  }

  /** Returns the same answer, timed as the caller reads it. */
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
              tokens: this.#timeTokens(found.answer.tokens),
            },
          }
        : found,
    );
  }

  /** @param outcome - the outcome that was sent to the caller */
  finish(outcome: Outcome): void {
    this.#onFinish({
      outcome,
      reason: this.#reason,
      finishedAt: this.#clock.now(),
      firstToken: this.#firstToken,
      gaps: this.#gaps,
    });
  }

  /**
   * A gap starts when the next tokens are requested, so that a slow reader is
   * not mistaken for a slow engine.
   */
  async *#timeTokens(
    tokens: AsyncIterable<TokenBatch>,
  ): AsyncIterable<TokenBatch> {
    let requestedAt = this.#clock.now();
    for await (const batch of tokens) {
      const now = this.#clock.now();
      if (batch.isErr()) {
        this.#reason = batch.error.reason;
      } else if (this.#firstToken === null) {
        this.#firstToken = now - this.#request.arrivedAt;
      } else if (this.#gaps.length < MAXIMUM_GAPS && batch.value.length > 0) {
        const { length } = batch.value;
        this.#gaps.push({ gap: (now - requestedAt) / length, tokens: length });
      }
      yield batch;
      requestedAt = this.#clock.now();
    }
  }
}
