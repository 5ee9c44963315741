import { expect } from "chai";
import { GroupMemberState } from "../calls/types.ts";
import type { IEngineState } from "../calls/types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { GroupController } from "./group_controller.ts";
import type { IAddressedOrder } from "./group_controller.ts";
import { GroupPhase, GroupTrouble } from "./replica_group.ts";
import { buildServingTable } from "./serving_table.ts";
import {
  engineState,
  engineView,
  memberOf,
  SMALL,
  viewsOf,
} from "../../../test/support/engine_fixtures.ts";

const PLAN = {
  group: "group-7",
  epoch: 7,
  model: "small",
  members: ["head", "tail"],
};
const OTHER_PLAN = { group: "group-8", epoch: 8 };
/** Milliseconds by which reports lag behind, including REPORT_LAG_MARGIN. */
const LAG = 300;
/** Milliseconds. */
const OPEN_TIME = 300;

/** Views of both members at one moment. */
function members(
  askedAt: number,
  head: IEngineState = memberOf(PLAN, 0, GroupMemberState.Open),
  tail: Partial<IEngineView> = {},
): ReadonlyMap<string, IEngineView> {
  return viewsOf(
    engineView("head", { state: head, askedAt }),
    engineView("tail", { state: memberOf(PLAN, 1), askedAt, ...tail }),
  );
}

/** Views in which the head reports a state. */
function headReports(
  state: GroupMemberState,
  askedAt: number,
): ReadonlyMap<string, IEngineView> {
  return members(askedAt, memberOf(PLAN, 0, state));
}

function newController(): GroupController {
  const times = {
    stallTime: 5_000,
    reportLag: () => LAG - 100,
    openTime: () => OPEN_TIME,
  };
  return new GroupController(times, () => SMALL);
}

/** A controller that has adopted the open group at 1,000 ms. */
function adoptingController(): GroupController {
  const controller = newController();
  controller.reconcile(headReports(GroupMemberState.Open, 990), 1_000);
  expect(takesWork(controller)).to.equal(true);
  return controller;
}

/** Whether the group takes requests; null if it is not listed at all. */
function takesWork(controller: GroupController): boolean | null {
  const options = { service: "summaries", slots: 12 };
  const views = headReports(GroupMemberState.Open, 0);
  const [entry] = buildServingTable(controller.groups, views, options);
  return entry?.takesWork ?? null;
}

function kinds(orders: readonly IAddressedOrder[]): readonly string[] {
  return orders.map(({ engine, order }) => `${order.kind} ${engine}`);
}

describe("a serving group whose head is no longer open", () => {
  // Guards against a group that is listed as serving and refuses its requests
  // for good: a former holder's order to close is carried out late.
  it("is opened again, and takes no requests until then", () => {
    const controller = adoptingController();
    const closed = headReports(GroupMemberState.Ready, 2_000);
    expect(kinds(controller.reconcile(closed, 2_010))).to.deep.equal([
      "open head",
    ]);
    expect(takesWork(controller)).to.equal(false);
    controller.handleOpened(PLAN.group, 2_020);
    controller.reconcile(closed, 2_020 + OPEN_TIME - 10);
    expect(takesWork(controller)).to.equal(false);
    controller.reconcile(closed, 2_020 + OPEN_TIME);
    expect(takesWork(controller)).to.equal(true);
  });

  // Guards against charged orders that change nothing: the head has accepted
  // one, and reports show it open later.
  it("is sent no further order to open once it has accepted one", () => {
    const controller = adoptingController();
    const closed = headReports(GroupMemberState.Ready, 2_000);
    controller.reconcile(closed, 2_010);
    expect(kinds(controller.reconcile(closed, 2_020))).to.deep.equal([
      "open head",
    ]);
    controller.handleOpened(PLAN.group, 2_030);
    expect(kinds(controller.reconcile(closed, 2_320))).to.deep.equal([]);
  });

  // Guards against taking a group from its callers whose head has opened: a
  // report that was requested before it opened shows it ready.
  it("is not assumed on a report that may be from before it opened", () => {
    const controller = adoptingController();
    const closed = headReports(GroupMemberState.Ready, 2_000);
    controller.reconcile(closed, 2_010);
    controller.handleOpened(PLAN.group, 2_020);
    controller.reconcile(closed, 2_020 + OPEN_TIME);
    const shownFrom = 2_020 + OPEN_TIME + LAG;
    const early = headReports(GroupMemberState.Ready, shownFrom);
    expect(kinds(controller.reconcile(early, shownFrom + 10))).to.deep.equal(
      [],
    );
    expect(takesWork(controller)).to.equal(true);
    const late = headReports(GroupMemberState.Ready, shownFrom + 1);
    expect(kinds(controller.reconcile(late, shownFrom + 20))).to.deep.equal([
      "open head",
    ]);
    expect(takesWork(controller)).to.equal(false);
  });

  // Guards against the same for an adopted group: reports lag by amounts that
  // vary, so a later one may show an earlier state.
  it("is not assumed on a report from just after it was adopted", () => {
    const controller = adoptingController();
    const early = headReports(GroupMemberState.Ready, 1_000 + LAG);
    expect(kinds(controller.reconcile(early, 1_400))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(true);
  });

  // Guards against cut streams and refused requests: a head that closes late
  // finishes its running requests and cannot be opened before.
  it("finishes its requests before it is opened again", () => {
    const controller = adoptingController();
    const closing = headReports(GroupMemberState.Closing, 2_000);
    expect(kinds(controller.reconcile(closing, 2_010))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(false);
    const still = headReports(GroupMemberState.Closing, 9_000);
    expect(kinds(controller.reconcile(still, 9_010))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(false);
    expect(controller.abandonedGroups(9_010)).to.deep.equal([]);
    const idle = headReports(GroupMemberState.Ready, 9_100);
    expect(kinds(controller.reconcile(idle, 9_110))).to.deep.equal([
      "open head",
    ]);
  });

  // Guards against streams that are cut when the lease changes hands: the next
  // holder finds a head that the former one, or a late order, has closed.
  it("finishes its requests when it is adopted while it closes", () => {
    const controller = newController();
    const closing = headReports(GroupMemberState.Closing, 990);
    expect(kinds(controller.reconcile(closing, 1_000))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(false);
    expect(controller.abandonedGroups(1_000)).to.deep.equal([]);
    const idle = headReports(GroupMemberState.Ready, 2_000);
    expect(kinds(controller.reconcile(idle, 2_010))).to.deep.equal([
      "open head",
    ]);
  });

  // Guards against opening a head that closes because a member leaves.
  it("is closed when it is adopted while it closes for a member", () => {
    const controller = newController();
    const draining = { isDraining: true };
    const closing = memberOf(PLAN, 0, GroupMemberState.Closing);
    controller.reconcile(members(990, closing, draining), 1_000);
    expect(takesWork(controller)).to.equal(false);
    const idle = members(1_200, memberOf(PLAN, 0), draining);
    expect(kinds(controller.reconcile(idle, 1_210))).to.deep.equal([
      "leave head",
    ]);
  });

  // Guards against requests in a group that is not complete: a head that opens
  // checks no other member.
  it("is opened again only when each member reports ready", () => {
    const controller = adoptingController();
    const ready = memberOf(PLAN, 0);
    const loading = { state: memberOf(PLAN, 1, GroupMemberState.Joining) };
    const views = members(2_000, ready, loading);
    expect(kinds(controller.reconcile(views, 2_010))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(false);
    const complete = headReports(GroupMemberState.Ready, 2_100);
    expect(kinds(controller.reconcile(complete, 2_110))).to.deep.equal([
      "open head",
    ]);
  });

  // Guards against a group that waits for good for an answer to its order to
  // open: the order is never answered and carried out late.
  it("takes requests once a report shows it open again", () => {
    const controller = adoptingController();
    controller.reconcile(headReports(GroupMemberState.Ready, 2_000), 2_010);
    controller.reconcile(headReports(GroupMemberState.Open, 5_000), 5_010);
    expect(takesWork(controller)).to.equal(true);
  });

  // Guards against opening a group that a member is about to leave.
  it("is dissolved, not opened again, when a member drains", () => {
    const controller = adoptingController();
    controller.reconcile(headReports(GroupMemberState.Closing, 2_000), 2_010);
    const draining = { isDraining: true };
    const closing = memberOf(PLAN, 0, GroupMemberState.Closing);
    const busy = members(2_100, closing, draining);
    expect(kinds(controller.reconcile(busy, 2_110))).to.deep.equal([]);
    expect(takesWork(controller)).to.equal(false);
    const idle = members(2_300, memberOf(PLAN, 0), draining);
    expect(kinds(controller.reconcile(idle, 2_310))).to.deep.equal([
      "leave head",
    ]);
  });

  // Guards against requests that stall in a group without one of its members:
  // a former holder's order to leave is carried out late.
  it("is dissolved when a member has left it", () => {
    const controller = adoptingController();
    const left = { state: engineState() };
    const open = memberOf(PLAN, 0, GroupMemberState.Open);
    const views = members(2_000, open, left);
    expect(kinds(controller.reconcile(views, 2_010))).to.deep.equal([
      "leave head",
    ]);
    expect(takesWork(controller)).to.equal(null);
    expect(controller.groups[0]?.trouble).to.equal(
      GroupTrouble.MemberElsewhere,
    );
  });

  // Guards against a group that is listed as serving while its head is in no
  // group, or in another: a former holder's order to leave is carried out late.
  for (const [where, state] of [
    ["no group", engineState()],
    ["another group", memberOf(OTHER_PLAN, 0)],
  ] as const) {
    it(`is dissolved when its head is in ${where}`, () => {
      const controller = adoptingController();
      controller.reconcile(members(2_000, state), 2_010);
      expect(takesWork(controller)).to.equal(null);
      const group = controller.groups.find(({ plan }) => plan.epoch === 7);
      expect(group?.phase).to.equal(GroupPhase.Dissolving);
      expect(group?.trouble).to.equal(GroupTrouble.MemberElsewhere);
    });
  }
});
