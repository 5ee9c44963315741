/** The retry allowances of all services in one process. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { RetryAllowance } from "./retry_allowance.ts";
import type { IRetryBounds } from "./retry_allowance.ts";

/** How the retry bounds are shared between processes. */
export interface IRetrySharing {
  /** Number of processes that share the bounds. */
  readonly processes: () => number;
  /** When this process replaced another; null at a first start. */
  readonly replacesAnotherSince: MonotonicTime | null;
}

/**
 * One {@link RetryAllowance} per service. A process that has just replaced
 * another has no share of the slack for one window, since its predecessor may
 * have used it in the same window.
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
