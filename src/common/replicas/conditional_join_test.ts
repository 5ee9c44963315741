import { expect } from "chai";
import type { IEngineView } from "./engine_registry.ts";
import { GroupController } from "./group_controller.ts";
import type { IAddressedOrder } from "./group_controller.ts";
import { GroupPhase, GroupTrouble } from "./replica_group.ts";
import {
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
const OTHER_PLAN = { group: "group-6", epoch: 6 };
/** Milliseconds by which reports lag behind, including REPORT_LAG_MARGIN. */
const LAG = 300;

/** A controller that forms the group of two engines that are free. */
function formingController(): GroupController {
  const times = {
    stallTime: 5_000,
    reportLag: () => LAG - 100,
    openTime: () => 300,
  };
  const controller = new GroupController(times, () => SMALL);
  controller.form(PLAN, viewsOf(engineView("head"), engineView("tail")), 0);
  return controller;
}

/** The joins among some orders, with the number of orders that each names. */
function joins(orders: readonly IAddressedOrder[]): readonly string[] {
  return orders.flatMap(({ engine, order }) =>
    order.kind === OrderKind.Join
      ? [`${engine} ${order.expectedOrderCount}`]
      : [],
  );
}

function viewsWithTail(
  tail: Partial<IEngineView>,
): ReadonlyMap<string, IEngineView> {
  const head = engineView("head", { askedAt: tail.askedAt ?? 0 });
  return viewsOf(head, engineView("tail", tail));
}

describe("joining engines on the state that they reported", () => {
  // Guards against joining an engine that is in the group of an open head
  // again: a join that was never answered is carried out after it has left.
  it("names the number of orders that the engine had begun", () => {
    const controller = formingController();
    const views = viewsWithTail({ orderCount: 4 });
    expect(joins(controller.reconcile(views, 0))).to.deep.equal([
      "head 0",
      "tail 4",
    ]);
  });

  // Guards against joins that an engine refuses for a number that its report
  // shows too late.
  it("waits for a report that shows the engine's last order", () => {
    const controller = formingController();
    controller.handleAnswered("tail", 100);
    const early = viewsWithTail({ orderCount: 4, askedAt: 300 });
    expect(joins(controller.reconcile(early, 310))).to.deep.equal(["head 0"]);
    const late = viewsWithTail({ orderCount: 5, askedAt: 401 });
    expect(joins(controller.reconcile(late, 410))).to.deep.equal([
      "head 0",
      "tail 5",
    ]);
  });

  // Guards against giving up a group because another order came first.
  it("joins an engine again that is still free after a conflict", () => {
    const controller = formingController();
    const conflict = { group: PLAN.group, expectedOrderCount: 4 };
    controller.handleConflict("tail", conflict, 100);
    const views = viewsWithTail({ orderCount: 5, askedAt: 500 });
    expect(joins(controller.reconcile(views, 510))).to.include("tail 5");
    expect(controller.groups[0]?.phase).to.equal(GroupPhase.Forming);
  });

  // Guards against an order that is repeated for as long as the group may take
  // to form, although the engine refuses it for another reason.
  it("gives a group up whose member refuses the number that it reports", () => {
    const controller = formingController();
    const conflict = { group: PLAN.group, expectedOrderCount: 4 };
    controller.handleConflict("tail", conflict, 100);
    const views = viewsWithTail({ orderCount: 4, askedAt: 500 });
    expect(joins(controller.reconcile(views, 510))).to.deep.equal([]);
    expect(controller.groups[0]?.trouble).to.equal(GroupTrouble.OrderRefused);
  });

  // Guards against taking an engine from a group whose head is open: a late
  // join returned it to that group after it was chosen.
  it("gives a group up whose member has become one of another", () => {
    const controller = formingController();
    const state = memberOf(OTHER_PLAN, 1);
    const views = viewsWithTail({ state, orderCount: 5, askedAt: 500 });
    expect(joins(controller.reconcile(views, 510))).to.deep.equal([]);
    const group = controller.groups.find(({ plan }) => plan === PLAN);
    expect(group?.trouble).to.equal(GroupTrouble.MemberElsewhere);
  });

  // Guards against giving up a group whose member carried out a join without
  // an answer, and refuses the next one.
  it("counts an engine as joined that reports the group", () => {
    const controller = formingController();
    const conflict = { group: PLAN.group, expectedOrderCount: 0 };
    controller.handleConflict("tail", conflict, 100);
    const views = viewsOf(
      engineView("head", { state: memberOf(PLAN, 0), askedAt: 500 }),
      engineView("tail", {
        state: memberOf(PLAN, 1),
        orderCount: 1,
        askedAt: 500,
      }),
    );
    expect(joins(controller.reconcile(views, 510))).to.deep.equal([]);
    expect(controller.groups[0]?.phase).to.equal(GroupPhase.Opening);
  });
});
