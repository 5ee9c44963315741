/** Late orders to engines that have started again under their ids. */
import { expect } from "chai";
import { TestDeployment } from "../../test/support/fleet_deployment.ts";
import type { TestProcess } from "../../test/support/fleet_deployment.ts";
import {
  advanceUntil,
  endHolder,
  findLargePlan,
  HeldOrders,
  isLarge,
  replaceHolder,
  startProcess,
} from "../../test/support/held_orders.ts";
import { OrderKind } from "../common/replicas/types.ts";
import type { IGroupPlan } from "../common/replicas/types.ts";

/** Milliseconds by which an order is at least late. */
const LATE_BY = 2_000;

/** Milliseconds between late orders, and until members are needed. */
const TIME_BETWEEN = 400;

/** Milliseconds; longer than unanswered orders stay late. */
const TIME_AFTERWARDS = 20_000;

/**
 * Milliseconds within which a holder notices what reports show: they are
 * requested every 900 ms.
 */
const NOTICED_WITHIN = 1_500;

/** Holds the first join of a large group's member, and the first open. */
function holdFirstOrders(held: HeldOrders, rank: number): void {
  let engine: string | null = null;
  held.isHeld = (id, order) => {
    if (order.kind === OrderKind.Join && engine === null) {
      const isChosen = isLarge(order.plan) && order.plan.members[rank] === id;
      engine = isChosen ? id : null;
      return isChosen;
    }
    const isFirstOpen =
      order.kind === OrderKind.Open &&
      id === engine &&
      !held.has(OrderKind.Open, id);
    return isFirstOpen;
  };
}

async function serveLargeGroup(
  deployment: TestDeployment,
  holder: TestProcess,
): Promise<IGroupPlan> {
  await advanceUntil(deployment, "the large group serves", () =>
    holder.groups.all.some(({ model }) => model === "large"),
  );
  await deployment.advance(200);
  const plan = findLargePlan(deployment);
  if (plan === null) {
    throw new Error("no large group was formed");
  }
  return plan;
}

describe("late orders to engines that have started again", () => {
  // Guards against requests that stall because a member is joined to another
  // group while its head is open: the head had left and started again under its
  // id, its numbers start at zero, and its first orders to join and to open are
  // carried out late.
  for (const isReplaced of [true, false]) {
    const sender = isReplaced ? "the former holder" : "the holder";
    it(`takes no member of a restarted head that late orders of ${sender} have opened`, async () => {
      const deployment = new TestDeployment();
      const held = new HeldOrders(deployment);
      holdFirstOrders(held, 0);
      let holder = startProcess(deployment, "10.0.0.1:1");
      const { group, members } = await serveLargeGroup(deployment, holder);
      if (isReplaced) {
        holder = await replaceHolder(deployment, holder, group);
      } else {
        await deployment.advance(LATE_BY);
      }
      const { engines } = deployment;
      const [head = "", , ...others] = members;
      const spares = [...engines.states]
        .filter(([, { membership }]) => membership?.group.startsWith("warm-"))
        .map(([id]) => id);
      const lost = [...others, ...spares];
      for (const id of lost) {
        engines.dead.add(id);
        holder.removeEngine(id);
      }
      holder.removeEngine(head);
      await advanceUntil(deployment, "the head leaves", () => {
        return engines.states.get(head)?.membership === null;
      });
      engines.restart(head);
      await held.deliver(OrderKind.Join, head);
      await deployment.advance(TIME_BETWEEN);
      await held.deliver(OrderKind.Open, head);
      await deployment.advance(TIME_BETWEEN);
      for (const id of lost) {
        engines.dead.delete(id);
        holder.addEngine(id);
      }
      await deployment.advance(TIME_AFTERWARDS);
      holder.coordinator.dispose();
      expect(engines.taken).to.deep.equal([]);
    });
  }

  // Guards against calls that stall until the head breaks: a member had started
  // again, a late join has put it back, and the next holder takes the group for
  // whole, although its head has lost that member.
  it("does not serve on with a member that has started again", async () => {
    const deployment = new TestDeployment();
    const held = new HeldOrders(deployment);
    holdFirstOrders(held, 1);
    const former = startProcess(deployment, "10.0.0.1:1");
    const { group, members } = await serveLargeGroup(deployment, former);
    await deployment.advance(LATE_BY);
    const [, member = ""] = members;
    const next = await endHolder(deployment, former);
    deployment.engines.restart(member);
    await held.deliver(OrderKind.Join, member);
    await advanceUntil(deployment, "the next process orders", () => {
      return next.coordinator.isHolder;
    });
    await deployment.advance(NOTICED_WITHIN);
    next.coordinator.dispose();
    expect(next.serving).not.to.include(group);
  });
});
