/** The repeats of each service, counted in one process. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { RepeatAllowance } from "./repeat_allowance.ts";
import type { IRepeatBounds } from "./repeat_allowance.ts";

/** How the bounds are shared. */
export interface IRepeatSharing {
  /** How many processes share them. */
  readonly processes: () => number;
  /** When this process took another one's place; null at a first start. */
  readonly replacesAnotherSince: MonotonicTime | null;
}

/**
 * One {@link RepeatAllowance} a service. A process that has just taken another
 * one's place has no share of the slack: the one before it may have used it in
 * the same window.
 */
export class RepeatBook {
  readonly #bounds: IRepeatBounds;
  readonly #sharing: IRepeatSharing;
  readonly #allowances = new Map<ServiceName, RepeatAllowance>();

  constructor(bounds: IRepeatBounds, sharing: IRepeatSharing) {
    this.#bounds = bounds;
    this.#sharing = sharing;
  }

  firstSend(service: ServiceName, now: MonotonicTime): void {
    this.#of(service).firstSend(now);
  }

  take(service: ServiceName, now: MonotonicTime): boolean {
    const { processes, replacesAnotherSince } = this.#sharing;
    const hasShare =
      replacesAnotherSince === null ||
      now - replacesAnotherSince >= this.#bounds.window;
    const sharers = hasShare ? processes() : Number.POSITIVE_INFINITY;
    return this.#of(service).take(now, sharers);
  }

  #of(service: ServiceName): RepeatAllowance {
    let allowance = this.#allowances.get(service);
    if (allowance === undefined) {
      allowance = new RepeatAllowance(this.#bounds);
      this.#allowances.set(service, allowance);
    }
    return allowance;
  }
}
