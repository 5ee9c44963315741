import { expect } from "chai";
import { MemberState } from "../calls/types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { GroupController, warmGroupName } from "./group_controller.ts";
import type { IAddressedOrder } from "./group_controller.ts";
import { GroupPhase } from "./replica_group.ts";
import {
  engineState,
  engineView,
  memberOf,
  SMALL,
  viewsOf,
} from "../../../test/support/engines.ts";
import { OrderKind } from "./types.ts";

const PLAN = {
  group: "group-7",
  epoch: 7,
  model: "small",
  members: ["head", "tail"],
};
/** Reports describe the time this long before they were asked for. */
const LAG = 300;

function newKeeper(): GroupController {
  const times = {
    stallTime: 5_000,
    reportLag: () => LAG - 100,
    openTime: () => 300,
  };
  return new GroupController(times, () => SMALL);
}

function kinds(orders: readonly IAddressedOrder[]): readonly string[] {
  return orders.map(({ engine, order }) => `${order.kind} ${engine}`);
}

function phases(keeper: GroupController): readonly GroupPhase[] {
  return keeper.groups.map(({ phase }) => phase);
}

/** Both members as of one moment. */
function members(
  askedAt: number,
  state: MemberState = MemberState.Ready,
  tail: Partial<IEngineView> = {},
): ReadonlyMap<string, IEngineView> {
  return viewsOf(
    engineView("head", { state: memberOf(PLAN, 0, state), askedAt }),
    engineView("tail", { state: memberOf(PLAN, 1), askedAt, ...tail }),
  );
}

/** A keeper whose group serves at 1,000. */
function serving(): GroupController {
  const keeper = newKeeper();
  const free = viewsOf(engineView("head"), engineView("tail"));
  keeper.form(PLAN, free, 0);
  keeper.handleJoined(PLAN.group, "head", 10);
  keeper.handleJoined(PLAN.group, "tail", 10);
  keeper.reconcile(members(500), 500);
  keeper.reconcile(members(900, MemberState.Open), 1_000);
  return keeper;
}

describe("keeping replica groups", () => {
  // A group is opened while one of its members still loads, because its head
  // says that it is ready. The head checks nobody; requests run in a group
  // that is not whole.
  it("opens a group only when each member is seen ready", () => {
    const keeper = newKeeper();
    const free = viewsOf(engineView("head"), engineView("tail"));
    keeper.form(PLAN, free, 0);
    expect(kinds(keeper.reconcile(free, 0))).to.deep.equal([
      "join head",
      "join tail",
    ]);
    keeper.handleJoined(PLAN.group, "head", 10);
    keeper.handleJoined(PLAN.group, "tail", 10);
    const joining = { state: memberOf(PLAN, 1, MemberState.Joining) };
    const notYet = members(500, MemberState.Ready, joining);
    expect(kinds(keeper.reconcile(notYet, 500))).to.deep.equal([]);
    expect(kinds(keeper.reconcile(members(600), 600))).to.deep.equal([
      "open head",
    ]);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Opening]);
  });

  // A report lags by some hundred milliseconds. Asked for just after the order
  // to join it shows the engine free, as if it had left; each group would be
  // given up as soon as it is formed.
  it("does not take an old report for a member's leaving", () => {
    const keeper = newKeeper();
    const free = viewsOf(engineView("head"), engineView("tail"));
    keeper.form(PLAN, free, 0);
    keeper.handleJoined(PLAN.group, "head", 10);
    keeper.handleJoined(PLAN.group, "tail", 10);
    const early = viewsOf(
      engineView("head", { askedAt: 50 }),
      engineView("tail", { askedAt: 50 }),
    );
    keeper.reconcile(early, 60);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Forming]);
    const late = viewsOf(
      engineView("head", { askedAt: 400 }),
      engineView("tail", { askedAt: 400 }),
    );
    keeper.reconcile(late, 410);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // Members are replaced in turn, and some leave the list without a word while
  // they still serve. Given up at once, their group breaks off the streams that
  // it could finish, and callers lose answers to planned work.
  it("lets a group finish whose member leaves the list but answers", () => {
    const keeper = serving();
    const leaving = { isListed: false };
    const views = members(1_100, MemberState.Open, {
      state: memberOf(PLAN, 1),
      ...leaving,
    });
    keeper.reconcile(views, 1_200);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Closing]);
    const gone = { state: memberOf(PLAN, 1), isSilent: true, ...leaving };
    keeper.reconcile(members(1_300, MemberState.Open, gone), 1_400);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // A member dies while its head serves. Were the survivors joined elsewhere
  // at once, the old head would go on taking requests with a hole in it.
  it("frees the others only when the head has left", () => {
    const keeper = serving();
    const lost = { isSilent: true };
    const views = members(1_500, MemberState.Open, lost);
    expect(kinds(keeper.reconcile(views, 1_500))).to.deep.equal(["leave head"]);
    expect(keeper.freeEngines(views)).to.deep.equal([]);
    keeper.handleLeft(PLAN.group);
    keeper.reconcile(views, 1_600);
    const free = keeper.freeEngines(views).map(({ target }) => target.id);
    expect(free).to.deep.equal(["head"]);
  });

  // The head itself falls silent. It may be dead, or only out of this
  // process's reach and still open.
  it("waits for the platform to drop a head that does not answer", () => {
    const keeper = serving();
    const silent = engineView("head", {
      state: memberOf(PLAN, 0, MemberState.Open),
      askedAt: 1_000,
      isSilent: true,
    });
    const tail = engineView("tail", { state: memberOf(PLAN, 1) });
    keeper.reconcile(viewsOf(silent, tail), 1_500);
    keeper.reconcile(viewsOf(silent, tail), 9_000);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Dissolving]);
    keeper.reconcile(viewsOf({ ...silent, isListed: false }, tail), 9_100);
    expect(keeper.groups).to.deep.equal([]);
  });

  // The process that formed the groups is killed. Its successor knows none of
  // them; were they taken for strangers, every serving group would be ended.
  it("adopts the groups that stand", () => {
    const keeper = newKeeper();
    const views = members(100, MemberState.Open);
    expect(kinds(keeper.reconcile(views, 100))).to.deep.equal([]);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Serving]);
  });

  it("dissolves an adopted group that is not whole", () => {
    const keeper = newKeeper();
    const state = memberOf(PLAN, 0, MemberState.Open);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    expect(kinds(keeper.reconcile(views, 100))).to.deep.equal(["leave head"]);
  });

  it("counts an engine that is warmed by itself as free", () => {
    const keeper = newKeeper();
    const group = { group: warmGroupName(9), epoch: 9 };
    const state = memberOf(group, 0);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    keeper.reconcile(views, 100);
    expect(keeper.groups).to.deep.equal([]);
    expect(keeper.freeEngines(views)).to.have.length(1);
  });

  // The lease changes hands while a group forms. The new holder sees its head
  // ready and not yet its other member; the old holder's order to open is on
  // its way. Taken for free, the head would be joined elsewhere while open.
  it("makes a head leave before it counts it as free", () => {
    const keeper = newKeeper();
    const state = memberOf(PLAN, 0);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    expect(kinds(keeper.reconcile(views, 100))).to.deep.equal(["leave head"]);
    expect(keeper.freeEngines(views)).to.deep.equal([]);
  });

  // An order to open is carried out seconds late, after the group was given
  // up. Its members must not be joined elsewhere while that head is open.
  it("takes care again of a released group that opens late", () => {
    const keeper = serving();
    const lost = { isSilent: true };
    keeper.reconcile(members(1_500, MemberState.Open, lost), 1_500);
    keeper.handleLeft(PLAN.group);
    keeper.reconcile(members(1_600, MemberState.Ready, lost), 1_600);
    expect(keeper.groups).to.deep.equal([]);
    const late = members(3_000, MemberState.Open, lost);
    expect(kinds(keeper.reconcile(late, 3_000))).to.deep.equal(["leave head"]);
    expect(keeper.freeEngines(late)).to.deep.equal([]);
  });

  // A zone comes back after a cut, and its engines answer one after the other.
  // The tail of a group is heard before its head, which is open: taken for an
  // engine without a group, the head would be joined elsewhere while open.
  it("adopts a group whole though its members are heard one by one", () => {
    const keeper = newKeeper();
    const tail = engineView("tail", { state: memberOf(PLAN, 1), askedAt: 100 });
    const unheard = engineView("head", { state: null });
    const alone = viewsOf(tail, unheard);
    expect(kinds(keeper.reconcile(alone, 100))).to.deep.equal([]);
    expect(keeper.freeEngines(alone)).to.deep.equal([]);
    keeper.reconcile(members(600, MemberState.Open), 600);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Serving]);
  });

  // The lease changes hands because its holder was killed, and a member of a
  // group is lost meanwhile. Waiting for it as for one that is not heard yet
  // leaves the model without the group for a second more.
  it("does not wait for a member that has ended", () => {
    const keeper = newKeeper();
    const state = memberOf(PLAN, 0, MemberState.Open);
    const views = viewsOf(
      engineView("head", { state, askedAt: 100 }),
      engineView("tail", { state: null, isSilent: true }),
    );
    expect(kinds(keeper.reconcile(views, 100))).to.deep.equal(["leave head"]);
  });

  // The same while the member's whole zone is out of reach: it may be well.
  it("waits for a member whose zone is out of reach", () => {
    const keeper = newKeeper();
    const state = memberOf(PLAN, 0, MemberState.Open);
    const lost = { state: null, isSilent: true, isUnreachable: true };
    const views = viewsOf(
      engineView("head", { state, askedAt: 100 }),
      engineView("tail", lost),
    );
    expect(kinds(keeper.reconcile(views, 100))).to.deep.equal([]);
  });

  it("keeps a head from being free that is heard late", () => {
    const keeper = newKeeper();
    const tail = engineView("tail", { state: memberOf(PLAN, 1), askedAt: 100 });
    keeper.reconcile(viewsOf(tail), 100);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Dissolving]);
    const both = members(600, MemberState.Open);
    expect(keeper.freeEngines(both)).to.deep.equal([]);
    keeper.reconcile(both, 600);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Serving]);
  });

  // An engine starts again under the id that it had. It knows nothing of the
  // group, while its head waits for it.
  it("gives up a group when a member has started again", () => {
    const keeper = serving();
    const restarted = { state: engineState(), startedAt: 2 };
    keeper.reconcile(members(1_500, MemberState.Open, restarted), 1_500);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // A head has ended while it was open; its last report says so for good. Taken
  // for news, the group would be given up and released in turn, for ever.
  it("does not take an ended head's last report for news", () => {
    const keeper = serving();
    const state = memberOf(PLAN, 0, MemberState.Open);
    const gone = { state, askedAt: 900, isSilent: true, isListed: false };
    const tail = engineView("tail", { state: memberOf(PLAN, 1) });
    const views = viewsOf(engineView("head", gone), tail);
    keeper.reconcile(views, 5_000);
    keeper.reconcile(views, 5_050);
    expect(keeper.groups).to.deep.equal([]);
    keeper.takeChanges();
    keeper.reconcile(views, 5_100);
    expect(keeper.takeChanges()).to.deep.equal([]);
    const free = keeper.freeEngines(views).map(({ target }) => target.id);
    expect(free).to.deep.equal(["tail"]);
  });

  it("lets a group finish when a member leaves by plan", () => {
    const keeper = serving();
    const views = members(1_500, MemberState.Open, { isDraining: true });
    const orders = keeper.reconcile(views, 1_500);
    expect(kinds(orders)).to.deep.equal(["close head"]);
    expect(phases(keeper)).to.deep.equal([GroupPhase.Closing]);
    const idle = members(1_900, MemberState.Ready, { isDraining: true });
    const after = keeper.reconcile(idle, 1_900);
    expect(after.map(({ order }) => order.kind)).to.deep.equal([
      OrderKind.Leave,
    ]);
  });
});
