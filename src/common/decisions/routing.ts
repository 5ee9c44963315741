/**
 * Routing between the targets of a service. Pattern of load: reports lag, so
 * every daemon sees the same target as the idlest. Without sampling they all
 * send there until the next report; one would notice by first tokens that are
 * late in waves as long as the lag. Each daemon therefore compares a few
 * targets picked at random, and adds its own work in flight
 * ({@link TargetLoad}).
 *
 * Long among short: a long brief makes the time between tokens longer for all
 * that run beside it. Long work is therefore packed on the same few targets,
 * in an order that all daemons share, and short work finds the others emptier.
 *
 * A target that served the same prefix lately need not read it again. It is
 * preferred only while its load is bounded, so that one hot prefix does not
 * bury one target. What is remembered here may be wrong, as when the engine
 * has dropped the prefix: then it costs time, never correctness.
 */
import { isLong } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/**
 * Targets compared for one request by all daemons together, and by each at
 * least. One daemon may compare all: it knows what it sent. Of many, each
 * that compares many picks what the others pick.
 */
const COMPARED_TOGETHER = 16;
const LEAST_COMPARED = 2;

/** Long work fills a target up to this share of its limit. */
const LONG_FILL_SHARE = 0.9;

/** A target with the prefix may have this many times the sampled mean load. */
const PREFIX_LOAD_BOUND = 1.25;

/** Requests above the mean that a prefix always makes good for. */
const PREFIX_LOAD_ALLOWANCE = 2;

/** A target that can take a request. */
export interface ICandidate {
  readonly id: string;
  /** Requests expected to be there now. */
  readonly load: number;
  /**
   * Cost of the prompts sent from here that it has not finished reading. They
   * are read one after another and before any new one, so a target with few
   * requests that have all just come is a worse choice than its load says.
   */
  readonly pendingPromptCost: number;
  /** Requests it may have in all, by {@link GroupLimit}. */
  readonly limit: number;
  /** Requests this daemon may send there now. */
  readonly freeSlots: number;
  /** Its time between tokens as a multiple of its peers' median. */
  readonly pace: number;
}

/** Where, for what, and where not. */
export interface IRoutingContext {
  readonly work: IWorkItem;
  /** Targets that failed this request already. */
  readonly avoid: ReadonlySet<string>;
  /** Targets that this daemon sent the work's prefix to lately. */
  readonly prefixTargets: readonly string[];
  /** Daemons that send to these targets, this one included. */
  readonly daemons: number;
}

/** The target with the least expected wait; null when there is none. */
export function chooseCandidate<T extends ICandidate>(
  candidates: readonly T[],
  choice: IRoutingContext,
  random: () => number,
): T | null {
  const { work, avoid, prefixTargets } = choice;
  const usable = candidates.filter(({ id }) => !avoid.has(id));
  const roomy = usable.filter(({ freeSlots }) => freeSlots > 0);
  if (isLong(work)) {
    const packed = chooseForLong(roomy);
    if (packed !== null) {
      return packed;
    }
  }
  const share = Math.round(COMPARED_TOGETHER / choice.daemons);
  const count = Math.max(LEAST_COMPARED, share);
  const sampled = sample(roomy.length > 0 ? roomy : usable, count, random);
  const best = leastWait(sampled);
  const holding = roomy.filter(({ id }) => prefixTargets.includes(id));
  const holder = prefixTargets.length > 0 ? leastWait(holding) : null;
  const isNear = holder !== null && isBounded(holder, sampled);
  return isNear ? holder : best;
}

function chooseForLong<T extends ICandidate>(roomy: readonly T[]): T | null {
  let first: T | null = null;
  for (const candidate of roomy) {
    const isFilled = candidate.load >= candidate.limit * LONG_FILL_SHARE;
    const isEarlier = first === null || candidate.id < first.id;
    if (!isFilled && isEarlier && candidate.pace <= 1.5) {
      first = candidate;
    }
  }
  return first;
}

function isBounded(holder: ICandidate, sampled: readonly ICandidate[]) {
  const total = sampled.reduce((sum, { load }) => sum + load, 0);
  const mean = total / sampled.length;
  return holder.load <= mean * PREFIX_LOAD_BOUND + PREFIX_LOAD_ALLOWANCE;
}

function leastWait<T extends ICandidate>(sampled: readonly T[]): T | null {
  let best: T | null = null;
  for (const candidate of sampled) {
    if (best === null || waitAt(candidate) < waitAt(best)) {
      best = candidate;
    }
  }
  return best;
}

/** Expected wait at the target's pace; only its order matters. */
function waitAt(candidate: ICandidate): number {
  const { load, pendingPromptCost, pace } = candidate;
  return (load + 1 + pendingPromptCost) * pace;
}

/** Up to so many of the candidates, in random order. */
function sample<T>(
  candidates: readonly T[],
  wanted: number,
  random: () => number,
): T[] {
  const pool = [...candidates];
  const count = Math.min(wanted, pool.length);
  for (let index = 0; index < count; index++) {
    const other = index + Math.floor(random() * (pool.length - index));
    const picked = pool[other] as T;
    pool[other] = pool[index] as T;
    pool[index] = picked;
  }
  return pool.slice(0, count);
}
