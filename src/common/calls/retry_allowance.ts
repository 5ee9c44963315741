/**
 * How often a service's calls may be sent once more. Pattern of load: a domain
 * goes dark, or targets lose their answers, and each call is sent again; with
 * callers that repeat by themselves the load doubles just when there is least
 * to serve it. One would notice by targets that run mostly repeats.
 *
 * The platform bounds repeats over all processes together and over every span
 * of its window: a ratio of the first sends, and some besides. Each process
 * keeps to the ratio of its own first sends and to its share of the rest, so
 * the sum holds without a word between them. First sends are counted over the
 * same span, in which they can only be fewer than the bound's own count, which
 * also takes calls that were never sent.
 */
import type { MonotonicTime } from "../types.ts";

/** The platform's bound on repeats. */
export interface IRetryBounds {
  readonly ratio: number;
  /** Milliseconds. */
  readonly window: number;
  readonly slack: number;
}

/** Part of the bound that is used: sends on their way are counted late. */
const USED_PART = 0.85;

/** A first send or a repeat that still counts. */
interface ISent {
  readonly at: MonotonicTime;
  readonly isRepeat: boolean;
}

/** The repeats of one service in one process. */
export class RetryAllowance {
  readonly #bounds: IRetryBounds;
  #sent: ISent[] = [];
  #repeats = 0;

  constructor(bounds: IRetryBounds) {
    this.#bounds = bounds;
  }

  recordFirstSend(now: MonotonicTime): void {
    this.#expire(now);
    this.#sent.push({ at: now, isRepeat: false });
  }

  /**
   * Takes one repeat.
   *
   * @param processes How many share the slack.
   * @returns Whether it may be sent.
   */
  tryTake(now: MonotonicTime, processes: number): boolean {
    this.#expire(now);
    const first = this.#sent.length - this.#repeats;
    const { ratio, slack } = this.#bounds;
    const share = slack / Math.max(1, processes);
    if (this.#repeats + 1 > (ratio * first + share) * USED_PART) {
      return false;
    }
    this.#sent.push({ at: now, isRepeat: true });
    this.#repeats += 1;
    return true;
  }

  #expire(now: MonotonicTime): void {
    const since = now - this.#bounds.window;
    let expired = 0;
    while ((this.#sent[expired]?.at ?? now) < since) {
      this.#repeats -= this.#sent[expired]?.isRepeat ? 1 : 0;
      expired += 1;
    }
    if (expired > 0) {
      this.#sent = this.#sent.slice(expired);
    }
  }
}
