/** Orders to close without an answer, carried out under the next holder. */
import { expect } from "chai";
import {
  CONFIGURATION,
  TestDeployment,
  TestProcess,
} from "../../test/support/fleet_deployment.ts";
import { advanceUntil, LATE_BY, STEP } from "../../test/support/held_orders.ts";
import { GroupMemberState } from "../common/calls/types.ts";
import { CALM_REPORT_PERIOD } from "../common/replicas/engine_monitor.ts";
import { REPORT_LAG_MARGIN } from "../common/replicas/group_controller.ts";
import { OPEN_MARGIN, TICK } from "../common/replicas/replica_service.ts";
import { OrderKind, OrderOutcome } from "../common/replicas/types.ts";
import type { EngineOrder, IGroupPlan } from "../common/replicas/types.ts";

const ENGINE = CONFIGURATION.services.get("summaries")?.engine;
const REPORT_LAG = (ENGINE?.reportLag ?? 0) + REPORT_LAG_MARGIN;
const OPEN_TIME = (ENGINE?.openTime ?? 0) + OPEN_MARGIN;

/**
 * Milliseconds from the close until a report shows it, requested as soon as it
 * is due, and a pass sees that report.
 */
const NOTICE_TIME = REPORT_LAG + CALM_REPORT_PERIOD + TICK + TICK;

/** Milliseconds from that pass until one sees that the open time has passed. */
const REOPEN_TIME = OPEN_TIME + TICK;

/** Milliseconds; long enough for several reports of each engine. */
const TIME_AFTERWARDS = 10_000;

/** Copies of the order to close that take effect, one after the other. */
const COPIES = 3;

interface ILateClose {
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sentAt: number;
}

/**
 * A group that one holder orders to close, because the platform has dropped the
 * entry of a member for a moment, and that the next one finds open.
 */
class LateClose {
  readonly deployment = new TestDeployment();
  readonly holder = new TestProcess(this.deployment, "10.0.0.2:1");
  readonly #sender = new TestProcess(this.deployment, "10.0.0.1:1");
  #late: ILateClose | null = null;

  /** Leaves the holder with the open group, and an order to close unanswered. */
  async start(): Promise<void> {
    this.#sender.coordinator.start();
    await this.advanceUntil("the group serves", () =>
      this.#sender.groups.all.some(({ model }) => model === "large"),
    );
    this.deployment.engines.delayOf = (engine, order) =>
      this.#delayOf(engine, order);
    const [, member = ""] = this.plan.members;
    this.#sender.removeEngine(member);
    await this.advanceUntil("the close is sent", () => this.#late !== null);
    await this.#replaceSender();
    this.deployment.engines.delayOf = () => null;
    expect(this.headState).to.equal(GroupMemberState.Open);
    expect(this.takesWork).to.equal(true);
  }

  get plan(): IGroupPlan {
    for (const { order } of this.deployment.engines.orders) {
      const isJoin = order.kind === OrderKind.Join;
      if (isJoin && order.plan.members.length === 4) {
        return order.plan;
      }
    }
    throw new Error("no group of the large model was formed");
  }

  get headState(): GroupMemberState | null {
    const { states } = this.deployment.engines;
    const membership = states.get(this.plan.members[0] ?? "")?.membership;
    return membership?.group === this.plan.group ? membership.state : null;
  }

  /** Whether the holder sends requests to the group; null if not listed. */
  get takesWork(): boolean | null {
    const { all } = this.holder.groups;
    const entry = all.find(({ group }) => group === this.plan.group);
    return entry?.takesWork ?? null;
  }

  /** Orders that the head has been sent to open the group. */
  get openOrders(): number {
    const { orders } = this.deployment.engines;
    return orders.filter(
      ({ order }) =>
        order.kind === OrderKind.Open && order.group === this.plan.group,
    ).length;
  }

  /**
   * Delivers the order to close.
   *
   * @param offset - milliseconds from the earliest time at which it may be
   *   carried out
   */
  async deliver(offset = 0): Promise<void> {
    const { clock, engines } = this.deployment;
    if (this.#late === null) {
      throw new Error("no order to close is late");
    }
    const { engine, order, sentAt } = this.#late;
    await this.deployment.advance(
      Math.max(0, sentAt + LATE_BY.least + offset - clock.now()),
    );
    expect(clock.now() - sentAt).to.be.within(LATE_BY.least, LATE_BY.most);
    expect(this.headState).to.equal(GroupMemberState.Open);
    const outcome = await engines.sendOrder({ id: engine }, order);
    expect(outcome).to.equal(OrderOutcome.Accepted);
    expect(this.headState).to.equal(GroupMemberState.Ready);
  }

  advanceUntil(event: string, hasOccurred: () => boolean): Promise<void> {
    return advanceUntil(this.deployment, event, hasOccurred);
  }

  dispose(): void {
    this.holder.coordinator.dispose();
  }

  async #replaceSender(): Promise<void> {
    const { coordinator } = this.#sender;
    this.holder.hasCalls = true;
    this.holder.coordinator.start();
    await this.deployment.advance(100);
    this.deployment.disconnect(coordinator);
    coordinator.dispose();
    await this.advanceUntil("the next holder lists the group", () => {
      return this.holder.coordinator.isHolder && this.takesWork === true;
    });
  }

  #delayOf(engine: string, order: EngineOrder): number | null {
    if (order.kind !== OrderKind.Close) {
      return null;
    }
    const sentAt = this.deployment.clock.now();
    this.#late ??= { engine, order, sentAt };
    return Number.POSITIVE_INFINITY;
  }
}

describe("orders to close that are carried out late", () => {
  // Guards against a group that is listed as serving and refuses its requests
  // for good: the next holder has adopted it when the close takes effect.
  // The close comes at several times after the head's last report.
  for (const offset of [0, 200, 400, 600, 800]) {
    it(`leave the group out of service for a bounded time, ${offset} ms`, async () => {
      const late = new LateClose();
      await late.start();
      await late.deliver(offset);
      let untilNoticed = 0;
      while (late.takesWork === true && untilNoticed <= NOTICE_TIME) {
        await late.deployment.advance(STEP);
        untilNoticed += STEP;
      }
      expect(late.takesWork).to.equal(false);
      expect(untilNoticed).to.be.at.most(NOTICE_TIME);
      let untilServing = 0;
      while (late.takesWork !== true && untilServing <= REOPEN_TIME) {
        await late.deployment.advance(STEP);
        untilServing += STEP;
      }
      expect(late.takesWork).to.equal(true);
      expect(late.headState).to.equal(GroupMemberState.Open);
      expect(untilServing).to.be.at.most(REOPEN_TIME);
      late.dispose();
    });
  }

  // Guards against orders without end, each of which is charged: each copy of
  // the close takes effect, and the head is opened after each.
  it("are each followed by one order to open", async () => {
    const late = new LateClose();
    await late.start();
    const before = late.openOrders;
    for (let copies = 1; copies <= COPIES; copies += 1) {
      await late.deliver();
      await late.deployment.advance(NOTICE_TIME + REOPEN_TIME);
      expect(late.takesWork).to.equal(true);
      expect(late.openOrders - before).to.equal(copies);
    }
    late.dispose();
  });

  // Guards against streams that are cut, and members that are given to other
  // groups, although the group can be opened again at once.
  it("end neither the group nor its running requests", async () => {
    const late = new LateClose();
    await late.start();
    await late.deliver();
    await late.deployment.advance(TIME_AFTERWARDS);
    late.dispose();
    const { orders, taken } = late.deployment.engines;
    const leaving = orders.filter(
      ({ order }) => order.kind === OrderKind.Leave,
    );
    expect(late.takesWork).to.equal(true);
    expect(late.headState).to.equal(GroupMemberState.Open);
    expect(late.holder.lost).to.deep.equal([]);
    expect(leaving).to.deep.equal([]);
    expect(taken).to.deep.equal([]);
  });
});
