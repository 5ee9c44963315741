/** The repeats of each service, counted in one process. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { RetryAllowance } from "./retry_allowance.ts";
import type { IRetryBounds } from "./retry_allowance.ts";

/** How the bounds are shared. */
export interface IRetrySharing {
  /** How many processes share them. */
  readonly processes: () => number;
  /** When this process took another one's place; null at a first start. */
  readonly replacesAnotherSince: MonotonicTime | null;
}

/**
 * One {@link RetryAllowance} a service. A process that has just taken another
 * one's place has no share of the slack: the one before it may have used it in
 * the same window.
 */
export class ServiceRetryAllowances {
  readonly #bounds: IRetryBounds;
  readonly #sharing: IRetrySharing;
  readonly #allowances = new Map<ServiceName, RetryAllowance>();

  constructor(bounds: IRetryBounds, sharing: IRetrySharing) {
    this.#bounds = bounds;
    this.#sharing = sharing;
  }

  recordFirstSend(service: ServiceName, now: MonotonicTime): void {
    this.#of(service).recordFirstSend(now);
  }

  tryTake(service: ServiceName, now: MonotonicTime): boolean {
    const { processes, replacesAnotherSince } = this.#sharing;
    const hasShare =
      replacesAnotherSince === null ||
      now - replacesAnotherSince >= this.#bounds.window;
    const sharers = hasShare ? processes() : Number.POSITIVE_INFINITY;
    return this.#of(service).tryTake(now, sharers);
  }

  #of(service: ServiceName): RetryAllowance {
    let allowance = this.#allowances.get(service);
    if (allowance === undefined) {
      allowance = new RetryAllowance(this.#bounds);
      this.#allowances.set(service, allowance);
    }
    return allowance;
  }
}
