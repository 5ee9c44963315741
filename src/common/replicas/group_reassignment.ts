/**
 * Decides which groups to close so that their members can serve another model.
 *
 * A model loses its groups one by one, or its share of the calls grows, while
 * no domain has the free instances for a group of it and another model has more
 * groups than its calls fill. Without reassignment its callers queue until
 * instances that must load first are ready, although the other model has idle
 * slots.
 *
 * A large group may take the members of several small ones. They come from one
 * domain, the one where the fewest groups have to be closed.
 */
import type { IModel } from "../calls/types.ts";
import type { DomainName } from "../types.ts";
import { canJoinWithoutLoad } from "./model_readiness.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";

/**
 * Fraction of a group by which a model may fall below its ideal number to
 * provide one.
 */
const TOLERATED_DEFICIT = 0.5;

/** State that the decision is based on. */
export interface IReassignmentInput {
  /** The model that needs more groups. */
  readonly shortModel: IModel;
  readonly activeGroups: readonly IPlannerGroup[];
  /** Free instances of all domains. */
  readonly free: readonly IPlannerEngine[];
  /** Groups of a model beyond its ideal number. */
  readonly excess: (model: string) => number;
}

/** Returns the groups to close; empty where it would not help. */
export function findGroupsToReassign(
  input: IReassignmentInput,
): readonly string[] {
  let best: readonly string[] = [];
  const domains = new Set(input.activeGroups.map(({ domain }) => domain));
  for (const domain of domains) {
    const groups = findClosableIn(domain, input);
    if (
      groups.length > 0 &&
      (best.length === 0 || groups.length < best.length)
    ) {
      best = groups;
    }
  }
  return best;
}

/**
 * Returns the fewest groups of a domain whose members form one of the short
 * model.
 */
function findClosableIn(
  domain: DomainName,
  input: IReassignmentInput,
): readonly string[] {
  const { shortModel, activeGroups, free, excess } = input;
  let candidateCount = free.filter(
    (engine) =>
      engine.view.state?.domain === domain &&
      canJoinWithoutLoad(engine, shortModel),
  ).length;
  const closed = new Map<string, number>();
  const groups: string[] = [];
  for (const group of activeGroups) {
    const gained = group.members.filter((one) =>
      canJoinWithoutLoad(one, shortModel),
    ).length;
    const count = (closed.get(group.model) ?? 0) + 1;
    const isDispensable = excess(group.model) >= count - TOLERATED_DEFICIT;
    const isClosable = group.model !== shortModel.name && group.isServing;
    if (group.domain === domain && isClosable && isDispensable && gained > 0) {
      closed.set(group.model, count);
      groups.push(group.group);
      candidateCount += gained;
    }
    if (candidateCount >= shortModel.size) {
      return groups;
    }
  }
  return [];
}
