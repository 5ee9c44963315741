/** Orders without an answer that are carried out after newer ones. */
import { expect } from "chai";
import {
  TestDeployment,
  TestProcess,
} from "../../test/support/fleet_deployment.ts";
import { advanceUntil, LATE_BY } from "../../test/support/held_orders.ts";
import { GroupMemberState } from "../common/calls/types.ts";
import { OrderKind, OrderOutcome } from "../common/replicas/types.ts";
import type { EngineOrder, IGroupPlan } from "../common/replicas/types.ts";

/**
 * Milliseconds from a late join to a late order to open, and from that until
 * the members are needed: longer than the platform's engines take for either.
 */
const TIME_BETWEEN = 400;

/** Milliseconds; longer than unanswered orders stay late. */
const TIME_AFTERWARDS = 20_000;

interface ILateOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sentAt: number;
}

/**
 * A group of the large model, the head or a member of which has not answered
 * the first order of each chosen kind. It serves, since each order is resent.
 */
class LateOrders {
  readonly deployment = new TestDeployment();
  /** The process that sends the late orders. */
  readonly sender = this.#createProcess("10.0.0.1:1");
  readonly #rank: number;
  readonly #kinds: ReadonlySet<OrderKind>;
  readonly #late: ILateOrder[] = [];
  #process = this.sender;

  constructor(rank: number, kinds: readonly OrderKind[]) {
    this.#rank = rank;
    this.#kinds = new Set(kinds);
    this.deployment.engines.delayOf = (engine, order) =>
      this.#delayOf(engine, order);
  }

  /** The plan of the group that the late orders are about. */
  get plan(): IGroupPlan {
    for (const { order } of this.deployment.engines.orders) {
      if (order.kind === OrderKind.Join && isLarge(order.plan)) {
        return order.plan;
      }
    }
    throw new Error("no group of the large model was formed");
  }

  get members(): readonly string[] {
    return this.plan.members;
  }

  /** Starts the sender; the group serves after that. */
  async start(): Promise<void> {
    this.sender.coordinator.start();
    await this.advanceUntil("the group serves", () =>
      this.sender.groups.all.some(({ model }) => model === "large"),
    );
    expect(this.#late).to.have.length(this.#kinds.size);
    await this.deployment.advance(200);
  }

  /** Ends the sender; another process holds the lease after that. */
  async replaceSender(): Promise<void> {
    const { coordinator } = this.sender;
    const next = this.#createProcess("10.0.0.2:1");
    next.hasCalls = true;
    next.coordinator.start();
    this.#process = next;
    await this.deployment.advance(100);
    this.deployment.disconnect(coordinator);
    coordinator.dispose();
    await this.advanceUntil("the next process knows the group", () => {
      const isKnown = next.groups.all.some(
        ({ group }) => group === this.plan.group,
      );
      return next.coordinator.isHolder && isKnown;
    });
  }

  /** Handles that the platform drops an engine, which still answers. */
  dropEngine(id: string): void {
    this.#process.removeEngine(id);
  }

  /** Handles that engines are out of reach, and that the platform drops them. */
  loseEngines(ids: readonly string[]): void {
    for (const id of ids) {
      this.deployment.engines.dead.add(id);
      this.dropEngine(id);
    }
  }

  /** Handles that lost engines are back. */
  returnEngines(ids: readonly string[]): void {
    for (const id of ids) {
      this.deployment.engines.dead.delete(id);
      this.#process.addEngine(id);
    }
  }

  /** Engines that are in no group with another. */
  get spares(): readonly string[] {
    return [...this.deployment.engines.states]
      .filter(([, { membership }]) => membership?.group.startsWith("warm-"))
      .map(([id]) => id);
  }

  /** Whether an engine has carried out an order to leave. */
  hasLeft(engine: string): boolean {
    return this.deployment.engines.orders.some(
      (one) => one.engine === engine && one.order.kind === OrderKind.Leave,
    );
  }

  /** Delivers the late order of a kind; returns what the engine makes of it. */
  async deliver(kind: OrderKind): Promise<OrderOutcome> {
    const { clock, engines } = this.deployment;
    const late = this.#late.find(({ order }) => order.kind === kind);
    if (late === undefined) {
      throw new Error(`no order of this kind is late: ${kind}`);
    }
    const { engine, order, sentAt } = late;
    const delay = clock.now() - sentAt;
    expect(delay).to.be.within(LATE_BY.least, LATE_BY.most);
    return engines.sendOrder({ id: engine }, order);
  }

  advanceUntil(event: string, hasOccurred: () => boolean): Promise<void> {
    return advanceUntil(this.deployment, event, hasOccurred);
  }

  dispose(): void {
    this.#process.coordinator.dispose();
  }

  #createProcess(address: string): TestProcess {
    const process = new TestProcess(this.deployment, address);
    const demand = { service: "summaries", groups: 9, waiting: 0 };
    process.demand = [{ ...demand, model: "large" }];
    return process;
  }

  /** Keeps the first order of each kind until {@link deliver}. */
  #delayOf(engine: string, order: EngineOrder): number | null {
    const { kind } = order;
    const isFirst = !this.#late.some((one) => one.order.kind === kind);
    if (!isFirst || !this.#kinds.has(kind) || !this.#isAbout(engine, order)) {
      return null;
    }
    const sentAt = this.deployment.clock.now();
    this.#late.push({ engine, order, sentAt });
    return Number.POSITIVE_INFINITY;
  }

  #isAbout(engine: string, order: EngineOrder): boolean {
    if (order.kind === OrderKind.Join) {
      const { plan } = order;
      return isLarge(plan) && plan.members[this.#rank] === engine;
    }
    return this.#late.some((one) => one.engine === engine);
  }
}

/** Groups of a single engine only hold a model. */
function isLarge({ model, members }: IGroupPlan): boolean {
  return model === "large" && members.length > 1;
}

describe("orders that are carried out late", () => {
  // Guards against requests that stall because a member is joined to another
  // group while its head is open: a late join made it a member again after it
  // had left.
  for (const isReplaced of [true, false]) {
    const sender = isReplaced ? "the former holder" : "the holder";
    it(`takes no member that a late join of ${sender} has put back`, async () => {
      const late = new LateOrders(1, [OrderKind.Join]);
      await late.start();
      if (isReplaced) {
        await late.replaceSender();
      } else {
        await late.deployment.advance(LATE_BY.least);
      }
      const [head = "", member = ""] = late.members;
      late.loseEngines([head]);
      await late.advanceUntil("it leaves", () => late.hasLeft(member));
      const joined = await late.deliver(OrderKind.Join);
      expect(joined).to.equal(OrderOutcome.Conflict);
      await late.deployment.advance(TIME_AFTERWARDS);
      late.dispose();
      expect(late.deployment.engines.taken).to.deep.equal([]);
    });
  }

  // Guards against requests that stall because a member of a head that has left
  // is joined to another group: the platform had dropped the head's entry, and a
  // late join and a late order to open made it serve again.
  for (const isReplaced of [true, false]) {
    const sender = isReplaced ? "the former holder" : "the holder";
    it(`takes no member of a head that late orders of ${sender} have opened`, async () => {
      const late = new LateOrders(0, [OrderKind.Join, OrderKind.Open]);
      await late.start();
      if (isReplaced) {
        await late.replaceSender();
      } else {
        await late.deployment.advance(LATE_BY.least);
      }
      const [head = "", , ...others] = late.members;
      const lost = [...others, ...late.spares];
      late.loseEngines(lost);
      late.dropEngine(head);
      await late.advanceUntil("it leaves", () => late.hasLeft(head));
      const joined = await late.deliver(OrderKind.Join);
      expect(joined).to.equal(OrderOutcome.Conflict);
      await late.deployment.advance(TIME_BETWEEN);
      const opened = await late.deliver(OrderKind.Open);
      expect(opened).to.equal(OrderOutcome.Refused);
      await late.deployment.advance(TIME_BETWEEN);
      late.returnEngines(lost);
      await late.deployment.advance(TIME_AFTERWARDS);
      late.dispose();
      expect(late.deployment.engines.taken).to.deep.equal([]);
    });
  }

  // Guards against a head that becomes ready again, and refuses requests,
  // because a join of its present group is carried out again: a join replaces
  // the membership.
  for (const isReplaced of [true, false]) {
    const sender = isReplaced ? "the former holder" : "the holder";
    it(`leaves a head open that a late join of ${sender} is repeated to`, async () => {
      const late = new LateOrders(0, [OrderKind.Join]);
      await late.start();
      if (isReplaced) {
        await late.replaceSender();
      } else {
        await late.deployment.advance(LATE_BY.least);
      }
      const [head = ""] = late.members;
      const before = late.deployment.engines.states.get(head);
      expect(before?.membership?.group).to.equal(late.plan.group);
      expect(before?.membership?.state).to.equal(GroupMemberState.Open);
      const joined = await late.deliver(OrderKind.Join);
      expect(joined).to.equal(OrderOutcome.Conflict);
      expect(late.deployment.engines.states.get(head)).to.deep.equal(before);
      late.dispose();
    });
  }
});
