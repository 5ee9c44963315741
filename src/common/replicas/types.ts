/** Engines as seen by the lease holder, and the orders it sends them. */
import type { Result } from "ts-results-es";
import type { IEngineState } from "../calls/types.ts";
import type { ICallFailure, InstanceId } from "../types.ts";

/** An engine's report of its state. */
export interface IEngineReport {
  /** Calendar milliseconds of its start; 0 if unknown. */
  readonly startedAt: number;
  readonly queued: number;
  readonly running: number;
  /** Multiplier on its times; above 1 it is slow. */
  readonly pace: number;
  readonly engine: IEngineState;
  /** Orders that it has begun since its start. */
  readonly orderCount: number;
  /** Whether the engine is about to leave. */
  readonly isLeaving: boolean;
  /**
   * Milliseconds by which it may be older than its request, apart from the
   * platform's lag.
   */
  readonly age: number;
}

/** Kind of order to an engine. */
export enum OrderKind {
  /** Become a member of a group, loading the model if necessary. */
  Join = "join",
  /** Start to serve, as a head. */
  Open = "open",
  /** Stop serving, as a head, and finish the running requests. */
  Close = "close",
  /** Drop the membership at once. */
  Leave = "leave",
  /** Load a model onto the host, independently of the membership. */
  Stage = "stage",
}

/** A named list of members; never changed once it was ordered. */
export interface IGroupPlan {
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  /** In order of rank. */
  readonly members: readonly InstanceId[];
}

/** An order to one engine. */
export type EngineOrder =
  | {
      readonly kind: OrderKind.Join;
      readonly plan: IGroupPlan;
      /**
       * The engine refuses the order once it has begun more or fewer orders
       * since its start.
       */
      readonly expectedOrderCount: number;
    }
  | {
      readonly kind: OrderKind.Open | OrderKind.Close | OrderKind.Leave;
      readonly group: string;
      readonly epoch: number;
    }
  | { readonly kind: OrderKind.Stage; readonly model: string };

/** Result of an order. */
export enum OrderOutcome {
  /** It has begun, or its result holds already. */
  Accepted = "accepted",
  /**
   * It does not fit the state of the engine, which may have changed since its
   * report.
   */
  Conflict = "conflict",
  /** It is out of date, or did not reach the engine. */
  Refused = "refused",
  /** No answer: it may be carried out at any later time. */
  Unknown = "unknown",
}

/** The engine that a request is sent to. */
export interface IEngineAddress {
  readonly id: InstanceId;
  readonly address: string;
}

/** Requests reports from engines and sends them orders. */
export interface IEngineClient {
  /** @param timeout - milliseconds */
  fetchReport(
    engine: IEngineAddress,
    timeout: number,
  ): Promise<Result<IEngineReport, ICallFailure>>;
  /** @param timeout - milliseconds */
  sendOrder(
    engine: IEngineAddress,
    order: EngineOrder,
    timeout: number,
  ): Promise<OrderOutcome>;
}
