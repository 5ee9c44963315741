import { expect } from "chai";
import { MemberState } from "../calls/types.ts";
import { planGroups } from "./plan_groups.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import type { IPlanningInput } from "./plan_groups.ts";
import {
  engineState,
  engineView,
  LARGE,
  SMALL,
} from "../../../test/support/engines.ts";

/** An engine that holds models; the first by its last group. */
function holding(
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
    holding(`${loaded}-${index}`, loaded, staged),
  );
}

function standing(model: string, group: string): IPlannerGroup {
  const size = model === "large" ? LARGE.size : SMALL.size;
  const other = model === "large" ? "small" : "large";
  const members = Array.from({ length: size }, (_, index) =>
    holding(`${group}-${index}`, model, [other]),
  );
  return {
    group,
    model,
    domain: "domain",
    isServing: true,
    members,
  };
}

function situation(part: Partial<IPlanningInput>): IPlanningInput {
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

describe("planning replica groups", () => {
  it("divides a domain and keeps spares before callers come", () => {
    const free = many(10, null);
    const { groups } = planGroups(situation({ free, isBeforeTraffic: true }));
    const models = groups.map(({ model }) => model).sort();
    expect(models).to.deep.equal(["large", "small", "small"]);
  });

  // A member of a large group is lost, and an empty instance has just arrived.
  // Joining it would stop the three survivors for the sixteen seconds of its
  // load.
  it("does not join an instance that would have to load", () => {
    const free = [...many(3, "large"), holding("new", null)];
    const { groups, stagings } = planGroups(situation({ free }));
    expect(groups.filter(({ model }) => model === "large")).to.deep.equal([]);
    expect(stagings.map(({ engine }) => engine)).to.include("new");
  });

  it("heals with a spare that has the model on its host", () => {
    const free = [...many(3, "large"), holding("spare", "small", ["large"])];
    const stands = ["a", "b", "c"].map((name) => standing("small", name));
    const plan = planGroups(situation({ free, activeGroups: stands }));
    expect(plan.groups).to.deep.equal([
      {
        model: "large",
        members: ["large-0", "large-1", "large-2", "spare"],
      },
    ]);
  });

  // The large model has lost its groups one by one, and its callers queue,
  // while the small one has more groups than its calls fill.
  it("turns a group over to a model that is short", () => {
    const stands = ["a", "b", "c", "d", "e", "f"].map((name) =>
      standing("small", name),
    );
    const plan = planGroups(
      situation({
        activeGroups: [...stands, standing("large", "g")],
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

  // The same with nothing free. One small group alone does not make a large
  // one; without a second the large model's callers wait for a load.
  it("turns several small groups over to a large one", () => {
    const stands = ["a", "b", "c", "d", "e", "f"].map((name) =>
      standing("small", name),
    );
    const plan = planGroups(
      situation({
        activeGroups: stands,
        demand: new Map([
          ["large", 2],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.closing).to.have.length(2);
  });

  // The large model is short, but nothing free holds it. Four instances with the
  // small one would stand idle for the length of a load.
  it("forms what the free instances hold rather than leave them idle", () => {
    const free = many(4, "small");
    const plan = planGroups(
      situation({
        free,
        activeGroups: ["a", "b"].map((name) => standing("small", name)),
        demand: new Map([
          ["large", 4],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.groups.map(({ model }) => model)).to.deep.equal(["small"]);
  });

  // Two small groups are being closed for a large one. Meanwhile the free
  // instances of their domain make another small one, and when the two have
  // closed there are too few members: the large model's callers wait on.
  it("keeps the instances of a domain that is being turned over", () => {
    const free = many(4, "small");
    const stands = [standing("small", "a"), standing("small", "b")];
    const reserved = new Set(["domain"]);
    const plan = planGroups(
      situation({
        free,
        activeGroups: stands,
        reservedDomains: reserved,
        demand: new Map([
          ["large", 4],
          ["small", 1],
        ]),
      }),
    );
    expect(plan.groups).to.deep.equal([]);
    expect(plan.closing).to.deep.equal([]);
  });

  // A large group has just lost a member, and its survivors join a new one.
  // Closing small groups for it as well would take seconds of their time for
  // what is back sooner by itself.
  it("turns nothing over for a model that heals by itself", () => {
    const names = ["a", "b", "c", "d", "e", "f"];
    const stands = names.map((name) => standing("small", name));
    const calm = situation({
      activeGroups: [...stands, standing("large", "g")],
      demand: new Map([
        ["large", 1.5],
        ["small", 1],
      ]),
    });
    expect(planGroups(calm).closing).to.have.length(2);
    const healing = new Set(["large"]);
    expect(
      planGroups({ ...calm, healingModels: healing }).closing,
    ).to.deep.equal([]);
  });

  it("leaves groups alone while each model has its part", () => {
    const plan = planGroups(
      situation({
        activeGroups: [standing("small", "a"), standing("large", "b")],
        free: many(2, "large", ["small"]),
        demand: new Map([
          ["large", 0.5],
          ["small", 0.5],
        ]),
      }),
    );
    expect(plan.closing).to.deep.equal([]);
  });

  it("warms a free instance with what its host has", () => {
    const free = [holding("spare", null, ["small"])];
    const { warmings } = planGroups(situation({ free }));
    expect(warmings).to.deep.equal([{ engine: "spare", model: "small" }]);
  });

  // A host keeps one model. Staging a second while a join still loads the
  // first lets whichever ends last push the other out.
  it("stages a second model only when the first is loaded", () => {
    const state = engineState({
      membership: { group: "g", epoch: 1, rank: 0, state: MemberState.Joining },
    });
    const view = engineView("spare", { state });
    const joining = { view, loaded: "small", isUnconfirmed: false };
    expect(planGroups(situation({ free: [joining] })).stagings).to.deep.equal(
      [],
    );
    const unconfirmed = { ...holding("spare", "small"), isUnconfirmed: true };
    const plan = planGroups(situation({ free: [unconfirmed] }));
    expect(plan.stagings).to.deep.equal([]);
    const loaded = holding("spare", "small");
    expect(planGroups(situation({ free: [loaded] })).stagings).to.deep.equal([
      { engine: "spare", model: "large" },
    ]);
  });

  it("begins no more loads than are left", () => {
    const free = Array.from({ length: 5 }, (_, index) =>
      holding(`new-${index}`, null),
    );
    const { stagings } = planGroups(situation({ free, loadsLeft: 2 }));
    expect(stagings).to.have.length(2);
  });
});
