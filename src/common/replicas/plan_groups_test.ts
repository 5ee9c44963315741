import { expect } from "chai";
import { GroupMemberState } from "../calls/types.ts";
import { planGroups } from "./plan_groups.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import type { IPlanningInput } from "./plan_groups.ts";
import {
  engineState,
  engineView,
  LARGE,
  SMALL,
} from "../../../test/support/engine_fixtures.ts";

/**
 * An engine that holds models: `loaded` by its last group, `staged` on its
 * host.
 */
function engineWith(
  id: string,
  loaded: string | null,
  staged: readonly string[] = [],
): IPlannerEngine {
  const view = engineView(id, { state: engineState({ staged }) });
  return { view, loaded, isUnconfirmed: false };
}

function many(
  count: number,
  loaded: string | null,
  staged: readonly string[] = [],
): readonly IPlannerEngine[] {
  return Array.from({ length: count }, (_, index) =>
    engineWith(`${loaded}-${index}`, loaded, staged),
  );
}

function activeGroup(model: string, group: string): IPlannerGroup {
  const size = model === "large" ? LARGE.size : SMALL.size;
  const other = model === "large" ? "small" : "large";
  const members = Array.from({ length: size }, (_, index) =>
    engineWith(`${group}-${index}`, model, [other]),
  );
  return {
    group,
    model,
    domain: "domain",
    isServing: true,
    members,
  };
}

function inputWith(part: Partial<IPlanningInput>): IPlanningInput {
  return {
    models: [LARGE, SMALL],
    free: [],
    serving: [],
    staging: new Map(),
    activeGroups: [],
    reservedDomains: new Set(),
    healingModels: new Set(),
    demand: new Map([
      ["large", 1],
      ["small", 2],
    ]),
    isBeforeTraffic: false,
    loadsAtOnce: 7,
    loadsLeft: 10,
    ...part,
  };
}

describe("planGroups", () => {
  it("divides a domain and keeps spares before callers arrive", () => {
    const free = many(10, null);
    const { groups } = planGroups(inputWith({ free, isBeforeTraffic: true }));
    const models = groups.map(({ model }) => model).sort();
    expect(models).to.deep.equal(["large", "small", "small"]);
  });

  // Guards against stopping the three survivors of a large group for the
  // sixteen seconds that an empty instance takes to load.
  it("does not join an instance that would have to load", () => {
    const free = [...many(3, "large"), engineWith("new", null)];
    const { groups, stagings } = planGroups(inputWith({ free }));
    expect(groups.filter(({ model }) => model === "large")).to.deep.equal([]);
    expect(stagings.map(({ engine }) => engine)).to.include("new");
  });

  it("replaces a lost member with a spare that has the model on its host", () => {
    const free = [...many(3, "large"), engineWith("spare", "small", ["large"])];
    const activeGroups = ["a", "b", "c"].map((name) =>
      activeGroup("small", name),
    );
    const plan = planGroups(inputWith({ free, activeGroups }));
    expect(plan.groups).to.deep.equal([
      {
        model: "large",
        members: ["large-0", "large-1", "large-2", "spare"],
      },
    ]);
  });

  // Guards against queues for the large model, which has lost its groups one by
  // one, while the small one has more groups than its calls fill.
  it("reassigns a group to a model that is short", () => {
    const activeGroups = ["a", "b", "c", "d", "e", "f"].map((name) =>
      activeGroup("small", name),
    );
    const plan = planGroups(
      inputWith({
        activeGroups: [...activeGroups, activeGroup("large", "g")],
        free: many(2, "large", ["small"]),
        demand: new Map([
          ["large", 2],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.closing).to.have.length(1);
    expect(plan.closing[0]).to.be.oneOf(["a", "b", "c", "d", "e", "f"]);
  });

  // Guards against closing too few groups when nothing is free: one small group
  // is not enough for a large one, and without a second the large model's
  // callers wait for a load.
  it("reassigns several small groups to a large one", () => {
    const activeGroups = ["a", "b", "c", "d", "e", "f"].map((name) =>
      activeGroup("small", name),
    );
    const plan = planGroups(
      inputWith({
        activeGroups,
        demand: new Map([
          ["large", 2],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.closing).to.have.length(2);
  });

  // Guards against four instances that hold the small model being idle for the
  // length of a load when the large model is short but nothing free holds it.
  it("forms groups of models that free instances hold rather than leaving them idle", () => {
    const free = many(4, "small");
    const plan = planGroups(
      inputWith({
        free,
        activeGroups: ["a", "b"].map((name) => activeGroup("small", name)),
        demand: new Map([
          ["large", 4],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.groups.map(({ model }) => model)).to.deep.equal(["small"]);
  });

  // Guards against another small group of a domain's free instances while two
  // small groups close there for a large one: it would leave too few members,
  // and the large model's callers would keep waiting.
  it("reserves the instances of a domain whose groups are being reassigned", () => {
    const free = many(4, "small");
    const activeGroups = [activeGroup("small", "a"), activeGroup("small", "b")];
    const reservedDomains = new Set(["domain"]);
    const plan = planGroups(
      inputWith({
        free,
        activeGroups,
        reservedDomains,
        demand: new Map([
          ["large", 4],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.groups).to.deep.equal([]);
    expect(plan.closing).to.deep.equal([]);
  });

  // Guards against closing small groups for a large one that has just lost a
  // member: its survivors join a new one sooner, and closing takes seconds of
  // the small groups' time.
  it("reassigns no group to a model that recovers by itself", () => {
    const names = ["a", "b", "c", "d", "e", "f"];
    const activeGroups = names.map((name) => activeGroup("small", name));
    const input = inputWith({
      activeGroups: [...activeGroups, activeGroup("large", "g")],
      demand: new Map([
        ["large", 1.5],
        ["small", 1],
      ]),
    });
    expect(planGroups(input).closing).to.have.length(2);
    const healingModels = new Set(["large"]);
    expect(planGroups({ ...input, healingModels }).closing).to.deep.equal([]);
  });

  it("keeps all groups while each model has its share", () => {
    const plan = planGroups(
      inputWith({
        activeGroups: [activeGroup("small", "a"), activeGroup("large", "b")],
        free: many(2, "large", ["small"]),
        demand: new Map([
          ["large", 0.5],
          ["small", 0.5],
        ]),
      }),
    );
    expect(plan.closing).to.deep.equal([]);
  });

  it("warms a free instance with the model on its host", () => {
    const free = [engineWith("spare", null, ["small"])];
    const { warmings } = planGroups(inputWith({ free }));
    expect(warmings).to.deep.equal([{ engine: "spare", model: "small" }]);
  });

  // Guards against staging a second model while a join still loads the first: a
  // host keeps one model, so whichever load ends last evicts the other.
  it("stages a second model only when the first is loaded", () => {
    const state = engineState({
      membership: {
        group: "g",
        epoch: 1,
        rank: 0,
        state: GroupMemberState.Joining,
      },
    });
    const view = engineView("spare", { state });
    const joining = { view, loaded: "small", isUnconfirmed: false };
    expect(planGroups(inputWith({ free: [joining] })).stagings).to.deep.equal(
      [],
    );
    const unconfirmed = {
      ...engineWith("spare", "small"),
      isUnconfirmed: true,
    };
    const plan = planGroups(inputWith({ free: [unconfirmed] }));
    expect(plan.stagings).to.deep.equal([]);
    const loaded = engineWith("spare", "small");
    expect(planGroups(inputWith({ free: [loaded] })).stagings).to.deep.equal([
      { engine: "spare", model: "large" },
    ]);
  });

  it("begins no more loads than are left", () => {
    const free = Array.from({ length: 5 }, (_, index) =>
      engineWith(`new-${index}`, null),
    );
    const { stagings } = planGroups(inputWith({ free, loadsLeft: 2 }));
    expect(stagings).to.have.length(2);
  });
});
