/**
 * Forwarding: a process that has lost its path to the targets of a service
 * sends to them through another process that reaches them. Decisions about a
 * call stay with the process that received it; the other one only sends.
 */
import type { Result } from "ts-results-es";
import type {
  IOutgoingCall,
  IResponseReceiver,
  ISendHandle,
  ISendTarget,
} from "../calls/types.ts";
import type {
  EngineOrder,
  IEngineReport,
  OrderOutcome,
} from "../replicas/types.ts";
import type {
  ICallFailure,
  InstanceId,
  ServiceName,
  ZoneName,
} from "../types.ts";

/** Another process that takes forwarded requests. */
export interface IForwardingPeer {
  /** `host:port` at which other processes reach it. */
  readonly address: string;
  readonly zone: ZoneName;
}

/** What a process tells the lease holder about forwarding. */
export interface IForwardingReport {
  readonly zone: ZoneName;
  /** Services whose targets it does not reach. */
  readonly outOfReach: readonly ServiceName[];
}

/** A process's part in the exchange of peers through the lease holder. */
export interface IForwardingMember {
  readonly report: IForwardingReport;
  updatePeers(peers: readonly IForwardingPeer[]): void;
}

/** A call to be sent to a target by another process. */
export interface IForwardedSend {
  readonly target: InstanceId;
  readonly call: IOutgoingCall;
  /** Milliseconds left to the target. */
  readonly timeLeft: number;
  /** Id of the last event that the caller has; null from the start. */
  readonly lastEventId: string | null;
  /** Whether to open a connection, since a pooled one may have gone dead. */
  readonly needsNewConnection: boolean;
}

/** Why a process does not take a forwarded request; nothing was sent. */
export enum ForwardRefusal {
  Stopping = "stopping",
  OutOfReach = "out_of_reach",
  UnknownTarget = "unknown_target",
  /** The process has no memory or descriptors left for the call. */
  Full = "full",
  /** The process could not be reached. */
  NotConnected = "not_connected",
}

/** Receives the response to a forwarded call, or that it was not taken. */
export interface IForwardReceiver extends IResponseReceiver {
  onRefused(refusal: ForwardRefusal, detail: string): void;
}

/** A report or an order for an engine, through another process. */
export interface IForwardedExchange {
  readonly engine: InstanceId;
  /** Milliseconds. */
  readonly timeout: number;
}

/** Requests to other processes. */
export interface IPeerLink {
  send(
    address: string,
    send: IForwardedSend,
    receiver: IForwardReceiver,
  ): ISendHandle;
  /** Fails with `NoPath` where the other process is at fault. */
  fetchReport(
    address: string,
    exchange: IForwardedExchange,
  ): Promise<Result<IEngineReport, ICallFailure>>;
  sendOrder(
    address: string,
    exchange: IForwardedExchange & { readonly order: EngineOrder },
  ): Promise<OrderOutcome>;
  /**
   * Resolves with the services that a process does not reach, or with null if
   * it does not answer.
   *
   * @param timeout - milliseconds
   */
  ping(
    address: string,
    timeout: number,
  ): Promise<readonly ServiceName[] | null>;
}

/** Tests the path to a target on a new connection. */
export interface ITargetProber {
  /**
   * Whether the target answers at all, whatever it answers.
   *
   * @param timeout - milliseconds
   */
  probe(target: ISendTarget, timeout: number): Promise<boolean>;
}

/** Finds out whether targets run that give no reports. */
export interface ITargetLocator {
  /**
   * Whether the target itself answers, and no other one at its address.
   *
   * @param timeout - milliseconds
   */
  isRunning(target: ISendTarget, timeout: number): Promise<boolean>;
}

/** The paths of this process to the targets of services. */
export interface ITargetPaths {
  /** Whether targets are reached directly or through another process. */
  hasPath(service: ServiceName): boolean;
  /** A target was silent for longer than it should be. */
  recordSilence(service: ServiceName, target: InstanceId): void;
}
