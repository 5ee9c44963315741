/**
 * Which other zones this process reaches. When the links to a zone are cut,
 * each call sent there waits for its connection in vain, one group after the
 * other, and again whenever the suspicion of a group ends. First events would
 * be late by the connection timeout for as long as the cut lasts, although
 * groups of this zone could have answered.
 *
 * A zone counts as unreachable once several of its groups have failed in a row,
 * without an event from any of its groups in between. It then gets one trial
 * call at a time, and is reachable again with the first event.
 */
import type { MonotonicTime, ZoneName } from "../types.ts";

/** Different groups that fail in a row: one or two heads may just have died. */
const FAILED_GROUPS = 3;

/** Time between two trials of a zone, milliseconds; each delays one call. */
const TRIAL_PERIOD = 700;

/** Failures that are further apart have no common cause, milliseconds. */
const FAILURE_LIFETIME = 1_500;

interface IZoneState {
  /** When each group last failed, since the last event from the zone. */
  readonly missed: Map<string, MonotonicTime>;
  isUnreachable: boolean;
  lastTrialAt: MonotonicTime;
}

/** Reachability of the other zones from one process. */
export class ZoneReachability {
  readonly #ownZone: ZoneName;
  readonly #zones = new Map<ZoneName, IZoneState>();

  /** @param ownZone - the process's zone, which always counts as reachable */
  constructor(ownZone: ZoneName) {
    this.#ownZone = ownZone;
  }

  /** An event arrived from a group of the zone. */
  recordEvent(zone: ZoneName): void {
    this.#zones.delete(zone);
  }

  /** A group of the zone did not connect or fell silent. */
  recordUnreachable(zone: ZoneName, group: string, now: MonotonicTime): void {
    if (zone === this.#ownZone) {
      return;
    }
    const state = this.#stateOf(zone);
    state.missed.set(group, now);
    for (const [name, at] of state.missed) {
      if (now - at > FAILURE_LIFETIME) {
        state.missed.delete(name);
      }
    }
    state.isUnreachable ||= state.missed.size >= FAILED_GROUPS;
  }

  /** Forgets all failures, since another path is used from now on. */
  clear(): void {
    this.#zones.clear();
  }

  /** Whether a call may be sent to the zone now. */
  mayTry(zone: ZoneName, now: MonotonicTime): boolean {
    const state = this.#zones.get(zone);
    return !state?.isUnreachable || now - state.lastTrialAt >= TRIAL_PERIOD;
  }

  /** A call was sent to the zone. */
  recordSend(zone: ZoneName, now: MonotonicTime): void {
    const state = this.#zones.get(zone);
    if (state !== undefined) {
      state.lastTrialAt = now;
    }
  }

  #stateOf(zone: ZoneName): IZoneState {
    let state = this.#zones.get(zone);
    if (state === undefined) {
      state = {
        missed: new Map(),
        isUnreachable: false,
        lastTrialAt: Number.NEGATIVE_INFINITY,
      };
      this.#zones.set(zone, state);
    }
    return state;
  }
}
