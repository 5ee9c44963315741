/**
 * Engines that run far slower than their peers, and the groups that are better
 * formed anew without them.
 *
 * Pattern of load: part of the engines turns slow for some seconds. A group
 * runs at the pace of its slowest member, so with four members a few slow
 * engines make most groups slow, and answers pass their deadlines although
 * most engines are in order; one would notice by streams whose pauses grow
 * alike in many groups while spares stand idle. Formed anew, the sound members
 * serve within a second.
 *
 * Slow is meant by comparison: when most engines are slow together, no choice
 * among them helps, and none is set aside.
 */
import type { IModel } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { canJoinWithoutLoad } from "./model_readiness.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";

/**
 * Multiple of the median pace from which an engine is slow: forming a group
 * anew costs about a second and its streams a repeat, which a smaller
 * difference does not earn.
 */
const SLOW_FACTOR = 2;

/** The engines that are slow beside the others. */
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

/** What stands, for {@link findGroupsToReplace}. */
export interface IReplacementInput {
  readonly models: readonly IModel[];
  /** Free instances that are not slow. */
  readonly free: readonly IPlannerEngine[];
  readonly standing: readonly IPlannerGroup[];
  readonly slow: ReadonlySet<InstanceId>;
}

/**
 * Serving groups with slow members to be given up: only where their sound
 * members and the free instances of the domain make a group of some model.
 */
export function findGroupsToReplace(
  situation: IReplacementInput,
): readonly string[] {
  const { models, free, standing, slow } = situation;
  const sound = new Map<string, readonly IPlannerEngine[]>();
  for (const engine of free) {
    const domain = engine.view.state?.domain ?? "";
    sound.set(domain, [...(sound.get(domain) ?? []), engine]);
  }
  const replaced: string[] = [];
  for (const { group, domain, members, isServing } of standing) {
    const rest = members.filter(({ view }) => !slow.has(view.target.id));
    const pool = [...(sound.get(domain) ?? []), ...rest];
    const hasSlow = rest.length < members.length;
    if (isServing && hasSlow && makesGroup(pool, models)) {
      replaced.push(group);
      sound.set(domain, pool);
    }
  }
  return replaced;
}

function makesGroup(
  pool: readonly IPlannerEngine[],
  models: readonly IModel[],
): boolean {
  return models.some(
    (model) =>
      pool.filter((engine) => canJoinWithoutLoad(engine, model)).length >=
      model.size,
  );
}
