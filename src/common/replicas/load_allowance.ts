/**
 * Limits the loads from the weight store. When a domain comes back or many
 * instances arrive, each needs weights at once, and the store serves all of
 * them slowly, including those of a group that callers wait for. The platform
 * bounds the loads that begin in any window, over all processes.
 *
 * A new holder does not know which loads its predecessor began, so each uses
 * less than half of the bound. Loads before the first caller's request do not
 * count.
 */
import type { MonotonicTime } from "../types.ts";

/** The platform's bound on loads. */
export interface ILoadBounds {
  /** Milliseconds. */
  readonly window: number;
  /** Loads allowed, as a multiple of those the store can serve in a window. */
  readonly factor: number;
}

/** Share of the bound for one holder, since two may act within a window. */
const HOLDER_SHARE = 0.45;

/** Additional loads that the platform allows in each window. */
const EXTRA_LOADS = 3;

const MILLISECONDS_A_SECOND = 1_000;

/** Counts the loads that one holder began. */
export class LoadAllowance {
  readonly #bounds: ILoadBounds;
  #startedAt: MonotonicTime[] = [];

  constructor(bounds: ILoadBounds) {
    this.#bounds = bounds;
  }

  /**
   * Returns how many loads may begin now.
   *
   * @param loadsPerSecond - rate of the weight store
   */
  remaining(loadsPerSecond: number, now: MonotonicTime): number {
    const { window, factor } = this.#bounds;
    this.#startedAt = this.#startedAt.filter((at) => now - at < window);
    const seconds = window / MILLISECONDS_A_SECOND;
    const bound = loadsPerSecond * seconds * factor + EXTRA_LOADS;
    return Math.floor(bound * HOLDER_SHARE) - this.#startedAt.length;
  }

  recordLoad(now: MonotonicTime): void {
    this.#startedAt.push(now);
  }
}
