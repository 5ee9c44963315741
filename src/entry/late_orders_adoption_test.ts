/** Late orders of a former holder about groups that the next one adopts. */
import { expect } from "chai";
import { TestDeployment } from "../../test/support/fleet_deployment.ts";
import {
  advanceUntil,
  endHolder,
  findLargePlan,
  HeldOrders,
  startProcess,
} from "../../test/support/held_orders.ts";
import { OrderKind, OrderOutcome } from "../common/replicas/types.ts";

/** Milliseconds by which an order is at least late. */
const LATE_BY = 2_000;

/**
 * Milliseconds within which a holder notices what reports show: they are
 * requested every 900 ms.
 */
const NOTICED_WITHIN = 1_000;

/** Milliseconds from the leave until the late order to open. */
const TIME_BETWEEN = 100;

/** Milliseconds; longer than unanswered orders stay late. */
const TIME_AFTERWARDS = 20_000;

describe("late orders about adopted groups", () => {
  // Guards against calls that stall until the head breaks: the former holder
  // had lost the head and ordered the members to leave; one leaves late, when
  // the next holder has found the group whole and serves it.
  for (const rank of [0, 1]) {
    const leaving = rank === 0 ? "head" : "member";
    it(`stops serving a group whose ${leaving} leaves by a late order`, async () => {
      const deployment = new TestDeployment();
      const { engines } = deployment;
      const held = new HeldOrders(deployment);
      const former = startProcess(deployment, "10.0.0.1:1");
      await advanceUntil(deployment, "the large group serves", () =>
        former.groups.all.some(({ model }) => model === "large"),
      );
      const plan = findLargePlan(deployment);
      const { group = "", members = [] } = plan ?? {};
      const [head = "", other = ""] = members;
      const late = members[rank] ?? "";
      held.isHeld = (_, { kind }) => kind === OrderKind.Leave;
      const lost = rank === 0 ? other : head;
      engines.dead.add(lost);
      if (lost === head) {
        former.removeEngine(head);
      }
      await advanceUntil(deployment, "it is ordered to leave", () =>
        held.has(OrderKind.Leave, late),
      );
      const ending = endHolder(deployment, former);
      engines.dead.delete(lost);
      const next = await ending;
      await advanceUntil(deployment, "the next process lists the group", () => {
        return next.coordinator.isHolder && next.serving.includes(group);
      });
      await deployment.advance(LATE_BY);
      await held.deliver(OrderKind.Leave, late);
      await deployment.advance(NOTICED_WITHIN);
      expect(next.serving).not.to.include(group);
      await deployment.advance(TIME_AFTERWARDS);
      next.coordinator.dispose();
      expect(engines.taken).to.deep.equal([]);
    });
  }

  // Guards against requests that stall because a member is joined to another
  // group while its head is open: the next holder finds the group ready and
  // dissolves it, and the former holder's order to open is carried out late.
  it("opens no group that the next holder dissolves", async () => {
    const deployment = new TestDeployment();
    const held = new HeldOrders(deployment);
    held.isHeld = (_, { kind }) => kind === OrderKind.Open;
    const former = startProcess(deployment, "10.0.0.1:1");
    await advanceUntil(deployment, "the large group is ordered to open", () =>
      held.has(OrderKind.Open, findLargePlan(deployment)?.members[0] ?? ""),
    );
    const { group = "", members = [] } = findLargePlan(deployment) ?? {};
    const [head = ""] = members;
    const next = await endHolder(deployment, former);
    const { engines } = deployment;
    await advanceUntil(deployment, "the head has left", () => {
      return engines.states.get(head)?.membership?.group !== group;
    });
    await deployment.advance(TIME_BETWEEN);
    const opened = await held.deliver(OrderKind.Open, head);
    expect(opened).to.equal(OrderOutcome.Refused);
    await deployment.advance(TIME_AFTERWARDS);
    next.coordinator.dispose();
    expect(engines.taken).to.deep.equal([]);
  });
});
