import { expect } from "chai";
import {
  engineState,
  engineView,
  LARGE,
  SMALL,
} from "../../../test/support/engine_fixtures.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import { findGroupsToReplace, findSlowEngines } from "./slow_engines.ts";

function views(...paces: readonly number[]): readonly IEngineView[] {
  return paces.map((pace, index) => engineView(`engine-${index}`, { pace }));
}

function engineWith(id: string, loaded: string, host: string): IPlannerEngine {
  const view = engineView(id, { state: engineState({ staged: [host] }) });
  return { view, loaded, isUnconfirmed: false };
}

function largeGroup(group: string): IPlannerGroup {
  const members = Array.from({ length: LARGE.size }, (_, index) =>
    engineWith(`${group}-${index}`, "large", "small"),
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

describe("slow engines", () => {
  it("are those at twice the median pace or more", () => {
    expect([...findSlowEngines(views(1, 1, 1.4, 4, 12))]).to.deep.equal([
      "engine-3",
      "engine-4",
    ]);
  });

  // Guards against leaving nobody to serve when all engines are slow together,
  // for example after a release.
  it("are none when most are slow", () => {
    expect(findSlowEngines(views(4, 4, 4, 1)).size).to.equal(0);
  });

  // Guards against answers that miss their deadlines because one of four
  // members is slow, while the other three could serve in small groups.
  it("have their group replaced where its healthy members form another", () => {
    const activeGroups = [largeGroup("group")];
    const slow = new Set(["group-2"]);
    const input = { models: MODELS, free: [], activeGroups, slow };
    expect(findGroupsToReplace(input)).to.deep.equal(["group"]);
  });

  // Guards against abandoning a group with three slow members when nothing is
  // free: late answers are better than none.
  it("stay in their group where no better one can be formed", () => {
    const activeGroups = [largeGroup("group")];
    const slow = new Set(["group-0", "group-1", "group-2"]);
    const input = { models: MODELS, free: [], activeGroups, slow };
    expect(findGroupsToReplace(input)).to.deep.equal([]);
    const free = [engineWith("spare", "small", "large")];
    expect(findGroupsToReplace({ ...input, free })).to.deep.equal(["group"]);
  });
});
