/**
 * Which other zones this process reaches. Pattern of load: the links to a zone
 * are cut. Each call sent there waits for its connection in vain, one group
 * after the other, and again whenever the suspicion of a group ends; one would
 * notice by first events that are late by the time limit of a connection for
 * as long as the cut lasts, while the groups of this zone could have answered.
 *
 * Several groups of a zone that are missed in a row, with nothing heard from
 * any of its groups in between, mean that the zone is out of reach. It then
 * gets one call at a time as a trial, and is back with the first event.
 */
import type { MonotonicTime, ZoneName } from "../types.ts";

/** Different groups missed in a row: one or two heads may just have died. */
const MISSED_GROUPS = 3;

/** Time between two trials of a zone, milliseconds; each delays one call. */
const TRIAL_PERIOD = 700;

/** Misses that are further apart have no common cause, milliseconds. */
const MISS_LIFETIME = 1_500;

interface IZoneState {
  /** Groups missed since anything was heard from the zone. */
  readonly missed: Map<string, MonotonicTime>;
  isOut: boolean;
  triedAt: MonotonicTime;
}

/** The zones as reached by one process. */
export class ZoneReachability {
  readonly #own: ZoneName;
  readonly #zones = new Map<ZoneName, IZoneState>();

  /** @param own - the process's zone, which is never taken for out of reach */
  constructor(own: ZoneName) {
    this.#own = own;
  }

  /** An event came from a group of the zone. */
  recordEvent(zone: ZoneName): void {
    this.#zones.delete(zone);
  }

  /** A group of the zone did not connect, or fell silent. */
  recordUnreachable(zone: ZoneName, group: string, now: MonotonicTime): void {
    if (zone === this.#own) {
      return;
    }
    const state = this.#stateOf(zone);
    state.missed.set(group, now);
    for (const [name, at] of state.missed) {
      if (now - at > MISS_LIFETIME) {
        state.missed.delete(name);
      }
    }
    state.isOut ||= state.missed.size >= MISSED_GROUPS;
  }

  /** Whether a call may be sent to the zone now. */
  mayTry(zone: ZoneName, now: MonotonicTime): boolean {
    const state = this.#zones.get(zone);
    return !state?.isOut || now - state.triedAt >= TRIAL_PERIOD;
  }

  /** A call was sent there. */
  recordSend(zone: ZoneName, now: MonotonicTime): void {
    const state = this.#zones.get(zone);
    if (state !== undefined) {
      state.triedAt = now;
    }
  }

  #stateOf(zone: ZoneName): IZoneState {
    let state = this.#zones.get(zone);
    if (state === undefined) {
      state = {
        missed: new Map(),
        isOut: false,
        triedAt: Number.NEGATIVE_INFINITY,
      };
      this.#zones.set(zone, state);
    }
    return state;
  }
}
