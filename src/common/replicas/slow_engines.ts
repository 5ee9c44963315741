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
import type { IEngineView } from "./engine_book.ts";
import { isFit } from "./holding_engine.ts";
import type { IHoldingEngine, IStandingGroup } from "./holding_engine.ts";

/**
 * Multiple of the median pace from which an engine is slow: forming a group
 * anew costs about a second and its streams a repeat, which a smaller
 * difference does not earn.
 */
const SLOW_FACTOR = 2;

/** The engines that are slow beside the others. */
export function slowEngines(
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

/** What stands, for {@link groupsToReplace}. */
export interface ISlowSituation {
  readonly models: readonly IModel[];
  /** Free instances that are not slow. */
  readonly free: readonly IHoldingEngine[];
  readonly standing: readonly IStandingGroup[];
  readonly slow: ReadonlySet<InstanceId>;
}

/**
 * Serving groups with slow members to be given up: only where their sound
 * members and the free instances of the domain make a group of some model.
 */
export function groupsToReplace(situation: ISlowSituation): readonly string[] {
  const { models, free, standing, slow } = situation;
  const sound = new Map<string, readonly IHoldingEngine[]>();
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
  pool: readonly IHoldingEngine[],
  models: readonly IModel[],
): boolean {
  return models.some(
    (model) =>
      pool.filter((engine) => isFit(engine, model)).length >= model.size,
  );
}
