/**
 * Chooses among the targets of a plain service. Pattern of load: a service of
 * three targets, one of which goes silent or fails part of its calls while its
 * health is good. Without this a third of the calls wait for their deadline;
 * one would notice by an error rate near one part in the number of targets.
 *
 * The emptiest target wins. A target that left a call without an answer, or
 * failed several in a row, is set aside for a time that doubles up to a bound
 * and is tested by the next call afterwards. One target at least stays, since
 * with all aside the cause is more likely here or on the way.
 */
import type { InstanceId, MonotonicTime, ZoneName } from "../types.ts";
import type { IListedTarget, ITargetLoad } from "./types.ts";

/** First time aside and the longest, milliseconds. */
const FIRST_TIME_ASIDE = 500;
const LONGEST_TIME_ASIDE = 4_000;

/** Failures in a row that a sound target of an error-prone service has. */
const FAILURES_IN_A_ROW = 4;

/** Share of the slots by which another zone's target must be emptier. */
const OTHER_ZONE_HANDICAP = 0.25;

/** How long a load told in an answer is worth something, milliseconds. */
const LOAD_LIFETIME = 500;

interface IPlainState {
  inFlight: number;
  failuresInARow: number;
  timeAside: number;
  asideUntil: MonotonicTime;
  load: ITargetLoad | null;
  loadAt: MonotonicTime;
}

/** What is known of the plain targets, in one process. */
export class PlainTargetSelector {
  readonly #states = new Map<InstanceId, IPlainState>();

  /**
   * The target to send to; null when there is none.
   *
   * @param excluded - targets that had this call already
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
    const open = targets.filter(({ id }) => !excluded.has(id));
    const sound = open.filter(({ id }) => this.#stateOf(id).asideUntil <= now);
    const candidates = sound.length > 0 ? sound : open;
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

  /** The call is over, however it ended. */
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
    state.failuresInARow = 0;
    state.timeAside = FIRST_TIME_ASIDE;
    state.asideUntil = 0;
    if (load !== null) {
      state.load = load;
      state.loadAt = now;
    }
  }

  /** It answered with a failure of its own, or broke off. */
  recordFailure(id: InstanceId, now: MonotonicTime): void {
    const state = this.#stateOf(id);
    state.failuresInARow += 1;
    if (state.failuresInARow >= FAILURES_IN_A_ROW) {
      this.#setAside(state, now);
    }
  }

  /** It left a call without an answer, or could not be reached. */
  recordNoResponse(id: InstanceId, now: MonotonicTime): void {
    this.#setAside(this.#stateOf(id), now);
  }

  /** Forgets targets that are listed no longer and have no calls. */
  keepOnly(listed: ReadonlyMap<InstanceId, IListedTarget>): void {
    for (const [id, state] of this.#states) {
      if (!listed.has(id) && state.inFlight === 0) {
        this.#states.delete(id);
      }
    }
  }

  #setAside(state: IPlainState, now: MonotonicTime): void {
    if (now < state.asideUntil) {
      return;
    }
    state.asideUntil = now + state.timeAside;
    state.timeAside = Math.min(LONGEST_TIME_ASIDE, state.timeAside * 2);
  }

  #load(target: IListedTarget, now: MonotonicTime): number {
    const state = this.#stateOf(target.id);
    const isFresh = now - state.loadAt < LOAD_LIFETIME;
    const told = isFresh && state.load !== null ? state.load : null;
    const elsewhere = told === null ? 0 : told.running + told.waiting;
    const busy = Math.max(state.inFlight, elsewhere);
    return busy / Math.max(1, target.slots);
  }

  #stateOf(id: InstanceId): IPlainState {
    let state = this.#states.get(id);
    if (state === undefined) {
      state = {
        inFlight: 0,
        failuresInARow: 0,
        timeAside: FIRST_TIME_ASIDE,
        asideUntil: 0,
        load: null,
        loadAt: 0,
      };
      this.#states.set(id, state);
    }
    return state;
  }
}
