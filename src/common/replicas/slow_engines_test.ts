import { expect } from "chai";
import {
  engineState,
  engineView,
  LARGE,
  SMALL,
} from "../../../test/support/engines.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import { findGroupsToReplace, findSlowEngines } from "./slow_engines.ts";

function views(...paces: readonly number[]): readonly IEngineView[] {
  return paces.map((pace, index) => engineView(`engine-${index}`, { pace }));
}

function holding(id: string, loaded: string, host: string): IPlannerEngine {
  const view = engineView(id, { state: engineState({ staged: [host] }) });
  return { view, loaded, isUnconfirmed: false };
}

function large(group: string): IPlannerGroup {
  const members = Array.from({ length: LARGE.size }, (_, index) =>
    holding(`${group}-${index}`, "large", "small"),
  );
  const model = LARGE.name;
  return {
    group,
    model,
    domain: "domain",
    isServing: true,
    members,
  };
}

const MODELS = [LARGE, SMALL];

describe("engines slow beside their peers", () => {
  it("are those at twice the median pace or more", () => {
    expect([...findSlowEngines(views(1, 1, 1.4, 4, 12))]).to.deep.equal([
      "engine-3",
      "engine-4",
    ]);
  });

  // All engines are slow together, perhaps by a release. Setting them aside
  // would leave nobody to serve.
  it("are none when most are slow", () => {
    expect(findSlowEngines(views(4, 4, 4, 1)).size).to.equal(0);
  });

  // One of four members turns slow. The group's answers slow down with it and
  // pass their deadlines, while the other three could serve in small groups.
  it("are left out where the sound members make a group", () => {
    const standing = [large("group")];
    const slow = new Set(["group-2"]);
    const situation = { models: MODELS, free: [], standing, slow };
    expect(findGroupsToReplace(situation)).to.deep.equal(["group"]);
  });

  // Three of four are slow and nothing is free. Late answers are better than
  // none, so the group stays.
  it("stay where nothing better can be formed", () => {
    const standing = [large("group")];
    const slow = new Set(["group-0", "group-1", "group-2"]);
    const situation = { models: MODELS, free: [], standing, slow };
    expect(findGroupsToReplace(situation)).to.deep.equal([]);
    const free = [holding("spare", "small", "large")];
    expect(findGroupsToReplace({ ...situation, free })).to.deep.equal([
      "group",
    ]);
  });
});
