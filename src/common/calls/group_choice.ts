/**
 * Chooses the group for a model call. Pattern of load: several processes place
 * at once, each with counts of the others that are some hundred milliseconds
 * old. Without those counts a group that is full for all looks empty to each;
 * if all took the one with the lowest count, they would herd onto it. One
 * would notice by first events that are late in one group while others idle.
 *
 * The emptiest group wins, with a small random part that spreads processes
 * with equal counts, and a small handicap for other zones: a request costs
 * little more there than its two trips, but zones can be cut off.
 */
import type { ZoneName } from "../types.ts";

/** A group that may be sent to. */
export interface IGroupLoad {
  readonly group: string;
  readonly zone: ZoneName;
  /** Requests in it: this process's own and those told by others. */
  readonly inFlight: number;
  readonly slots: number;
}

/** Share of the slots by which another zone's group must be emptier. */
const OTHER_ZONE_HANDICAP = 0.1;

/** Share of the slots that chance may add. */
const SPREAD = 0.08;

/**
 * The group to send to; null when all are full.
 *
 * @param chance - in [0, 1), asked once a group
 */
export function chooseGroup<T extends IGroupLoad>(
  groups: readonly T[],
  zone: ZoneName,
  chance: () => number,
): T | null {
  let best: T | null = null;
  let lowest = Number.POSITIVE_INFINITY;
  for (const group of groups) {
    if (group.inFlight >= group.slots) {
      continue;
    }
    const handicap = group.zone === zone ? 0 : OTHER_ZONE_HANDICAP;
    const load = group.inFlight / group.slots;
    const score = load + handicap + chance() * SPREAD;
    if (score < lowest) {
      lowest = score;
      best = group;
    }
  }
  return best;
}
