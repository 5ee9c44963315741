import { expect } from "chai";
import { GroupMemberState } from "../calls/types.ts";
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
} from "../../../test/support/engine_fixtures.ts";
import { OrderKind } from "./types.ts";

const PLAN = {
  group: "group-7",
  epoch: 7,
  model: "small",
  members: ["head", "tail"],
};
/** Milliseconds by which reports lag behind, including REPORT_LAG_MARGIN. */
const LAG = 300;

function newController(): GroupController {
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

function phases(controller: GroupController): readonly GroupPhase[] {
  return controller.groups.map(({ phase }) => phase);
}

/** Views of both members at one moment. */
function members(
  askedAt: number,
  state: GroupMemberState = GroupMemberState.Ready,
  tail: Partial<IEngineView> = {},
): ReadonlyMap<string, IEngineView> {
  return viewsOf(
    engineView("head", { state: memberOf(PLAN, 0, state), askedAt }),
    engineView("tail", { state: memberOf(PLAN, 1), askedAt, ...tail }),
  );
}

/** A controller whose group serves from 1,000 ms on. */
function servingController(): GroupController {
  const controller = newController();
  const free = viewsOf(engineView("head"), engineView("tail"));
  controller.form(PLAN, free, 0);
  controller.handleJoined(PLAN.group, "head", 10);
  controller.handleJoined(PLAN.group, "tail", 10);
  controller.reconcile(members(500), 500);
  controller.reconcile(members(900, GroupMemberState.Open), 1_000);
  return controller;
}

describe("GroupController", () => {
  // Guards against opening a group while a member still loads because the head
  // reports ready: the head checks nobody, and requests run in a group that is
  // not complete.
  it("opens a group only when each member reports ready", () => {
    const controller = newController();
    const free = viewsOf(engineView("head"), engineView("tail"));
    controller.form(PLAN, free, 0);
    expect(kinds(controller.reconcile(free, 0))).to.deep.equal([
      "join head",
      "join tail",
    ]);
    controller.handleJoined(PLAN.group, "head", 10);
    controller.handleJoined(PLAN.group, "tail", 10);
    const joining = { state: memberOf(PLAN, 1, GroupMemberState.Joining) };
    const notYet = members(500, GroupMemberState.Ready, joining);
    expect(kinds(controller.reconcile(notYet, 500))).to.deep.equal([]);
    expect(kinds(controller.reconcile(members(600), 600))).to.deep.equal([
      "open head",
    ]);
    expect(phases(controller)).to.deep.equal([GroupPhase.Opening]);
  });

  // Guards against abandoning each group as soon as it is formed: reports lag
  // by some hundred milliseconds, so one requested just after the order to join
  // shows the engine free, as if it had left.
  it("does not treat an outdated report as a member leaving", () => {
    const controller = newController();
    const free = viewsOf(engineView("head"), engineView("tail"));
    controller.form(PLAN, free, 0);
    controller.handleJoined(PLAN.group, "head", 10);
    controller.handleJoined(PLAN.group, "tail", 10);
    const early = viewsOf(
      engineView("head", { askedAt: 50 }),
      engineView("tail", { askedAt: 50 }),
    );
    controller.reconcile(early, 60);
    expect(phases(controller)).to.deep.equal([GroupPhase.Forming]);
    const late = viewsOf(
      engineView("head", { askedAt: 400 }),
      engineView("tail", { askedAt: 400 }),
    );
    controller.reconcile(late, 410);
    expect(phases(controller)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // Guards against interrupted streams and lost answers during planned work:
  // some members leave the list unannounced while they still serve, so their
  // group can finish its streams.
  it("closes a group gracefully when a member leaves the list but answers", () => {
    const controller = servingController();
    const leaving = { isListed: false };
    const views = members(1_100, GroupMemberState.Open, {
      state: memberOf(PLAN, 1),
      ...leaving,
    });
    controller.reconcile(views, 1_200);
    expect(phases(controller)).to.deep.equal([GroupPhase.Closing]);
    const gone = { state: memberOf(PLAN, 1), isSilent: true, ...leaving };
    controller.reconcile(members(1_300, GroupMemberState.Open, gone), 1_400);
    expect(phases(controller)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // Guards against joining the survivors of a lost member elsewhere at once:
  // the old head would keep taking requests without them.
  it("frees the other members only when the head has left", () => {
    const controller = servingController();
    const lost = { isSilent: true };
    const views = members(1_500, GroupMemberState.Open, lost);
    expect(kinds(controller.reconcile(views, 1_500))).to.deep.equal([
      "leave head",
    ]);
    expect(controller.freeEngines(views)).to.deep.equal([]);
    controller.handleLeft(PLAN.group, "head", 1_550);
    controller.reconcile(views, 1_600);
    const free = controller.freeEngines(views).map(({ target }) => target.id);
    expect(free).to.deep.equal(["head"]);
  });

  // Guards against releasing a silent head too early: it may be dead, or only
  // out of this process's reach and still open.
  it("waits for the platform to drop an unresponsive head", () => {
    const controller = servingController();
    const silent = engineView("head", {
      state: memberOf(PLAN, 0, GroupMemberState.Open),
      askedAt: 1_000,
      isSilent: true,
    });
    const tail = engineView("tail", { state: memberOf(PLAN, 1) });
    controller.reconcile(viewsOf(silent, tail), 1_500);
    controller.reconcile(viewsOf(silent, tail), 9_000);
    expect(phases(controller)).to.deep.equal([GroupPhase.Dissolving]);
    const dropped = viewsOf({ ...silent, isListed: false }, tail);
    expect(kinds(controller.reconcile(dropped, 9_100))).to.deep.equal([
      "leave tail",
    ]);
    controller.handleLeft(PLAN.group, "tail", 9_120);
    controller.reconcile(dropped, 9_150);
    expect(controller.groups).to.deep.equal([]);
  });

  // Guards against ending every serving group when the holder is killed and its
  // successor knows none of them.
  it("adopts existing groups", () => {
    const controller = newController();
    const views = members(100, GroupMemberState.Open);
    expect(kinds(controller.reconcile(views, 100))).to.deep.equal([]);
    expect(phases(controller)).to.deep.equal([GroupPhase.Serving]);
  });

  // Guards against requests that stall in an open group which lost a member
  // while the lease changed hands.
  it("dissolves an adopted group that is incomplete", () => {
    const controller = newController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    expect(kinds(controller.reconcile(views, 100))).to.deep.equal([
      "leave head",
    ]);
  });

  it("counts an engine in a warm group as free", () => {
    const controller = newController();
    const group = { group: warmGroupName(9), epoch: 9 };
    const state = memberOf(group, 0);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    controller.reconcile(views, 100);
    expect(controller.groups).to.deep.equal([]);
    expect(controller.freeEngines(views)).to.have.length(1);
  });

  // Guards against joining an open head elsewhere: the lease changes hands
  // while a group forms, the new holder sees the head ready but not yet the
  // other member, and the old holder's order to open is in flight.
  it("orders a head to leave before counting it as free", () => {
    const controller = newController();
    const state = memberOf(PLAN, 0);
    const views = viewsOf(engineView("head", { state, askedAt: 100 }));
    expect(kinds(controller.reconcile(views, 100))).to.deep.equal([
      "leave head",
    ]);
    expect(controller.freeEngines(views)).to.deep.equal([]);
  });

  // Guards against joining members elsewhere while their head is open: an order
  // to open is carried out seconds late, after the group was abandoned.
  it("adopts a released group again that opens late", () => {
    const controller = servingController();
    const lost = { isSilent: true };
    controller.reconcile(members(1_500, GroupMemberState.Open, lost), 1_500);
    controller.handleLeft(PLAN.group, "head", 1_550);
    controller.reconcile(members(1_600, GroupMemberState.Ready, lost), 1_600);
    expect(controller.groups).to.deep.equal([]);
    const late = members(3_000, GroupMemberState.Open, lost);
    expect(kinds(controller.reconcile(late, 3_000))).to.deep.equal([
      "leave head",
    ]);
    expect(controller.freeEngines(late)).to.deep.equal([]);
  });

  // Guards against joining an open head elsewhere: after a cut, the engines of
  // a zone answer one by one, and the tail of a group reports before its head,
  // which looks free.
  it("adopts a complete group whose members report one by one", () => {
    const controller = newController();
    const tail = engineView("tail", { state: memberOf(PLAN, 1), askedAt: 100 });
    const unreported = engineView("head", { state: null });
    const alone = viewsOf(tail, unreported);
    expect(kinds(controller.reconcile(alone, 100))).to.deep.equal([]);
    expect(controller.freeEngines(alone)).to.deep.equal([]);
    controller.reconcile(members(600, GroupMemberState.Open), 600);
    expect(phases(controller)).to.deep.equal([GroupPhase.Serving]);
  });

  // Guards against waiting for a member that was lost while the lease changed
  // hands as for one that has not reported yet: the model lacks the group for a
  // second more.
  it("does not wait for a member that has ended", () => {
    const controller = newController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const views = viewsOf(
      engineView("head", { state, askedAt: 100 }),
      engineView("tail", { state: null, isSilent: true }),
    );
    expect(kinds(controller.reconcile(views, 100))).to.deep.equal([
      "leave head",
    ]);
  });

  // Guards against interrupting the streams of a healthy group: the lease
  // changed hands, and one member's zone cannot be reached from the new holder.
  it("waits for a member whose zone is unreachable", () => {
    const controller = newController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const lost = { state: null, isSilent: true, isUnreachable: true };
    const views = viewsOf(
      engineView("head", { state, askedAt: 100 }),
      engineView("tail", lost),
    );
    expect(kinds(controller.reconcile(views, 100))).to.deep.equal([]);
  });

  // Guards against joining an open head elsewhere: its first report arrives
  // after the group was adopted as incomplete, without it.
  it("does not count a head as free that reports late", () => {
    const controller = newController();
    const tail = engineView("tail", { state: memberOf(PLAN, 1), askedAt: 100 });
    controller.reconcile(viewsOf(tail), 100);
    expect(phases(controller)).to.deep.equal([GroupPhase.Dissolving]);
    const both = members(600, GroupMemberState.Open);
    expect(controller.freeEngines(both)).to.deep.equal([]);
    controller.reconcile(both, 600);
    expect(phases(controller)).to.deep.equal([GroupPhase.Serving]);
  });

  // Guards against requests that stall in a group whose head serves on without
  // its members: the platform has dropped the head, which a new holder does not
  // know.
  it("frees the members of an unknown head only when they have left", () => {
    const controller = newController();
    const tailAt = (askedAt: number) =>
      viewsOf(engineView("tail", { state: memberOf(PLAN, 1), askedAt }));
    expect(kinds(controller.reconcile(tailAt(100), 100))).to.deep.equal([]);
    const late = tailAt(9_000);
    expect(kinds(controller.reconcile(late, 9_000))).to.deep.equal([
      "leave tail",
    ]);
    expect(controller.freeEngines(late)).to.deep.equal([]);
    controller.handleLeft(PLAN.group, "tail", 9_020);
    controller.reconcile(late, 9_050);
    expect(controller.freeEngines(late)).to.have.length(1);
  });

  // Guards against the same stall when the head is known: it is cut off from
  // the platform and from this process, and its members still reach it.
  it("frees the members of a silent head only when they have left", () => {
    const controller = servingController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const gone = { state, askedAt: 900, isSilent: true, isListed: false };
    const tail = engineView("tail", { state: memberOf(PLAN, 1) });
    const views = viewsOf(engineView("head", gone), tail);
    controller.reconcile(views, 5_000);
    expect(kinds(controller.reconcile(views, 5_050))).to.include("leave tail");
    expect(controller.freeEngines(views)).to.deep.equal([]);
  });

  // Guards against joining a member elsewhere that has become one again: an
  // order to join that it never answered is carried out after it has left.
  it("joins no member elsewhere that a late order returned to an open head", () => {
    const controller = servingController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const gone = { state, askedAt: 900, isSilent: true, isListed: false };
    const viewsOfTail = (tail: Partial<IEngineView>) =>
      viewsOf(
        engineView("head", gone),
        engineView("tail", tail),
        engineView("other", { askedAt: tail.askedAt ?? 0 }),
      );
    const member = { state: memberOf(PLAN, 1), orderCount: 2 };
    controller.reconcile(viewsOfTail(member), 5_000);
    controller.handleLeft(PLAN.group, "tail", 5_010);
    controller.handleAnswered("tail", 5_010);
    const left = viewsOfTail({ orderCount: 3, askedAt: 6_000 });
    controller.reconcile(left, 6_000);
    const next = {
      group: "group-8",
      epoch: 8,
      model: "small",
      members: ["other", "tail"],
    };
    controller.form(next, left, 6_000);
    const [, join] = controller.reconcile(left, 6_000);
    expect(join).to.deep.equal({
      engine: "tail",
      order: { kind: OrderKind.Join, plan: next, expectedOrderCount: 3 },
    });
    const returned = viewsOfTail({ ...member, orderCount: 4, askedAt: 6_500 });
    const orders = kinds(controller.reconcile(returned, 6_500));
    expect(orders).not.to.include("join tail");
    expect(controller.freeEngines(returned)).to.deep.equal([]);
    const group = controller.groups.find(({ plan }) => plan === next);
    expect(group?.phase).to.equal(GroupPhase.Dissolving);
  });

  // Guards against the same stall when a member is silent as well and answers
  // again after the others were freed: it has not left its open head.
  it("does not free a member that returns to a head that may be open", () => {
    const controller = servingController();
    const lost = { isSilent: true, isListed: false };
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const head = engineView("head", { state, askedAt: 900, ...lost });
    const tail = { state: memberOf(PLAN, 1), askedAt: 900 };
    const views = viewsOf(head, engineView("tail", { ...tail, ...lost }));
    controller.reconcile(views, 5_000);
    controller.reconcile(views, 5_050);
    expect(controller.groups).to.deep.equal([]);
    const returned = viewsOf(head, engineView("tail", tail));
    controller.reconcile(returned, 5_100);
    expect(kinds(controller.reconcile(returned, 5_150))).to.deep.equal([
      "leave tail",
    ]);
    expect(controller.freeEngines(returned)).to.deep.equal([]);
  });

  // Guards against a head that waits for a member that restarted under the same
  // id and does not know the group.
  it("dissolves a group when a member has restarted", () => {
    const controller = servingController();
    const restarted = { state: engineState(), startedAt: 2 };
    controller.reconcile(
      members(1_500, GroupMemberState.Open, restarted),
      1_500,
    );
    expect(phases(controller)).to.deep.equal([GroupPhase.Dissolving]);
  });

  // Guards against abandoning and releasing a group in turn forever: a head
  // ended while open, and its last report keeps saying so.
  it("ignores the last report of a head that has ended", () => {
    const controller = servingController();
    const state = memberOf(PLAN, 0, GroupMemberState.Open);
    const gone = { state, askedAt: 900, isSilent: true, isListed: false };
    const tail = engineView("tail", { state: memberOf(PLAN, 1) });
    const views = viewsOf(engineView("head", gone), tail);
    controller.reconcile(views, 5_000);
    controller.reconcile(views, 5_050);
    controller.handleLeft(PLAN.group, "tail", 5_060);
    controller.reconcile(views, 5_080);
    expect(controller.groups).to.deep.equal([]);
    controller.takeChanges();
    controller.reconcile(views, 5_100);
    expect(controller.takeChanges()).to.deep.equal([]);
    const free = controller.freeEngines(views).map(({ target }) => target.id);
    expect(free).to.deep.equal(["tail"]);
  });

  it("closes a group gracefully when a member is draining", () => {
    const controller = servingController();
    const views = members(1_500, GroupMemberState.Open, { isDraining: true });
    const orders = controller.reconcile(views, 1_500);
    expect(kinds(orders)).to.deep.equal(["close head"]);
    expect(phases(controller)).to.deep.equal([GroupPhase.Closing]);
    const idle = members(1_900, GroupMemberState.Ready, { isDraining: true });
    const after = controller.reconcile(idle, 1_900);
    expect(after.map(({ order }) => order.kind)).to.deep.equal([
      OrderKind.Leave,
    ]);
  });
});
