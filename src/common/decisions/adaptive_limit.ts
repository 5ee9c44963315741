/**
 * Adaptive limit of the requests a target may have at once. With continuous
 * batching each further request delays all tokens of the target, and beyond its
 * memory requests queue inside it, where this program cannot control them.
 * Without a limit, saturation makes all answers too late; a fixed limit causes
 * either that or idle accelerators, since the right number depends on the model
 * and the machine. The limit rises while tokens are on time and the limit is in
 * use, and falls when too many are late.
 *
 * A target new to service starts with a low limit that rises by half at a time:
 * its caches are cold, and every daemon sees it as the least loaded at once.
 *
 * The thresholds follow from the latency objectives of 0.82 s to the first
 * token and 58 ms between tokens for 95 in 100.
 */
import type { MonotonicTime } from "../types.ts";
import type { IWorkItem } from "./work_item.ts";

/** Objective for the time to the first token, milliseconds. */
export const FIRST_TOKEN_OBJECTIVE = 820;

/** Objective for the time between tokens, milliseconds. */
export const TOKEN_GAP_OBJECTIVE = 58;

/**
 * Time between tokens above which the limit falls, milliseconds. If it fell at
 * the objective itself, a saturated target would serve far fewer requests,
 * since a larger batch generates more tokens in total. At twice the objective
 * text still arrives faster than it is read, and a batch beyond that adds
 * hardly any tokens.
 */
const TOKEN_GAP_BOUND = 2 * TOKEN_GAP_OBJECTIVE;

/**
 * Time inside the target before the first token above which the limit falls,
 * milliseconds: half the objective, since the other half is for queueing here.
 */
export const FIRST_TOKEN_BOUND = FIRST_TOKEN_OBJECTIVE / 2;

/** Added to that bound for each prompt token, milliseconds. */
const BOUND_PER_PROMPT_TOKEN = 0.2;

/**
 * Share of the time from a request's arrival to its deadline that it may spend
 * running.
 */
const RUN_SHARE = 0.7;

/** Share of late tokens above which the limit falls. */
const LATE_GAP_SHARE = 0.05;

/** The same for first tokens, of which a window has only a few. */
const LATE_FIRST_TOKEN_SHARE = 0.25;

/** How long samples are collected before the limit may change, milliseconds. */
const WINDOW = 500;

/**
 * First tokens, received or overdue, that a window needs to count as evidence.
 * Times between tokens alone are not enough: they stay good while a queue grows
 * inside the target.
 */
const MINIMUM_FIRST_TOKENS = 3;

/** Limit of a target new to service, requests. */
export const STARTING_LIMIT = 8;

/** Bounds of the limit, requests. */
const SMALLEST_LIMIT = 2;
const LARGEST_LIMIT = 256;

/** Factor by which the limit falls. */
const FALL_FACTOR = 0.92;

/** Factors by which the limit rises before the first late window, and after. */
const RAMP_FACTOR = 1.5;
const RISE_FACTOR = 1.05;

/** Share of the limit that must have been in use before it rises. */
const IN_USE_SHARE = 0.8;

/** Milliseconds after which a first token is late. */
export function firstTokenBound(promptTokens: number): number {
  return FIRST_TOKEN_BOUND + promptTokens * BOUND_PER_PROMPT_TOKEN;
}

/**
 * Milliseconds after which a later token is late. A batch in which a request
 * cannot complete by its deadline is too large for that request. Without this
 * bound a target fills up until no request could complete in time, and even an
 * account with nothing queued is refused.
 */
export function tokenGapBound(work: IWorkItem): number {
  const available = (work.deadline - work.arrivedAt) * RUN_SHARE;
  return Math.min(TOKEN_GAP_BOUND, available / work.requestedTokens);
}

/** The adaptive limit of one target. */
export class AdaptiveLimit {
  #limit = STARTING_LIMIT;
  #isRamping = true;
  #changedAt: MonotonicTime = 0;
  #firstTokens = { samples: 0, late: 0 };
  #gaps = { samples: 0, late: 0 };
  #highestLoad = 0;

  /** Requests the target may have now. */
  get value(): number {
    return this.#limit;
  }

  /**
   * Records a first token, received or overdue. Requests sent before the last
   * change of the limit say nothing about the current one: counting them would
   * lower it again and again while the target still drains its backlog.
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

  recordTokenGap(isLate: boolean, now: MonotonicTime): void {
    this.#gaps.samples += 1;
    this.#gaps.late += isLate ? 1 : 0;
    this.#endWindow(now);
  }

  /** Records the target's load: a limit that is not in use does not rise. */
  recordLoad(load: number): void {
    this.#highestLoad = Math.max(this.#highestLoad, load);
  }

  #endWindow(now: MonotonicTime): void {
    const isFull = now - this.#changedAt >= WINDOW;
    if (isFull && this.#firstTokens.samples >= MINIMUM_FIRST_TOKENS) {
      this.#adapt();
      this.#changedAt = now;
      this.#firstTokens = { samples: 0, late: 0 };
      this.#gaps = { samples: 0, late: 0 };
      this.#highestLoad = 0;
    }
  }

  /**
   * Adapts from the observed load, not from the old limit: several daemons
   * share a target, so the load there may be higher than this daemon's limit.
   */
  #adapt(): void {
    if (this.#isLate()) {
      this.#isRamping = false;
      const base = Math.min(this.#limit, this.#highestLoad);
      this.#limit = Math.max(SMALLEST_LIMIT, base * FALL_FACTOR);
    } else if (this.#highestLoad >= this.#limit * IN_USE_SHARE) {
      const base = Math.max(this.#limit, this.#highestLoad);
      const raised = base * (this.#isRamping ? RAMP_FACTOR : RISE_FACTOR);
      this.#limit = Math.min(LARGEST_LIMIT, raised);
    }
  }

  #isLate(): boolean {
    const { late, samples } = this.#firstTokens;
    return (
      this.#gaps.late > this.#gaps.samples * LATE_GAP_SHARE ||
      late > Math.max(1, samples * LATE_FIRST_TOKEN_SHARE)
    );
  }
}
