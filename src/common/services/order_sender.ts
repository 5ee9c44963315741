/**
 * Sends orders to engines: one at a time to each, only while the lease is held.
 *
 * An order in flight when its sender releases the lease can arrive after the
 * next holder's, and an engine that ignores fencing tokens would obey it. The
 * sender therefore tracks until when its orders can still take effect.
 */
import type { IInstanceOrder } from "../groups/orders.ts";
import { CallFailureKind } from "../types.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IClock, ILog, ITargets } from "./services.ts";

/** Dependencies of {@link OrderSender}. */
export interface IOrderSenderPorts {
  readonly targets: ITargets;
  readonly clock: IClock;
  readonly log: ILog;
}

/** Sends the orders of one domain's lease holder. */
export class OrderSender {
  readonly #ports: IOrderSenderPorts;
  readonly #mayOrder: () => boolean;
  readonly #inFlight = new Map<InstanceId, Promise<void>>();
  readonly #orderedAt = new Map<InstanceId, MonotonicTime>();
  /** When orders whose answers were lost can no longer take effect. */
  #mayTakeEffectUntil = Number.NEGATIVE_INFINITY;

  /** @param mayOrder - whether the lease covers an order sent now */
  constructor(ports: IOrderSenderPorts, mayOrder: () => boolean) {
    this.#ports = ports;
    this.#mayOrder = mayOrder;
  }

  /** When the last order to each instance was answered or failed. */
  get orderedAt(): ReadonlyMap<InstanceId, MonotonicTime> {
    return this.#orderedAt;
  }

  /** Sends an order, unless one to the same instance is in flight. */
  send(addressed: IInstanceOrder): void {
    const { instance } = addressed;
    if (this.#inFlight.has(instance)) {
      return;
    }
    const sending = this.#send(addressed).finally(() => {
      this.#inFlight.delete(instance);
    });
    this.#inFlight.set(instance, sending);
  }

  /** Resolves once no order sent so far can still take effect. */
  async drain(): Promise<void> {
    await Promise.all(this.#inFlight.values());
    const { clock } = this.#ports;
    const remaining = this.#mayTakeEffectUntil - clock.now();
    if (remaining > 0) {
      await new Promise<void>(
        (resolve) => void clock.after(remaining, resolve),
      );
    }
  }

  async #send({ instance, address, order }: IInstanceOrder): Promise<void> {
    const { clock, log, targets } = this.#ports;
    const answer = await targets.order(address, order, {
      timeout: order.validFor,
      isStillDue: this.#mayOrder,
    });
    const now = clock.now();
    this.#orderedAt.set(instance, now);
    if (answer.isErr() && answer.error.kind === CallFailureKind.Unknown) {
      this.#mayTakeEffectUntil = now + order.validFor;
    }
    const { group, generation, epoch, kind } = order;
    const result = answer.isOk() ? "accepted" : answer.error.detail;
    const fields = { kind, instance, group, generation, epoch, result };
    log.info("engine_order", fields);
  }
}
