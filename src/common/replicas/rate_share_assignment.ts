/**
 * Assigns the request limits of targets to processes.
 *
 * An even part for each process would leave most of a small limit unused or
 * exceed it: a process cannot send a fraction of a request. So each limit goes
 * to as many processes as get a usable share of it. Assignments are kept while
 * their processes are known, since a share that moves starts from zero.
 */
import { PROBE_RATE } from "../calls/target_rate_limits.ts";
import type { RateShares } from "../calls/target_rate_limits.ts";
import type { InstanceId } from "../types.ts";

/** Smallest share that a limit is divided into, requests per second. */
const MIN_SHARE = 1;

/** Keeps which processes may send requests to limited targets. */
export class RateShareAssignment {
  /** By target, the names of the processes that share its limit. */
  readonly #processes = new Map<InstanceId, readonly string[]>();
  #rates: ReadonlyMap<InstanceId, number> = new Map();

  /**
   * @param rates - requests per second of all processes, by target
   * @param processes - names of the processes that may get shares
   */
  update(
    rates: ReadonlyMap<InstanceId, number>,
    processes: readonly string[],
  ): void {
    this.#rates = rates;
    for (const target of this.#processes.keys()) {
      if (!rates.has(target)) {
        this.#processes.delete(target);
      }
    }
    for (const [target, rate] of rates) {
      const count = Math.min(
        processes.length,
        Math.max(1, Math.floor(rate / MIN_SHARE)),
      );
      const kept = (this.#processes.get(target) ?? [])
        .filter((process) => processes.includes(process))
        .slice(0, count);
      const others = processes.filter((process) => !kept.includes(process));
      const added = this.#byAssignments(others).slice(0, count - kept.length);
      this.#processes.set(target, [...kept, ...added]);
    }
  }

  /** Requests per second that a process may send; 0 without a share. */
  sharesOf(process: string): RateShares {
    const shares: Record<InstanceId, number> = {};
    for (const [target, processes] of this.#processes) {
      const rate = Math.max(PROBE_RATE, this.#rates.get(target) ?? 0);
      const isAssigned = processes.includes(process);
      shares[target] = isAssigned ? rate / processes.length : 0;
    }
    return shares;
  }

  /** Processes with the fewest assignments first. */
  #byAssignments(processes: readonly string[]): readonly string[] {
    const counts = new Map<string, number>();
    for (const assigned of this.#processes.values()) {
      for (const process of assigned) {
        counts.set(process, (counts.get(process) ?? 0) + 1);
      }
    }
    return [...processes].sort(
      (one, other) => (counts.get(one) ?? 0) - (counts.get(other) ?? 0),
    );
  }
}
