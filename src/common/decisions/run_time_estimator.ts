/**
 * Estimates how long work takes once it is sent, from the recent answers of the
 * service. Without an estimate a deadline could be checked only after it has
 * passed, and target time would be spent on answers that nobody waits for.
 */
import type { IWorkItem } from "./work_item.ts";

/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.02;

/**
 * Caps of the times learned before an idle period, milliseconds: well within
 * the latency objectives of 820 and 58.
 */
const FIRST_TOKEN_WHEN_IDLE = 200;
const TOKEN_GAP_WHEN_IDLE = 20;

/**
 * How much longer an answer may be than the longest recent one. The number of
 * tokens that callers request is only a bound, and many always request the
 * maximum: counted in full, their requests would be refused although their
 * answers are short.
 */
const ANSWER_LENGTH_FACTOR = 1.5;

/** Share by which the longest answer seen decays with each answer. */
const LONGEST_ANSWER_DECAY = 0.001;

/**
 * Share added to the estimate, since work that arrives later slows down running
 * work. With 0.15 twice as many answers were late at saturation; with 0.35 ten
 * times as many requests were refused only after having waited.
 */
const MARGIN = 0.25;

/**
 * Moving averages of the service's times. They are 0 until the first samples,
 * so that work is admitted and the times are learned from it.
 */
export class RunTimeEstimator {
  #firstToken = 0;
  #tokenGap = 0;
  /** Tokens of an answer as a share of those requested. */
  #answerShare = 1;
  #longestAnswer = 0;

  /**
   * Caps the learned times when nothing is running, since they may be outdated.
   * Otherwise times learned in an overload would refuse all work, and no new
   * times would ever be learned.
   */
  capWhenIdle(): void {
    this.#firstToken = Math.min(this.#firstToken, FIRST_TOKEN_WHEN_IDLE);
    this.#tokenGap = Math.min(this.#tokenGap, TOKEN_GAP_WHEN_IDLE);
  }

  recordFirstToken(milliseconds: number): void {
    this.#firstToken += (milliseconds - this.#firstToken) * NEWEST_WEIGHT;
  }

  recordTokenGap(milliseconds: number): void {
    this.#tokenGap += (milliseconds - this.#tokenGap) * NEWEST_WEIGHT;
  }

  /** Records the length of a complete answer against the tokens requested. */
  recordAnswer(tokens: number, requested: number): void {
    const kept = this.#longestAnswer * (1 - LONGEST_ANSWER_DECAY);
    this.#longestAnswer = Math.max(kept, tokens);
    const share = Math.min(1, tokens / requested);
    this.#answerShare += (share - this.#answerShare) * NEWEST_WEIGHT;
  }

  /** Expected milliseconds from sending the work to its complete answer. */
  estimate(work: IWorkItem): number {
    const tokens = Math.min(
      work.requestedTokens * this.#answerShare,
      this.#longestAnswer * ANSWER_LENGTH_FACTOR,
    );
    return this.#firstToken + tokens * this.#tokenGap;
  }

  /** The estimate with a margin, for checking deadlines. */
  estimateWithMargin(work: IWorkItem): number {
    return this.estimate(work) * (1 + MARGIN);
  }
}
