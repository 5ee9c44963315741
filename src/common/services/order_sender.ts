/**
 * Sends orders to engines: one at a time to each, under the lease only.
 *
 * An order that is on its way when its sender gives the lease up can land
 * after the next holder's, and an engine that ignores fencing numbers would
 * obey it. So it is known here when the last order can have landed.
 */
import type { IAddressedOrder } from "../groups/orders.ts";
import { CallFailureKind } from "../types.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IClock, ILog, ITargets } from "./services.ts";

/** What orders are sent with. */
export interface IOrderSenderPorts {
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly log: ILog;
}

/** The orders of one domain's holder. */
export class OrderSender {
  readonly #ports: IOrderSenderPorts;
  readonly #mayOrder: () => boolean;
  readonly #sending = new Map<InstanceId, Promise<void>>();
  readonly #orderedAt = new Map<InstanceId, MonotonicTime>();
  /** Until when an order whose answer was lost may still take effect. */
  #landedBy = Number.NEGATIVE_INFINITY;

  /** @param mayOrder - whether the lease covers an order sent now */
  constructor(ports: IOrderSenderPorts, mayOrder: () => boolean) {
    this.#ports = ports;
    this.#mayOrder = mayOrder;
  }

  /** When an order to each instance was last answered or given up. */
  get orderedAt(): ReadonlyMap<InstanceId, MonotonicTime> {
    return this.#orderedAt;
  }

  /** Sends an order, unless one to the same instance is on its way. */
  send(addressed: IAddressedOrder): void {
    const { instance } = addressed;
    if (this.#sending.has(instance)) {
      return;
    }
    const sending = this.#send(addressed).finally(() => {
      this.#sending.delete(instance);
    });
    this.#sending.set(instance, sending);
  }

  /** Resolves once no order sent so far can take effect any more. */
  async drain(): Promise<void> {
    await Promise.all(this.#sending.values());
    const { clock } = this.#ports;
    const left = this.#landedBy - clock.now();
    if (left > 0) {
      await new Promise<void>((resolve) => void clock.after(left, resolve));
    }
  }

  async #send({ instance, address, order }: IAddressedOrder): Promise<void> {
    const { clock, log, targets } = this.#ports;
    const answer = await targets.order(address, order, {
      timeout: order.validFor,
      isStillDue: this.#mayOrder,
    });
    const now = clock.now();
    this.#orderedAt.set(instance, now);
    if (answer.isErr() && answer.error.kind === CallFailureKind.Unknown) {
      this.#landedBy = now + order.validFor;
    }
    const { group, generation, epoch, kind } = order;
    const result = answer.isOk() ? "accepted" : answer.error.detail;
    const fields = { kind, instance, group, generation, epoch, result };
    log.info("engine_order", fields);
  }
}
