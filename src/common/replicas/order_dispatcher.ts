/**
 * Sends orders. Callers request an order again until it has had its effect,
 * and it is then resent. An unanswered order may still be carried out seconds
 * later. Resending it is harmless: it names its group and epoch, and a join the
 * number of orders that its engine had begun, so that a copy has no effect after
 * another order. Dropping it would leave a group partly formed.
 */
import type { IClock } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import { OrderKind } from "./types.ts";
import type {
  EngineOrder,
  IEngineAddress,
  IEngineClient,
  OrderOutcome,
} from "./types.ts";

/**
 * Milliseconds. An engine answers at once; a cross-zone round trip takes about
 * 12 ms.
 */
const ORDER_TIMEOUT = 300;

/** Minimum time between two sends of the same order, milliseconds. */
const RESEND_AFTER = 250;

interface ISentOrder {
  readonly sentAt: MonotonicTime;
  isInFlight: boolean;
}

/** Sends orders to engines, never the same one twice at a time. */
export class OrderDispatcher {
  readonly #engines: IEngineClient;
  readonly #clock: IClock;
  readonly #mayOrder: () => boolean;
  readonly #sent = new Map<string, ISentOrder>();

  constructor(parts: {
    readonly engines: IEngineClient;
    readonly clock: IClock;
    readonly mayOrder: () => boolean;
  }) {
    this.#engines = parts.engines;
    this.#clock = parts.clock;
    this.#mayOrder = parts.mayOrder;
  }

  /**
   * Sends an order if the lease covers it, unless the same one is in flight or
   * was sent less than {@link RESEND_AFTER} ago.
   */
  send(
    engine: IEngineAddress,
    order: EngineOrder,
    onOutcome: (outcome: OrderOutcome) => void,
  ): void {
    const now = this.#clock.now();
    this.#removeOld(now);
    const key = keyOf(engine, order);
    if (this.#sent.has(key) || !this.#mayOrder()) {
      return;
    }
    const sent: ISentOrder = { sentAt: now, isInFlight: true };
    this.#sent.set(key, sent);
    void this.#engines
      .sendOrder(engine, order, ORDER_TIMEOUT)
      .then((outcome) => {
        sent.isInFlight = false;
        onOutcome(outcome);
      });
  }

  #removeOld(now: MonotonicTime): void {
    for (const [key, { sentAt, isInFlight }] of this.#sent) {
      if (!isInFlight && now - sentAt > RESEND_AFTER) {
        this.#sent.delete(key);
      }
    }
  }
}

function keyOf(engine: IEngineAddress, order: EngineOrder): string {
  switch (order.kind) {
    case OrderKind.Join:
      return `${engine.id}/${order.kind}/${order.plan.group}`;
    case OrderKind.Stage:
      return `${engine.id}/${order.kind}/${order.model}`;
    default:
      return `${engine.id}/${order.kind}/${order.group}`;
  }
}
