/**
 * How long work will take once it is sent, by what the service did lately.
 * Without it a deadline could be checked only when it has passed, and target
 * time is spent on answers that nobody waits for any more.
 */
import type { IWorkItem } from "./work_item.ts";

/** Weight of the newest sample. */
const NEWEST_WEIGHT = 0.02;

/**
 * What is kept at most of times learned before an idle spell, milliseconds:
 * well within the users' aims of 820 and 58.
 */
const FIRST_TOKEN_WHEN_IDLE = 200;
const TOKEN_GAP_WHEN_IDLE = 20;

/**
 * How far an answer may be longer than the longest seen lately. What callers
 * ask for is only a bound, and many always ask for the most: counted in full,
 * their requests would be refused although their answers are short.
 */
const LONGER_THAN_SEEN = 1.5;

/** How fast the longest answer seen is forgotten, a share an answer. */
const FORGOTTEN = 0.001;

/**
 * Added to the estimate, as a share: work that arrives later slows what runs.
 * With 0.15 twice as many answers were late at saturation, with 0.35 ten times
 * as many requests were refused only after having waited.
 */
const MARGIN = 0.25;

/**
 * The service's own times, as moving averages. While nothing is known yet they
 * are 0: work is let in and the times are learned from it.
 */
export class RunTimeEstimator {
  #firstToken = 0;
  #tokenGap = 0;
  #answerShare = 1;
  #longestAnswer = 0;

  /**
   * Nothing runs: what was learned may be long past. Without this, times
   * learned in an overload refuse all work, and nothing is ever learned again.
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

  /** An answer is whole with this many of the tokens asked. */
  recordAnswer(tokens: number, asked: number): void {
    const kept = this.#longestAnswer * (1 - FORGOTTEN);
    this.#longestAnswer = Math.max(kept, tokens);
    const share = Math.min(1, tokens / asked);
    this.#answerShare += (share - this.#answerShare) * NEWEST_WEIGHT;
  }

  /** Milliseconds from being sent to the whole answer, as expected. */
  estimate(work: IWorkItem): number {
    const tokens = Math.min(
      work.askedTokens * this.#answerShare,
      this.#longestAnswer * LONGER_THAN_SEEN,
    );
    return this.#firstToken + tokens * this.#tokenGap;
  }

  /** The same with a margin, for promises. */
  estimateWithMargin(work: IWorkItem): number {
    return this.estimate(work) * (1 + MARGIN);
  }
}
