/** Builders for tests of the decisions on replica groups. */
import { ListedState, MemberState } from "../../src/common/calls/types.ts";
import type {
  IEngineState,
  IListedTarget,
  IModel,
} from "../../src/common/calls/types.ts";
import type { IEngineView } from "../../src/common/replicas/engine_registry.ts";

/** Two models as published: of four members and of two. */
export const LARGE: IModel = {
  name: "large",
  size: 4,
  share: 0.5,
  pace: 1,
  loadTime: 16_000,
  warmTime: 1_600,
};
export const SMALL: IModel = {
  name: "small",
  size: 2,
  share: 0.5,
  pace: 0.6,
  loadTime: 12_000,
  warmTime: 1_100,
};

/** An engine's own state; free and with nothing on its host unless named. */
export function engineState(part: Partial<IEngineState> = {}): IEngineState {
  return {
    staged: [],
    model: null,
    membership: null,
    domain: "domain",
    ...part,
  };
}

/** An entry of the platform's list. */
export function listedEngine(
  id: string,
  state: IEngineState = engineState(),
): IListedTarget {
  return {
    id,
    startedAt: 1,
    service: "summaries",
    address: `10.0.0.1:${id.length}`,
    zone: "one",
    slots: 12,
    state: ListedState.Ready,
    engine: state,
  };
}

/** An engine that answers; fields as named. */
export function engineView(
  id: string,
  part: Partial<IEngineView> = {},
): IEngineView {
  const state = part.state === undefined ? engineState() : part.state;
  return {
    target: listedEngine(id, state ?? engineState()),
    isListed: true,
    isDraining: false,
    state,
    askedAt: 0,
    answeredAt: 0,
    isSilent: false,
    isUnreachable: false,
    startedAt: 1,
    pace: 1,
    ...part,
  };
}

/** A member's state in a group. */
export function memberOf(
  group: { readonly group: string; readonly epoch: number },
  rank: number,
  state: MemberState = MemberState.Ready,
): IEngineState {
  return engineState({
    model: "small",
    membership: { group: group.group, epoch: group.epoch, rank, state },
  });
}

/** Views by id. */
export function viewsOf(
  ...views: readonly IEngineView[]
): ReadonlyMap<string, IEngineView> {
  return new Map(views.map((view) => [view.target.id, view]));
}
