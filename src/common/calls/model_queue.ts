/**
 * Calls of one model that wait for a group. Pattern of load: a group is lost
 * or a burst comes, and for some seconds there are more calls than places.
 * Waiting in a target's queue they would be tied to a group that may be lost
 * next; here each goes to whichever group has room first. Order and fairness
 * are those of {@link FairQueue}; streams that have begun go before all.
 */
import { FairQueue } from "../decisions/fair_queue.ts";
import type { IWork } from "../decisions/work.ts";
import type { MonotonicTime } from "../types.ts";
import { DrainRate } from "./drain_rate.ts";
import type { ModelRun } from "./model_run.ts";
import type { ICall } from "./types.ts";

/** The decisions' priorities rise with urgency; the platform's fall. */
const LEAST_URGENT = 9;

/** Before all that have not begun: the caller is in the middle of an answer. */
const BEGUN_PRIORITY = LEAST_URGENT + 1;

/** How long a call waits while its model has no group at all, milliseconds. */
const GROUPLESS_PATIENCE = 1_000;

const ALL_ROOM = { forShort: true, forLong: true };

/** Calls and how fast they leave. */
export class ModelQueue {
  readonly #queue = new FairQueue();
  readonly #runs = new Map<IWork, ModelRun>();
  readonly #rate = new DrainRate();
  #grouplessSince: MonotonicTime | null = null;

  get size(): number {
    return this.#queue.size;
  }

  /** Adds a run; returns one that had to leave for it, or null. */
  add(run: ModelRun): ModelRun | null {
    this.#runs.set(run.work, run);
    const pushedOut = this.#queue.add(run.work);
    return pushedOut === null ? null : this.#forget(pushedOut);
  }

  take(now: MonotonicTime): ModelRun | null {
    const work = this.#queue.take(ALL_ROOM);
    if (work === null) {
      return null;
    }
    this.#rate.started(now);
    return this.#forget(work);
  }

  remove(run: ModelRun): void {
    if (this.#queue.remove(run.work)) {
      this.#runs.delete(run.work);
    }
  }

  /**
   * Removes and returns the runs that cannot be answered in time any more.
   *
   * @param shortestRun - milliseconds that a run needs at least
   */
  takeHopeless(
    now: MonotonicTime,
    shortestRun: (run: ModelRun) => number,
  ): readonly ModelRun[] {
    const patience = this.#grouplessFor(now) > GROUPLESS_PATIENCE;
    const hopeless = this.#queue.removeWhere((work) => {
      const run = this.#runs.get(work);
      if (run === undefined) {
        return true;
      }
      const isLate = now + shortestRun(run) > work.deadline;
      const hasWaited = now - work.arrivedAt > GROUPLESS_PATIENCE;
      return isLate || (patience && hasWaited && !run.reply.isBegun);
    });
    return hopeless
      .map((work) => this.#forget(work))
      .filter((run) => run !== null);
  }

  /** Told on each look for a group whether the model has any. */
  hasGroups(has: boolean, now: MonotonicTime): void {
    this.#grouplessSince = has ? null : (this.#grouplessSince ?? now);
  }

  /** Milliseconds until a call that arrives now would be started. */
  expectedWait(now: MonotonicTime): number {
    return this.#queue.size === 0 ? 0 : this.#rate.timeFor(this.size, now);
  }

  retryAfter(now: MonotonicTime, chance: number): number {
    return this.#rate.retryAfter(this.size + 1, now, chance);
  }

  #grouplessFor(now: MonotonicTime): number {
    return this.#grouplessSince === null ? 0 : now - this.#grouplessSince;
  }

  #forget(work: IWork): ModelRun | null {
    const run = this.#runs.get(work) ?? null;
    this.#runs.delete(work);
    return run;
  }
}

/** A call as the queue's decisions see it. */
export function workOf(call: ICall): IWork {
  return {
    id: call.id,
    account: call.account ?? "",
    priority: LEAST_URGENT - Math.min(LEAST_URGENT, call.priority),
    promptTokens: call.tokens.prompt,
    askedTokens: call.tokens.output,
    isCall: false,
    prefix: "",
    arrivedAt: call.arrivedAt,
    deadline: call.deadline,
  };
}

/** The same call once its caller has part of the answer. */
export function workOfBegun(call: ICall): IWork {
  return {
    ...workOf(call),
    account: `${call.account ?? ""}/begun`,
    priority: BEGUN_PRIORITY,
  };
}
