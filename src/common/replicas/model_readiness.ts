/** Instances and the models they hold, as the planner sees them. */
import { GroupMemberState } from "../calls/types.ts";
import type { IModel } from "../calls/types.ts";
import type { DomainName } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";

/** An instance and the models it holds. */
export interface IPlannerEngine {
  readonly view: IEngineView;
  /** The model of its last group since its start; null if there is none. */
  readonly loaded: string | null;
  /** Whether its report may not show its last order yet. */
  readonly isUnconfirmed: boolean;
}

/** A group that serves or will serve. */
export interface IPlannerGroup {
  readonly group: string;
  readonly model: string;
  readonly domain: DomainName;
  readonly isServing: boolean;
  readonly members: readonly IPlannerEngine[];
}

/** How fast an instance can join a group of a model. */
export enum Readiness {
  /** It must load the weights from the weight store. */
  Cold = 0,
  /** The weights are on its host. */
  Staged = 1,
  /** The model is that of its last group. */
  Loaded = 2,
}

export function readiness(engine: IPlannerEngine, model: IModel): Readiness {
  if (engine.loaded === model.name) {
    return Readiness.Loaded;
  }
  return isOnHost(engine, model.name) ? Readiness.Staged : Readiness.Cold;
}

/** Whether an instance can join a group of the model without a load. */
export function canJoinWithoutLoad(
  engine: IPlannerEngine,
  model: IModel,
): boolean {
  return readiness(engine, model) > Readiness.Cold;
}

/** Whether the engine is still loading the model of its last group. */
export function isLoading(engine: IPlannerEngine): boolean {
  const { view, loaded } = engine;
  if (engine.isUnconfirmed) {
    return true;
  }
  const membership = view.state?.membership ?? null;
  const isLoaded = membership !== null && view.state?.model === loaded;
  const isJoining = membership?.state === GroupMemberState.Joining;
  return loaded !== null && (isJoining || (membership !== null && !isLoaded));
}

export function isOnHost({ view }: IPlannerEngine, model: string): boolean {
  return view.state?.staged.includes(model) ?? false;
}
