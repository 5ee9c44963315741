/**
 * Carries out requests that other processes forward because they do not reach
 * the targets. They are sent directly: with a second hop, requests could
 * circulate between processes that have all lost their paths.
 */
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ListedState, SendFailure } from "../calls/types.ts";
import type {
  ICallSender,
  IListedTarget,
  IResponseHead,
  IResponseReceiver,
  ISendHandle,
} from "../calls/types.ts";
import { OrderOutcome } from "../replicas/types.ts";
import type { IEngineClient, IEngineReport } from "../replicas/types.ts";
import type { EngineOrder } from "../replicas/types.ts";
import type { IClock, ILog } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type {
  ICallFailure,
  InstanceId,
  MonotonicTime,
  ServiceName,
} from "../types.ts";
import type { TargetReach } from "./target_reach.ts";
import { ForwardRefusal } from "./types.ts";
import type { IForwardedExchange, IForwardedSend } from "./types.ts";

/** Dependencies of {@link ForwardedRequests}. */
export interface IForwardedRequestParts {
  /** Sends straight to targets. */
  readonly sender: ICallSender;
  readonly engines: IEngineClient;
  /** Null for a target that is not listed. */
  readonly findTarget: (id: InstanceId) => IListedTarget | null;
  readonly reach: Pick<TargetReach, "isOutOfReach" | "outOfReach">;
  readonly clock: IClock;
  readonly log: ILog;
  /** Milliseconds by which this process is behind; see {@link EventLoopLag}. */
  readonly lag: () => number;
  /** Calls that may be in flight at once. */
  readonly maximumCalls: number;
}

/** The requests that other processes have forwarded to this one. */
export class ForwardedRequests {
  readonly #parts: IForwardedRequestParts;
  #inFlight = 0;
  /** From when on no calls are taken. */
  #stopsAt: MonotonicTime = Number.POSITIVE_INFINITY;

  constructor(parts: IForwardedRequestParts) {
    this.#parts = parts;
  }

  /** Number of calls that were taken and have not ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Services whose targets this process does not reach. */
  get outOfReach(): readonly ServiceName[] {
    return this.#parts.reach.outOfReach;
  }

  /**
   * Takes no more calls from a time on; those taken before are finished. Until
   * then this may be the only process that reaches the targets.
   */
  stopAt(time: MonotonicTime): void {
    this.#stopsAt = time;
  }

  /** Why a call is not taken; null if it can be. */
  refusalOf({ target, call }: IForwardedSend): ForwardRefusal | null {
    const listed = this.#parts.findTarget(target);
    if (this.#parts.clock.now() >= this.#stopsAt) {
      return ForwardRefusal.Stopping;
    }
    if (listed === null || listed.service !== call.service) {
      return ForwardRefusal.UnknownTarget;
    }
    if (this.#parts.reach.isOutOfReach(call.service)) {
      return ForwardRefusal.OutOfReach;
    }
    return this.#inFlight >= this.#parts.maximumCalls
      ? ForwardRefusal.Full
      : null;
  }

  /** Sends a call that {@link refusalOf} does not refuse. */
  send(forwarded: IForwardedSend, receiver: IResponseReceiver): ISendHandle {
    const { target: id, call, ...options } = forwarded;
    const listed = this.#parts.findTarget(id);
    if (listed === null || listed.state !== ListedState.Ready) {
      const detail = `target ${id} takes no calls any more`;
      receiver.onFailure(SendFailure.Withheld, detail);
      return { abort: () => undefined };
    }
    const end = this.#recordStart(forwarded);
    const target = { id, address: listed.address };
    const handle = this.#parts.sender.send(target, call, {
      ...options,
      receiver: new EndObservingReceiver(receiver, end),
    });
    return {
      abort: () => {
        end("aborted");
        handle.abort();
      },
    };
  }

  /** Returns the function that records the end of a call, once. */
  #recordStart({ target, call }: IForwardedSend): (outcome: string) => void {
    const { clock, log, lag } = this.#parts;
    const startedAt = clock.now();
    const read_lag_ms = Math.round(lag());
    let isEnded = false;
    this.#inFlight += 1;
    return (outcome) => {
      if (!isEnded) {
        isEnded = true;
        this.#inFlight -= 1;
        const took_ms = Math.round(clock.now() - startedAt);
        const ended = { outcome, took_ms, read_lag_ms };
        log.info("forwarded_call", { request: call.id, target, ...ended });
      }
    };
  }

  async fetchReport({
    engine: id,
    timeout,
  }: IForwardedExchange): Promise<Result<IEngineReport, ICallFailure>> {
    const listed = this.#parts.findTarget(id);
    if (listed === null) {
      const detail = `report of ${id}: it is not listed`;
      return Err({ kind: CallFailureKind.NotSent, detail });
    }
    const { address } = listed;
    return this.#parts.engines.fetchReport({ id, address }, timeout);
  }

  async sendOrder({
    engine: id,
    order,
    timeout,
  }: IForwardedExchange & {
    readonly order: EngineOrder;
  }): Promise<OrderOutcome> {
    const listed = this.#parts.findTarget(id);
    if (listed === null) {
      return OrderOutcome.Refused;
    }
    const { address } = listed;
    return this.#parts.engines.sendOrder({ id, address }, order, timeout);
  }
}

/** Passes a response on and reports its end. */
class EndObservingReceiver implements IResponseReceiver {
  readonly #receiver: IResponseReceiver;
  readonly #onEnded: (outcome: string) => void;

  constructor(receiver: IResponseReceiver, onEnded: (outcome: string) => void) {
    this.#receiver = receiver;
    this.#onEnded = onEnded;
  }

  onHead(head: IResponseHead): void {
    this.#receiver.onHead(head);
  }

  onData(bytes: Uint8Array): void {
    this.#receiver.onData(bytes);
  }

  onEnd(): void {
    this.#onEnded("ended");
    this.#receiver.onEnd();
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#onEnded(failure);
    this.#receiver.onFailure(failure, detail);
  }
}
