/** The repeats of each service, counted in one process. */
import type { MonotonicTime, ServiceName } from "../types.ts";
import { RepeatAllowance } from "./repeat_allowance.ts";
import type { IRepeatBounds } from "./repeat_allowance.ts";

/** One {@link RepeatAllowance} a service. */
export class RepeatBook {
  readonly #bounds: IRepeatBounds;
  readonly #processes: () => number;
  readonly #allowances = new Map<ServiceName, RepeatAllowance>();

  /** @param processes - how many processes share the bounds */
  constructor(bounds: IRepeatBounds, processes: () => number) {
    this.#bounds = bounds;
    this.#processes = processes;
  }

  firstSend(service: ServiceName, now: MonotonicTime): void {
    this.#of(service).firstSend(now);
  }

  take(service: ServiceName, now: MonotonicTime): boolean {
    return this.#of(service).take(now, this.#processes());
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
