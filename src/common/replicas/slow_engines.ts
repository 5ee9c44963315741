/**
 * Finds engines that run far slower than their peers, and groups that are
 * better formed again without them.
 *
 * Some engines become slow for some seconds. A group runs at the pace of its
 * slowest member, so with four members a few slow engines make most groups
 * slow: pauses grow alike in the streams of many groups, and answers miss their
 * deadlines, while most engines are healthy and spares are idle. In new groups,
 * the healthy members serve within a second.
 *
 * Slow is relative: when most engines are slow together, no choice among them
 * helps, and none is excluded.
 */
import type { IModel } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { canJoinWithoutLoad } from "./model_readiness.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";

/**
 * Multiple of the median pace from which an engine counts as slow. Forming a
 * group again takes about a second and a retry of its streams, which a smaller
 * difference does not justify.
 */
const SLOW_FACTOR = 2;

/** Returns the engines that are slow compared to the others. */
export function findSlowEngines(
  views: Iterable<IEngineView>,
): ReadonlySet<InstanceId> {
  const known = [...views].filter(
    ({ state, isListed }) => state !== null && isListed,
  );
  const paces = known.map(({ pace }) => pace).sort((one, other) => one - other);
  const median = paces[Math.floor(paces.length / 2)] ?? 1;
  const slow = known.filter(({ pace }) => pace >= median * SLOW_FACTOR);
  return new Set(slow.map(({ target }) => target.id));
}

/** Input of {@link findGroupsToReplace}. */
export interface IReplacementInput {
  readonly models: readonly IModel[];
  /** Free instances that are not slow. */
  readonly free: readonly IPlannerEngine[];
  readonly activeGroups: readonly IPlannerGroup[];
  readonly slow: ReadonlySet<InstanceId>;
}

/**
 * Returns the serving groups with slow members to abandon: only those whose
 * healthy members and the free instances of the domain form a group of some
 * model.
 */
export function findGroupsToReplace(
  input: IReplacementInput,
): readonly string[] {
  const { models, free, activeGroups, slow } = input;
  const healthy = new Map<string, readonly IPlannerEngine[]>();
  for (const engine of free) {
    const domain = engine.view.state?.domain ?? "";
    healthy.set(domain, [...(healthy.get(domain) ?? []), engine]);
  }
  const replaced: string[] = [];
  for (const { group, domain, members, isServing } of activeGroups) {
    const healthyMembers = members.filter(
      ({ view }) => !slow.has(view.target.id),
    );
    const pool = [...(healthy.get(domain) ?? []), ...healthyMembers];
    const hasSlow = healthyMembers.length < members.length;
    if (isServing && hasSlow && canFormGroup(pool, models)) {
      replaced.push(group);
      healthy.set(domain, pool);
    }
  }
  return replaced;
}

function canFormGroup(
  pool: readonly IPlannerEngine[],
  models: readonly IModel[],
): boolean {
  return models.some(
    (model) =>
      pool.filter((engine) => canJoinWithoutLoad(engine, model)).length >=
      model.size,
  );
}
