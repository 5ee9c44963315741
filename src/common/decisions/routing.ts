/**
 * Routing between the targets of a service. Reports lag, so every daemon sees
 * the same target as the least loaded; without sampling all daemons send there
 * until the next report, and first tokens are late in waves as long as the lag.
 * Each daemon therefore compares a few targets picked at random, and adds its
 * own requests in flight ({@link TargetLoad}).
 *
 * Long work lengthens the time between tokens of all requests beside it. It is
 * therefore packed onto the same few targets, in an order that all daemons
 * share, which leaves the others less loaded for short work.
 *
 * A target that recently served the same prefix probably has it cached and can
 * skip its prefill. It is preferred only while its load is bounded, so that one
 * hot prefix does not overload one target. The prefix record may be wrong, for
 * example when the engine has evicted the prefix; that costs time, never
 * correctness.
 */
import { isLong } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/**
 * Targets compared per request, summed over all daemons, and the least number
 * for each daemon. A single daemon may compare all targets, since it knows what
 * it has sent. With many daemons, comparing many targets each makes them pick
 * the same ones.
 */
const COMPARED_BY_ALL_DAEMONS = 16;
const LEAST_COMPARED = 2;

/** Long work is packed onto a target up to this share of its limit. */
const LONG_FILL_SHARE = 0.9;

/** A target with the prefix may have this multiple of the sampled mean load. */
const PREFIX_LOAD_BOUND = 1.25;

/** Requests above the mean for which a cached prefix always compensates. */
const PREFIX_LOAD_ALLOWANCE = 2;

/** A target that can accept a request. */
export interface ICandidate {
  readonly id: string;
  /** Requests expected to be at the target now. */
  readonly load: number;
  /**
   * Cost of the prompts sent from this daemon whose prefill the target has not
   * finished. Prefills run one after another and before any new one, so a
   * target whose few requests have all just arrived is a worse choice than its
   * load suggests.
   */
  readonly pendingPromptCost: number;
  /** Requests it may have in total, by {@link AdaptiveLimit}. */
  readonly limit: number;
  /** Requests this daemon may send there now. */
  readonly freeSlots: number;
  /** Its time between tokens as a multiple of its peers' median. */
  readonly pace: number;
}

/** What a routing decision depends on besides the candidates. */
export interface IRoutingContext {
  readonly work: IWorkItem;
  /** Targets that have already failed this request. */
  readonly avoid: ReadonlySet<string>;
  /** Targets that this daemon recently sent the same prefix to. */
  readonly prefixTargets: readonly string[];
  /** Daemons that send to these targets, this one included. */
  readonly daemons: number;
}

/** The target with the least expected wait; null when there is none. */
export function chooseCandidate<T extends ICandidate>(
  candidates: readonly T[],
  context: IRoutingContext,
  random: () => number,
): T | null {
  const { work, avoid, prefixTargets } = context;
  const usable = candidates.filter(({ id }) => !avoid.has(id));
  const open = usable.filter(({ freeSlots }) => freeSlots > 0);
  if (isLong(work)) {
    const packed = choosePacked(open);
    if (packed !== null) {
      return packed;
    }
  }
  const share = Math.round(COMPARED_BY_ALL_DAEMONS / context.daemons);
  const count = Math.max(LEAST_COMPARED, share);
  const sampled = sample(open.length > 0 ? open : usable, count, random);
  const best = withLeastWait(sampled);
  const withPrefix = open.filter(({ id }) => prefixTargets.includes(id));
  const prefixTarget =
    prefixTargets.length > 0 ? withLeastWait(withPrefix) : null;
  const isPrefixPreferred =
    prefixTarget !== null && isLoadBounded(prefixTarget, sampled);
  return isPrefixPreferred ? prefixTarget : best;
}

/**
 * The first target by id, an order that all daemons share, which is neither
 * filled nor slower than 1.5 times the median.
 */
function choosePacked<T extends ICandidate>(open: readonly T[]): T | null {
  let first: T | null = null;
  for (const candidate of open) {
    const isFilled = candidate.load >= candidate.limit * LONG_FILL_SHARE;
    const isEarlier = first === null || candidate.id < first.id;
    if (!isFilled && isEarlier && candidate.pace <= 1.5) {
      first = candidate;
    }
  }
  return first;
}

function isLoadBounded(
  prefixTarget: ICandidate,
  sampled: readonly ICandidate[],
) {
  const total = sampled.reduce((sum, { load }) => sum + load, 0);
  const mean = total / sampled.length;
  return prefixTarget.load <= mean * PREFIX_LOAD_BOUND + PREFIX_LOAD_ALLOWANCE;
}

function withLeastWait<T extends ICandidate>(sampled: readonly T[]): T | null {
  let best: T | null = null;
  for (const candidate of sampled) {
    if (best === null || expectedWait(candidate) < expectedWait(best)) {
      best = candidate;
    }
  }
  return best;
}

/** Expected wait at the target's pace; only the order of the values matters. */
function expectedWait(candidate: ICandidate): number {
  const { load, pendingPromptCost, pace } = candidate;
  return (load + 1 + pendingPromptCost) * pace;
}

/** Up to the wanted number of candidates, in random order. */
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
