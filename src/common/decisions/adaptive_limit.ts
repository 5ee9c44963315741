/**
 * How many requests a target may have at once. Pattern of load: with
 * continuous batching each further request makes all tokens of the target
 * later, and past its memory requests queue inside it, out of this program's
 * hands. Without a limit saturation shows as answers that are all too late;
 * with a fixed one either that, or idle accelerators, since the right number
 * depends on model and machine. The limit rises while tokens come in time and
 * the limit was in use, and falls when too many are late.
 *
 * A target new to service begins low and rises by half: its caches are cold, and
 * every daemon sees it as the idlest at once.
 *
 * Thresholds: the users' aims are 0.82 s to the first token and 58 ms between
 * tokens for 95 in 100.
 */
import type { MonotonicTime } from "../types.ts";
import type { IWorkItem } from "./work_item.ts";

/** Time to a first token that is still good, milliseconds. */
export const FIRST_TOKEN_OBJECTIVE = 820;

/** Time between tokens that is still good, milliseconds. */
export const TOKEN_GAP_OBJECTIVE = 58;

/**
 * Time between tokens above which the limit falls. Fallen at the aim itself, a
 * saturated target would serve far fewer requests, since a larger batch makes
 * more tokens in all. At twice the aim text still comes faster than it is read;
 * a batch that goes past it gives hardly more tokens.
 */
const TOKEN_GAP_BOUND = 2 * TOKEN_GAP_OBJECTIVE;

/**
 * Time inside the target before the first token above which the limit falls:
 * half the aim, the other half is for waiting here. Longer prompts get more.
 */
export const FIRST_TOKEN_BOUND = FIRST_TOKEN_OBJECTIVE / 2;
const BOUND_PER_PROMPT_TOKEN = 0.2;

/** Share of the time to its deadline that work may spend running. */
const RUN_SHARE = 0.7;

/** Share of late tokens above which the limit falls. */
const LATE_GAP_SHARE = 0.05;

/** The same for first tokens, of which a window has only a few. */
const LATE_FIRST_SHARE = 0.25;

/** How long samples are collected before the limit may change, ms. */
const WINDOW = 500;

/**
 * First tokens, come or overdue, without which a window is no evidence. Times
 * between tokens alone are none: they stay good while a queue grows inside.
 */
const MINIMUM_FIRST_TOKENS = 3;

/** Limit of a target new to service, requests. */
export const STARTING_LIMIT = 8;

const SMALLEST_LIMIT = 2;
const LARGEST_LIMIT = 256;

/** Factor of a fall. */
const FALL = 0.92;

/** Factor of a rise while nothing was late yet, and after. */
const RAMP = 1.5;
const RISE = 1.05;

/** Share of the limit that must have been in use before it rises. */
const IN_USE_SHARE = 0.8;

/** Milliseconds a first token may take. */
export function firstTokenBound(promptTokens: number): number {
  return FIRST_TOKEN_BOUND + promptTokens * BOUND_PER_PROMPT_TOKEN;
}

/**
 * Milliseconds a later token may take: a batch in which work cannot be whole
 * by its deadline is too large for it. Without this a target filled up until
 * even an account with nothing waiting was refused, since no request could
 * have been answered in time any more.
 */
export function tokenGapBound(work: IWorkItem): number {
  const available = (work.deadline - work.arrivedAt) * RUN_SHARE;
  return Math.min(TOKEN_GAP_BOUND, available / work.askedTokens);
}

/** The limit of one target. */
export class AdaptiveLimit {
  #limit = STARTING_LIMIT;
  #isRamping = true;
  #changedAt: MonotonicTime = 0;
  #firstTokens = { samples: 0, late: 0 };
  #gaps = { samples: 0, late: 0 };
  #highest = 0;

  /** Requests the target may have now. */
  get value(): number {
    return this.#limit;
  }

  /**
   * A first token came, or is overdue. Requests sent before the limit last
   * changed say nothing of the present one: counting them makes it fall again
   * and again while the target still works off what it had.
   */
  recordFirstToken(
    isLate: boolean,
    sentAt: MonotonicTime,
    now: MonotonicTime,
  ): void {
    if (sentAt >= this.#changedAt) {
      this.#firstTokens.samples += 1;
      this.#firstTokens.late += isLate ? 1 : 0;
      this.#endWindow(now);
    }
  }

  /** A later token came. */
  recordTokenGap(isLate: boolean, now: MonotonicTime): void {
    this.#gaps.samples += 1;
    this.#gaps.late += isLate ? 1 : 0;
    this.#endWindow(now);
  }

  /** The target has this much work: a limit not in use does not rise. */
  recordLoad(load: number): void {
    this.#highest = Math.max(this.#highest, load);
  }

  #endWindow(now: MonotonicTime): void {
    const isFull = now - this.#changedAt >= WINDOW;
    if (isFull && this.#firstTokens.samples >= MINIMUM_FIRST_TOKENS) {
      this.#adapt();
      this.#changedAt = now;
      this.#firstTokens = { samples: 0, late: 0 };
      this.#gaps = { samples: 0, late: 0 };
      this.#highest = 0;
    }
  }

  /**
   * Goes by the load that was there, not by the old limit: several daemons
   * share a target, and one that saw more there, all in time, has learned.
   */
  #adapt(): void {
    if (this.#isLate()) {
      this.#isRamping = false;
      const present = Math.min(this.#limit, this.#highest);
      this.#limit = Math.max(SMALLEST_LIMIT, present * FALL);
    } else if (this.#highest >= this.#limit * IN_USE_SHARE) {
      const present = Math.max(this.#limit, this.#highest);
      const raised = present * (this.#isRamping ? RAMP : RISE);
      this.#limit = Math.min(LARGEST_LIMIT, raised);
    }
  }

  #isLate(): boolean {
    const { late, samples } = this.#firstTokens;
    return (
      this.#gaps.late > this.#gaps.samples * LATE_GAP_SHARE ||
      late > Math.max(1, samples * LATE_FIRST_SHARE)
    );
  }
}
