/**
 * Carries out requests that other processes forward because they do not reach
 * the targets. They are sent directly: with a second hop, requests could
 * circulate between processes that have all lost their paths.
 */
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ResponseTimes } from "../calls/response_times.ts";
import { ServingPeriod } from "../calls/stopping.ts";
import type { IStopTimes } from "../calls/stopping.ts";
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
  /** Shared with the calls of this process; its own by default. */
  readonly responseTimes?: ResponseTimes;
}

/** The requests that other processes have forwarded to this one. */
export class ForwardedRequests {
  readonly #parts: IForwardedRequestParts;
  #inFlight = 0;
  /** From when on no calls are taken. */
  #stopsAt: MonotonicTime = Number.POSITIVE_INFINITY;
  readonly #servingPeriod = new ServingPeriod();
  readonly #responseTimes: ResponseTimes;

  constructor(parts: IForwardedRequestParts) {
    this.#parts = parts;
    this.#responseTimes = parts.responseTimes ?? new ResponseTimes();
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
   *
   * @param times - of the process: calls that would be cut are not taken
   */
  stopAt(time: MonotonicTime, times: IStopTimes | null = null): void {
    this.#stopsAt = time;
    if (times !== null) {
      this.#servingPeriod.stopAt(times);
    }
  }

  /** Why a call is not taken; null if it can be. */
  refusalOf(send: IForwardedSend): ForwardRefusal | null {
    const { target, call } = send;
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
    if (!this.#isAdmitted(send, listed)) {
      return ForwardRefusal.Stopping;
    }
    return this.#inFlight >= this.#parts.maximumCalls
      ? ForwardRefusal.Full
      : null;
  }

  /**
   * Whether a stopping process takes a call. How long a call may run is known
   * from those of its service, or else by its deadline; the streams of engines
   * are resumed through another process.
   */
  #isAdmitted(
    { call, timeLeft }: IForwardedSend,
    { engine }: IListedTarget,
  ): boolean {
    if (!this.#servingPeriod.hasEnd) {
      return true;
    }
    const { service } = call;
    const now = this.#parts.clock.now();
    const seen = { now, unseen: timeLeft };
    const end = now + this.#responseTimes.expectedTime(service, seen);
    const deadline = now + timeLeft;
    const route = { isResumable: engine.membership !== null };
    return this.#servingPeriod.admits({ route, deadline }, { now, end });
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
    const openSend = this.#responseTimes.startSend(
      call.service,
      this.#parts.clock.now(),
    );
    const recordEnd = this.#recordStart(forwarded);
    const end = (outcome: string) => {
      openSend.dispose();
      recordEnd(outcome);
    };
    const target = { id, address: listed.address };
    const handle = this.#parts.sender.send(target, call, {
      ...options,
      receiver: new EndObservingReceiver(receiver, {
        response: () => openSend.complete(this.#parts.clock.now()),
        ended: end,
      }),
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

interface IForwardedEnd {
  /** The target has run the call, and its response is complete. */
  readonly response: () => void;
  readonly ended: (outcome: string) => void;
}

/** Passes a response on and reports its end. */
class EndObservingReceiver implements IResponseReceiver {
  readonly #receiver: IResponseReceiver;
  readonly #on: IForwardedEnd;
  #hasRun = false;

  constructor(receiver: IResponseReceiver, on: IForwardedEnd) {
    this.#receiver = receiver;
    this.#on = on;
  }

  onHead(head: IResponseHead): void {
    this.#hasRun = !head.isNotRun;
    this.#receiver.onHead(head);
  }

  onData(bytes: Uint8Array): void {
    this.#receiver.onData(bytes);
  }

  onEnd(): void {
    if (this.#hasRun) {
      this.#on.response();
    }
    this.#on.ended("ended");
    this.#receiver.onEnd();
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#on.ended(failure);
    this.#receiver.onFailure(failure, detail);
  }
}
