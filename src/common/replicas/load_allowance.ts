/**
 * Bounds the loads from the weight store. Pattern of load: a domain comes back
 * or many instances arrive, and each needs weights at once; the store then
 * serves all slowly, those of a group that callers wait for among them. The
 * platform bounds the loads that begin in any window, over all processes.
 *
 * A new holder does not know what its predecessor began, so each uses less
 * than half of the bound. Loads before the first caller's request are free.
 */
import type { MonotonicTime } from "../types.ts";

/** The platform's bound on loads. */
export interface ILoadBounds {
  /** Milliseconds. */
  readonly window: number;
  readonly factor: number;
}

/** Part of the bound for one holder: two may act within a window. */
const HOLDER_SHARE = 0.45;

/** Loads that the platform allows on top in each window. */
const EXTRA_LOADS = 3;

const MILLISECONDS_A_SECOND = 1_000;

/** The loads that one holder began. */
export class LoadAllowance {
  readonly #bounds: ILoadBounds;
  #startedAt: MonotonicTime[] = [];

  constructor(bounds: ILoadBounds) {
    this.#bounds = bounds;
  }

  /** How many may begin now, at a store's rate of loads a second. */
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
