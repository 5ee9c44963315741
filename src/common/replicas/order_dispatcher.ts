/**
 * Sends orders, each again until it has an answer. An order without an answer
 * may be carried out seconds later; sending the same once more is harmless,
 * since groups and epochs name what it is about, while forgetting it would
 * leave a group half formed.
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

/** An engine answers at once; a cross-zone trip takes some 12 ms. */
const ORDER_TIMEOUT = 300;

/** Time between two sendings of the same order, milliseconds. */
const RESEND_AFTER = 250;

interface ISentOrder {
  readonly sentAt: MonotonicTime;
  isInFlight: boolean;
}

/** Orders on their way, so that none is sent twice at a time. */
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

  /** Sends unless the same order was sent a moment ago. */
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
