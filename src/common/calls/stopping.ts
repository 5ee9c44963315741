/** What calls meet while their process stops. */
import type { MonotonicTime } from "../types.ts";
import type { IRoute } from "./types.ts";

/** Retry-after while stopping, milliseconds: another process can serve. */
export const STOPPING_RETRY_AFTER = 50;

const NEVER = Number.POSITIVE_INFINITY;

/** What decides whether a call is served by a stopping process. */
export interface IEndingCall {
  readonly route: Pick<IRoute, "isResumable">;
  readonly deadline: MonotonicTime;
}

/** The times of a stop. */
export interface IStopTimes {
  /** When the process received the signal. */
  readonly startedAt: MonotonicTime;
  /** From when on callers are expected to reach other processes only. */
  readonly removedAt: MonotonicTime;
  /** When calls in flight are cut. */
  readonly end: MonotonicTime;
}

/** Until when a process serves calls; without an end until it stops. */
export class ServingPeriod {
  #times: IStopTimes = { startedAt: NEVER, removedAt: NEVER, end: NEVER };

  stopAt(times: IStopTimes): void {
    this.#times = times;
  }

  get hasEnd(): boolean {
    return this.#times.end !== NEVER;
  }

  /** Milliseconds since the process received the signal; null before. */
  timeSinceStop(now: MonotonicTime): number | null {
    const { startedAt } = this.#times;
    return now < startedAt ? null : Math.round(now - startedAt);
  }

  /**
   * Whether a call that has not run may be sent. A refused caller may well come
   * back here until the balancer has removed the process, and be refused again.
   * Until then a stream that its caller can resume elsewhere is better begun
   * here. Other calls must end in time, by themselves or at their deadline.
   *
   * @param times.end - latest time at which it is expected to end
   */
  admits(
    call: IEndingCall,
    { now, end }: { readonly now: MonotonicTime; readonly end: MonotonicTime },
  ): boolean {
    const { removedAt, end: servingEnd } = this.#times;
    const isResumed = call.route.isResumable && now < removedAt;
    return isResumed || Math.min(end, call.deadline) <= servingEnd;
  }
}
