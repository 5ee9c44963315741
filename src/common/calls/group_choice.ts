/**
 * Chooses the group for a model call. Pattern of load: several processes place
 * at once, each with counts of the others that are some hundred milliseconds
 * old. A group that has just opened, or that many answers have just left, looks
 * emptiest to all of them, and all send there until the next count: it gets
 * more than it has slots while others idle. One would notice by first events
 * three times as late in one group as in the rest.
 *
 * So each process spreads its own calls evenly, of which it knows all; the
 * sums are then even without a word between them. Of the others' counts it
 * takes only whether a group is full. Prompts that the process itself has sent
 * and that are not read yet count by their time, since they are read one after
 * the other; a group with more of them than a call can wait for gets none, and
 * the call waits here, where those that can be on time go first. Another zone's group must be a little emptier: a call costs little
 * more there than its two trips, but zones can be cut off.
 */
import type { ZoneName } from "../types.ts";

/** A group that may be sent to. */
export interface IGroupLoad {
  readonly group: string;
  readonly zone: ZoneName;
  /** This process's own requests in it. */
  readonly ownInFlight: number;
  /** The others' as last told; null while nothing is heard of them. */
  readonly othersInFlight: number | null;
  /** Milliseconds of own prompts in it that are not read yet. */
  readonly ownPrefillTime: number;
  readonly slots: number;
  /** Factor on its times; over 1 it is slow. */
  readonly pace: number;
}

/** From where a call is placed. */
export interface IGroupChoiceOptions {
  readonly zone: ZoneName;
  /** Processes that place, this one included. */
  readonly processes: number;
  /** Milliseconds of unread prompts with which a call can still be on time. */
  readonly prefillBudget: number;
  /** In [0, 1), asked once a group. */
  readonly chance: () => number;
}

/** Share of the slots by which another zone's group must be emptier. */
const OTHER_ZONE_HANDICAP = 0.1;

/**
 * Pace from which a group gets calls only when no other has room: its first
 * event is late by the step model once it takes about twice its time.
 */
const SLOW_PACE = 1.5;

/** Pace from which it gets none: usual answers would pass their deadlines. */
const USELESS_PACE = 5;

/**
 * While nothing is heard of the others, as after a restart of all, each of them
 * may be filling the same slots: a process takes its share and half as much
 * again, since calls are spread unevenly, and these at least.
 */
const UNHEARD_SHARE = 1.5;
const FEWEST_UNHEARD_SLOTS = 2;

/** Share of the slots that chance may add: it decides between equals. */
const SPREAD = 0.08;

/** Milliseconds of unread prompts that weigh as much as all slots. */
const READING_SCALE = 200;

/** The group to send to; null when all are full. */
export function chooseGroup<T extends IGroupLoad>(
  groups: readonly T[],
  options: IGroupChoiceOptions,
): T | null {
  let best: T | null = null;
  let lowest = Number.POSITIVE_INFINITY;
  for (const group of groups) {
    if (isFull(group, options) || group.pace >= USELESS_PACE) {
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
  if (isReadingFull(group, options)) {
    return true;
  }
  if (othersInFlight === null) {
    const share = (slots / Math.max(1, processes)) * UNHEARD_SHARE;
    return ownInFlight >= Math.max(FEWEST_UNHEARD_SLOTS, Math.ceil(share));
  }
  return ownInFlight + othersInFlight >= slots;
}

/**
 * Whether a prompt more would be read too late. The others' are not known, but
 * by even spreading they are as many as this process's own.
 */
function isReadingFull(
  { ownPrefillTime }: IGroupLoad,
  { processes, prefillBudget }: IGroupChoiceOptions,
): boolean {
  return ownPrefillTime * Math.max(1, processes) > prefillBudget;
}

function scoreOf(group: IGroupLoad, options: IGroupChoiceOptions): number {
  const { zone, processes, chance } = options;
  const handicap = group.zone === zone ? 0 : OTHER_ZONE_HANDICAP;
  const load = (group.ownInFlight * Math.max(1, processes)) / group.slots;
  const reading = group.ownPrefillTime / READING_SCALE;
  const slowness = group.pace >= SLOW_PACE ? options.processes : 0;
  return load + reading + slowness + handicap + chance() * SPREAD;
}
