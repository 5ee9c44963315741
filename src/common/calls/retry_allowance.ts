/**
 * Limits the retries of one service. When a domain fails or targets lose their
 * responses, each call is sent again. Together with the retries of the callers
 * themselves, the load doubles just when there is least capacity, and the
 * targets run mostly retries.
 *
 * The platform bounds the retries of all processes together in every window: a
 * ratio of the first sends, plus a slack. Each process keeps to the ratio of
 * its own first sends and to its share of the slack, so the total holds without
 * coordination. The first sends counted here can only be fewer than those in
 * the platform's count, which also includes calls that were never sent.
 */
import type { MonotonicTime } from "../types.ts";

/** The platform's bound on retries. */
export interface IRetryBounds {
  /** Retries for each first send. */
  readonly ratio: number;
  /** Milliseconds. */
  readonly window: number;
  /** Retries in a window beyond the ratio. */
  readonly slack: number;
}

/** Share of the bound that is used, since sends in transit are counted late. */
const USED_SHARE = 0.85;

/** A first send or a retry within the window. */
interface ISendRecord {
  readonly at: MonotonicTime;
  readonly isRetry: boolean;
}

/** The retries of one service in one process. */
export class RetryAllowance {
  readonly #bounds: IRetryBounds;
  #sends: ISendRecord[] = [];
  #retries = 0;

  constructor(bounds: IRetryBounds) {
    this.#bounds = bounds;
  }

  recordFirstSend(now: MonotonicTime): void {
    this.#expire(now);
    this.#sends.push({ at: now, isRetry: false });
  }

  /**
   * Takes one retry from the allowance.
   *
   * @param processes - number of processes that share the slack
   * @returns whether the retry may be sent
   */
  tryTake(now: MonotonicTime, processes: number): boolean {
    this.#expire(now);
    const first = this.#sends.length - this.#retries;
    const { ratio, slack } = this.#bounds;
    const share = slack / Math.max(1, processes);
    if (this.#retries + 1 > (ratio * first + share) * USED_SHARE) {
      return false;
    }
    this.#sends.push({ at: now, isRetry: true });
    this.#retries += 1;
    return true;
  }

  #expire(now: MonotonicTime): void {
    const since = now - this.#bounds.window;
    let expired = 0;
    while ((this.#sends[expired]?.at ?? now) < since) {
      this.#retries -= this.#sends[expired]?.isRetry ? 1 : 0;
      expired += 1;
    }
    if (expired > 0) {
      this.#sends = this.#sends.slice(expired);
    }
  }
}
