/**
 * Chooses among the targets of a plain service. If one of three targets goes
 * silent or fails part of its calls while its health check succeeds, a third of
 * the calls would wait for their deadline, and the error rate would be close to
 * one over the number of targets.
 *
 * The target with the lowest load is chosen. A target that left a call without
 * a response, or failed several in a row, is ejected for a time that doubles up
 * to a bound, and the next call afterwards tests it. If all are ejected, they
 * stay in use, since the cause is then more likely in this process or the
 * network.
 */
import type { InstanceId, MonotonicTime, ZoneName } from "../types.ts";
import type { IListedTarget, ITargetLoad } from "./types.ts";

/** First and longest time of an ejection, milliseconds. */
const FIRST_EJECTION_TIME = 500;
const LONGEST_EJECTION_TIME = 4_000;

/** Consecutive failures that eject a target; healthy ones have fewer. */
const CONSECUTIVE_FAILURES = 4;

/** Share of the slots by which another zone's target must be emptier. */
const OTHER_ZONE_HANDICAP = 0.25;

/** How long the load reported in a response is used, milliseconds. */
const LOAD_LIFETIME = 500;

interface IPlainTargetState {
  inFlight: number;
  consecutiveFailures: number;
  ejectionTime: number;
  ejectedUntil: MonotonicTime;
  load: ITargetLoad | null;
  loadReportedAt: MonotonicTime;
}

/** The load and the recent failures of the plain targets, in one process. */
export class PlainTargetSelector {
  readonly #states = new Map<InstanceId, IPlainTargetState>();

  /**
   * The target to send to; null if there is none.
   *
   * @param excluded - targets that this call was already sent to
   */
  choose(
    targets: readonly IListedTarget[],
    options: {
      readonly zone: ZoneName;
      readonly excluded: ReadonlySet<InstanceId>;
      readonly now: MonotonicTime;
    },
  ): IListedTarget | null {
    const { zone, excluded, now } = options;
    const untried = targets.filter(({ id }) => !excluded.has(id));
    const healthy = untried.filter(
      ({ id }) => this.#stateOf(id).ejectedUntil <= now,
    );
    const candidates = healthy.length > 0 ? healthy : untried;
    let best: IListedTarget | null = null;
    let lowest = Number.POSITIVE_INFINITY;
    for (const target of candidates) {
      const handicap = target.zone === zone ? 0 : OTHER_ZONE_HANDICAP;
      const score = this.#load(target, now) + handicap;
      if (score < lowest) {
        lowest = score;
        best = target;
      }
    }
    return best;
  }

  recordSend(id: InstanceId): void {
    this.#stateOf(id).inFlight += 1;
  }

  /** A call has ended, with or without a response. */
  recordEnd(id: InstanceId): void {
    const state = this.#stateOf(id);
    state.inFlight = Math.max(0, state.inFlight - 1);
  }

  recordSuccess(
    id: InstanceId,
    load: ITargetLoad | null,
    now: MonotonicTime,
  ): void {
    const state = this.#stateOf(id);
    state.consecutiveFailures = 0;
    state.ejectionTime = FIRST_EJECTION_TIME;
    state.ejectedUntil = 0;
    if (load !== null) {
      state.load = load;
      state.loadReportedAt = now;
    }
  }

  /** The target responded with a server error or broke off. */
  recordFailure(id: InstanceId, now: MonotonicTime): void {
    const state = this.#stateOf(id);
    state.consecutiveFailures += 1;
    if (state.consecutiveFailures >= CONSECUTIVE_FAILURES) {
      this.#eject(state, now);
    }
  }

  /** The target did not respond to a call or could not be reached. */
  recordNoResponse(id: InstanceId, now: MonotonicTime): void {
    this.#eject(this.#stateOf(id), now);
  }

  /** Ends all ejections, since another path is used from now on. */
  clearEjections(): void {
    for (const state of this.#states.values()) {
      state.ejectedUntil = 0;
      state.ejectionTime = FIRST_EJECTION_TIME;
      state.consecutiveFailures = 0;
    }
  }

  /** Forgets targets that are no longer listed and have no calls. */
  keepOnly(listed: ReadonlyMap<InstanceId, IListedTarget>): void {
    for (const [id, state] of this.#states) {
      if (!listed.has(id) && state.inFlight === 0) {
        this.#states.delete(id);
      }
    }
  }

  #eject(state: IPlainTargetState, now: MonotonicTime): void {
    if (now < state.ejectedUntil) {
      return;
    }
    state.ejectedUntil = now + state.ejectionTime;
    state.ejectionTime = Math.min(
      LONGEST_EJECTION_TIME,
      state.ejectionTime * 2,
    );
  }

  #load(target: IListedTarget, now: MonotonicTime): number {
    const state = this.#stateOf(target.id);
    const isFresh = now - state.loadReportedAt < LOAD_LIFETIME;
    const reported = isFresh && state.load !== null ? state.load : null;
    const reportedCalls =
      reported === null ? 0 : reported.running + reported.waiting;
    const calls = Math.max(state.inFlight, reportedCalls);
    return calls / Math.max(1, target.slots);
  }

  #stateOf(id: InstanceId): IPlainTargetState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = {
        inFlight: 0,
        consecutiveFailures: 0,
        ejectionTime: FIRST_EJECTION_TIME,
        ejectedUntil: 0,
        load: null,
        loadReportedAt: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
