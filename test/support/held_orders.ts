/** Orders that engines do not answer and carry out when a test says so. */
import { OrderKind } from "../../src/common/replicas/types.ts";
import type {
  EngineOrder,
  IGroupPlan,
  OrderOutcome,
} from "../../src/common/replicas/types.ts";
import { TestProcess } from "./fleet_deployment.ts";
import type { TestDeployment } from "./fleet_deployment.ts";

/** When the platform's engines carry out an unanswered order, milliseconds. */
export const LATE_BY = { least: 2_000, most: 12_000 };

/** Milliseconds within which an expected event must occur. */
const MAXIMUM_WAIT = 12_000;

/** A step of the deployment's clock, milliseconds. */
export const STEP = 10;

interface IHeldOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  readonly sentAt: number;
}

/** Holds some orders of a deployment back until they are delivered. */
export class HeldOrders {
  readonly #deployment: TestDeployment;
  readonly #held: IHeldOrder[] = [];
  /** Whether an order is held back. */
  isHeld: (engine: string, order: EngineOrder) => boolean = () => false;

  constructor(deployment: TestDeployment) {
    this.#deployment = deployment;
    deployment.engines.delayOf = (engine, order) => {
      if (!this.isHeld(engine, order)) {
        return null;
      }
      const sentAt = deployment.clock.now();
      this.#held.push({ engine, order, sentAt });
      return Number.POSITIVE_INFINITY;
    };
  }

  /** Whether an order of a kind to an engine is held back. */
  has(kind: OrderKind, engine: string): boolean {
    return this.#find(kind, engine) !== undefined;
  }

  /** Delivers an order late; returns what the engine makes of it. */
  async deliver(kind: OrderKind, engine: string): Promise<OrderOutcome> {
    const { clock, engines } = this.#deployment;
    const held = this.#find(kind, engine);
    const delay = clock.now() - (held?.sentAt ?? 0);
    if (held === undefined || delay < LATE_BY.least || delay > LATE_BY.most) {
      throw new Error(`no order to ${engine} is as late: ${kind}, ${delay}`);
    }
    this.isHeld = () => false;
    return engines.sendOrder({ id: engine }, held.order);
  }

  #find(kind: OrderKind, engine: string): IHeldOrder | undefined {
    return this.#held.find(
      (one) => one.order.kind === kind && one.engine === engine,
    );
  }
}

/** The first plan of a group of four among the orders carried out. */
export function findLargePlan({ engines }: TestDeployment): IGroupPlan | null {
  for (const { order } of engines.orders) {
    if (order.kind === OrderKind.Join && isLarge(order.plan)) {
      return order.plan;
    }
  }
  return null;
}

/** Groups of a single engine only hold a model. */
export function isLarge({ model, members }: IGroupPlan): boolean {
  return model === "large" && members.length > 1;
}

/** Starts a process whose calls ask for the large model. */
export function startProcess(
  deployment: TestDeployment,
  address: string,
): TestProcess {
  const process = new TestProcess(deployment, address);
  const demand = { service: "summaries", groups: 9, waiting: 0 };
  process.demand = [{ ...demand, model: "large" }];
  process.coordinator.start();
  return process;
}

/** Ends the holder; returns the next one once it lists the group. */
export async function replaceHolder(
  deployment: TestDeployment,
  former: TestProcess,
  group: string,
): Promise<TestProcess> {
  const next = await endHolder(deployment, former);
  await advanceUntil(deployment, "the next process lists the group", () => {
    return next.coordinator.isHolder && next.serving.includes(group);
  });
  return next;
}

/** Ends the holder; returns a process that will be the next one. */
export async function endHolder(
  deployment: TestDeployment,
  former: TestProcess,
): Promise<TestProcess> {
  const next = startProcess(deployment, "10.0.0.2:1");
  next.hasCalls = true;
  await deployment.advance(100);
  deployment.disconnect(former.coordinator);
  former.coordinator.dispose();
  return next;
}

/** Advances until an event has occurred. */
export async function advanceUntil(
  deployment: TestDeployment,
  event: string,
  hasOccurred: () => boolean,
): Promise<void> {
  for (let passed = 0; passed < MAXIMUM_WAIT; passed += STEP) {
    if (hasOccurred()) {
      return;
    }
    await deployment.advance(STEP);
  }
  throw new Error(`not seen in time: ${event}`);
}
