/**
 * Chooses the group for a model call. Several processes place calls at once,
 * each with counts of the others' calls that are some hundred milliseconds old.
 * A group that has just opened, or has just completed many responses, looks
 * emptiest to all of them. If all sent their calls there until the next count,
 * it would get more calls than it has slots while others idle, and its first
 * events would be three times as late as in the other groups.
 *
 * So each process spreads its own calls evenly, since it knows all of them; the
 * totals are then even without coordination. Of the others' counts it uses only
 * whether a group is full. Prompts that the process itself has sent and that
 * still wait for prefill count by their time, since they are prefilled one
 * after the other. A group with more of them than a call can wait for gets
 * none; the call stays queued here, where those that can be on time go first. A
 * group of another zone must be a little emptier: a call there costs little
 * more than its two trips between the zones, but zones can be cut off.
 */
import type { ZoneName } from "../types.ts";

/** Load of a group that may receive calls. */
export interface IGroupLoad {
  readonly group: string;
  readonly zone: ZoneName;
  /** Requests of this process in the group. */
  readonly ownInFlight: number;
  /** Requests of other processes as last reported; null while unknown. */
  readonly othersInFlight: number | null;
  /** Outstanding prefill time of this process's prompts, milliseconds. */
  readonly ownPrefillTime: number;
  readonly slots: number;
  /** Factor on the group's times; above 1 it is slow. */
  readonly pace: number;
}

/** Options of {@link chooseGroup}. */
export interface IGroupChoiceOptions {
  readonly zone: ZoneName;
  /** Number of processes that place calls, including this one. */
  readonly processes: number;
  /** Longest outstanding prefill that leaves a call on time, milliseconds. */
  readonly prefillBudget: number;
  /** Random number in [0, 1), drawn once per group. */
  readonly chance: () => number;
}

/** Share of the slots by which another zone's group must be emptier. */
const OTHER_ZONE_HANDICAP = 0.1;

/**
 * Pace from which a group gets calls only when no other has a free slot: by the
 * step model, its first event is late at about twice the normal time.
 */
const SLOW_PACE = 1.5;

/** Pace from which it gets none: usual responses would miss their deadlines. */
const UNUSABLE_PACE = 5;

/**
 * While the others' counts are unknown, as after a restart of all processes,
 * each of them may be filling the same slots. A process then uses 1.5 times its
 * share, since calls are spread unevenly, and at least a minimum of slots.
 */
const UNKNOWN_COUNTS_SHARE = 1.5;
const UNKNOWN_COUNTS_MINIMUM = 2;

/** Random part of the score, as a share of the slots: breaks ties. */
const SPREAD = 0.08;

/** Outstanding prefill that weighs as much as all slots, milliseconds. */
const PREFILL_SCALE = 200;

/** The group to send to; null if none has room. */
export function chooseGroup<T extends IGroupLoad>(
  groups: readonly T[],
  options: IGroupChoiceOptions,
): T | null {
  let best: T | null = null;
  let lowest = Number.POSITIVE_INFINITY;
  for (const group of groups) {
    if (isFull(group, options) || group.pace >= UNUSABLE_PACE) {
      continue;
    }
    const score = scoreOf(group, options);
    if (score < lowest) {
      lowest = score;
      best = group;
    }
  }
  return best;
}

/** Whether a group has no slot for this process. */
function isFull(group: IGroupLoad, options: IGroupChoiceOptions): boolean {
  const { processes } = options;
  const { ownInFlight, othersInFlight, slots } = group;
  if (isPrefillFull(group, options)) {
    return true;
  }
  if (othersInFlight === null) {
    const share = (slots / Math.max(1, processes)) * UNKNOWN_COUNTS_SHARE;
    return ownInFlight >= Math.max(UNKNOWN_COUNTS_MINIMUM, Math.ceil(share));
  }
  return ownInFlight + othersInFlight >= slots;
}

/**
 * Whether a further prompt would be prefilled too late. The others' prompts are
 * unknown, but with even spreading they are as many as this process's own.
 */
function isPrefillFull(
  { ownPrefillTime }: IGroupLoad,
  { processes, prefillBudget }: IGroupChoiceOptions,
): boolean {
  return ownPrefillTime * Math.max(1, processes) > prefillBudget;
}

function scoreOf(group: IGroupLoad, options: IGroupChoiceOptions): number {
  const { zone, processes, chance } = options;
  const handicap = group.zone === zone ? 0 : OTHER_ZONE_HANDICAP;
  const load = (group.ownInFlight * Math.max(1, processes)) / group.slots;
  const prefill = group.ownPrefillTime / PREFILL_SCALE;
  const slowness = group.pace >= SLOW_PACE ? options.processes : 0;
  return load + prefill + slowness + handicap + chance() * SPREAD;
}
