/**
 * Which groups to close so that their members serve another model.
 *
 * Pattern of load: a model has lost its groups one by one, or its share of the
 * calls grows, and the free instances of no domain make a group of it, while
 * another model has more groups than its calls fill. Without this its callers
 * queue until instances that must load first are ready; one would notice by
 * waits for one model beside idle slots of the other.
 *
 * A large group may take the members of several small ones. They come from one
 * domain, and from the one where the fewest have to be closed.
 */
import type { IModel } from "../calls/types.ts";
import type { DomainName } from "../types.ts";
import { canJoinWithoutLoad } from "./model_readiness.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";

/** By how much of a group a model may fall below its ideal number for it. */
const TOLERATED_LACK = 0.5;

/** What stands, for the decision. */
export interface IReassignmentInput {
  /** The model that lacks groups. */
  readonly shortModel: IModel;
  readonly activeGroups: readonly IPlannerGroup[];
  /** Free instances of all domains. */
  readonly free: readonly IPlannerEngine[];
  /** Groups of a model beyond its ideal number. */
  readonly excess: (model: string) => number;
}

/** The groups to close; empty where it would not help. */
export function findGroupsToReassign(
  situation: IReassignmentInput,
): readonly string[] {
  let best: readonly string[] = [];
  const domains = new Set(situation.activeGroups.map(({ domain }) => domain));
  for (const domain of domains) {
    const groups = closableIn(domain, situation);
    if (
      groups.length > 0 &&
      (best.length === 0 || groups.length < best.length)
    ) {
      best = groups;
    }
  }
  return best;
}

/** The fewest groups of a domain whose members make one of the short model. */
function closableIn(
  domain: DomainName,
  situation: IReassignmentInput,
): readonly string[] {
  const { shortModel, activeGroups, free, excess } = situation;
  let fit = free.filter(
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
    const isSpareable = excess(group.model) >= count - TOLERATED_LACK;
    const isOther = group.model !== shortModel.name && group.isServing;
    if (group.domain === domain && isOther && isSpareable && gained > 0) {
      closed.set(group.model, count);
      groups.push(group.group);
      fit += gained;
    }
    if (fit >= shortModel.size) {
      return groups;
    }
  }
  return [];
}
