/** Engines as the lease holder sees them, and the orders it gives them. */
import type { Result } from "ts-results-es";
import type { IEngineState } from "../calls/types.ts";
import type { ICallFailure, InstanceId } from "../types.ts";

/** An engine's answer when asked what it is doing. */
export interface IEngineReport {
  /** Calendar milliseconds of its start; 0 where it is not told. */
  readonly startedAt: number;
  readonly queued: number;
  readonly running: number;
  /** Factor on its times; over 1 it is slow. */
  readonly pace: number;
  readonly engine: IEngineState;
}

/** What an engine is told to do. */
export enum OrderKind {
  /** Become a member of a group, loading the model if need be. */
  Join = "join",
  /** A head starts to serve. */
  Open = "open",
  /** A head stops to serve, and finishes what it has. */
  Close = "close",
  /** Drop the membership at once. */
  Leave = "leave",
  /** Load a model onto the host, beside all else. */
  Stage = "stage",
}

/** One list of members under one name; never changed once it was ordered. */
export interface IGroupPlan {
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  /** In order of rank. */
  readonly members: readonly InstanceId[];
}

/** An order to one engine. */
export type EngineOrder =
  | { readonly kind: OrderKind.Join; readonly plan: IGroupPlan }
  | {
      readonly kind: OrderKind.Open | OrderKind.Close | OrderKind.Leave;
      readonly group: string;
      readonly epoch: number;
    }
  | { readonly kind: OrderKind.Stage; readonly model: string };

/** What became of an order. */
export enum OrderOutcome {
  /** It has begun, or what it asks for holds already. */
  Accepted = "accepted",
  /** It does not fit what the engine is doing. */
  Refused = "refused",
  /** No answer: it may be carried out at any later moment. */
  Unknown = "unknown",
}

/** Who is asked or ordered. */
export interface IEngineAddress {
  readonly id: InstanceId;
  readonly address: string;
}

/** Reports from engines and orders to them. */
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
