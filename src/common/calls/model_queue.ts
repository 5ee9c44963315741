/**
 * Calls of one model that wait for a group. Pattern of load: a group is lost
 * or a burst comes, and for some seconds there are more calls than places.
 * Waiting in a target's queue they would be tied to a group that may be lost
 * next; here each goes to whichever group has room first. Order and fairness
 * are those of {@link FairQueue}; streams that have begun go before all, and
 * calls that can still be on time before {@link OverdueCalls}.
 */
import { FairQueue } from "../decisions/fair_queue.ts";
import type { IWorkItem } from "../decisions/work_item.ts";
import type { MonotonicTime } from "../types.ts";
import { DrainRate } from "./drain_rate.ts";
import type { ModelRun } from "./model_run.ts";
import { OverdueCalls } from "./overdue_calls.ts";
import type { ICall } from "./types.ts";

/** The decisions' priorities rise with urgency; the platform's fall. */
const LEAST_URGENT = 9;

/** Each priority has a rank for calls that can be on time, one for others. */
const RANKS = 2;

/** Before all that have not begun: the caller is in the middle of an answer. */
const BEGUN_PRIORITY = (LEAST_URGENT + 1) * RANKS;

/** How long a call waits while its model has no group at all, milliseconds. */
const GROUPLESS_PATIENCE = 1_000;

const ALL_ROOM = { forShort: true, forLong: true };

/** Calls and how fast they leave. */
export class ModelQueue {
  readonly #queue = new FairQueue();
  readonly #runs = new Map<IWorkItem, ModelRun>();
  readonly #rate = new DrainRate();
  /** Works of calls that cannot be on time any more. */
  readonly #overdue = new Map<IWorkItem, ModelRun>();
  readonly #overdueCalls = new OverdueCalls();
  readonly #firstEventTime: (call: ICall) => number;
  #grouplessSince: MonotonicTime | null = null;

  /** @param firstEventTime - milliseconds from a start to the first event */
  constructor(firstEventTime: (call: ICall) => number) {
    this.#firstEventTime = firstEventTime;
  }

  get size(): number {
    return this.#queue.size;
  }

  /** Adds a run; returns one that had to leave for it, or null. */
  add(run: ModelRun): ModelRun | null {
    this.#runs.set(run.queueItem, run);
    const pushedOut = this.#queue.add(run.queueItem);
    return pushedOut === null ? null : this.#forget(pushedOut);
  }

  takeNext(now: MonotonicTime): ModelRun | null {
    this.#putBackOverdue(now);
    const work = this.#queue.take(ALL_ROOM);
    if (work === null) {
      return null;
    }
    if (this.#overdue.has(work)) {
      this.#overdueCalls.recordStart(now);
    }
    this.#rate.recordStart(now);
    return this.#forget(work);
  }

  remove(run: ModelRun): void {
    if (this.#queue.remove(run.queueItem)) {
      this.#forget(run.queueItem);
    }
  }

  /**
   * Removes and returns the runs that cannot be answered in time any more.
   *
   * @param shortestRun - milliseconds that a run needs at least
   */
  removeHopeless(
    now: MonotonicTime,
    shortestRun: (run: ModelRun) => number,
  ): readonly ModelRun[] {
    this.#putBackOverdue(now);
    const lost = new Set(this.#hopelessOverdue(now));
    const patience = this.#grouplessFor(now) > GROUPLESS_PATIENCE;
    const hopeless = this.#queue.removeWhere((work) => {
      const run = this.#runs.get(work);
      if (run === undefined) {
        return true;
      }
      const isLate = now + shortestRun(run) > work.deadline;
      const hasWaited = now - work.arrivedAt > GROUPLESS_PATIENCE;
      const isGroupless = patience && hasWaited && !run.reply.isStarted;
      return isLate || isGroupless || lost.has(run);
    });
    return hopeless
      .map((work) => this.#forget(work))
      .filter((run) => run !== null);
  }

  /** Told on each look for a group whether the model has any. */
  setHasGroups(has: boolean, now: MonotonicTime): void {
    this.#grouplessSince = has ? null : (this.#grouplessSince ?? now);
  }

  /** Milliseconds until a call that arrives now would be started. */
  expectedWait(now: MonotonicTime): number {
    return this.#queue.size === 0 ? 0 : this.#rate.timeToDrain(this.size, now);
  }

  retryAfter(now: MonotonicTime, chance: number): number {
    return this.#rate.retryAfter(this.size + 1, now, chance);
  }

  /** Calls that cannot be on time any more go behind those that can. */
  #putBackOverdue(now: MonotonicTime): void {
    const isOverdue = (run: ModelRun | undefined) =>
      run !== undefined &&
      !run.reply.isStarted &&
      !this.#overdue.has(run.queueItem) &&
      now + this.#firstEventTime(run.call) >
        run.call.arrivedAt + run.call.route.objective;
    const found = this.#queue.removeWhere((work) =>
      isOverdue(this.#runs.get(work)),
    );
    for (const work of found) {
      const run = this.#forget(work);
      if (run !== null) {
        run.queueItem = workOfOverdue(run.call);
        this.#overdue.set(run.queueItem, run);
        this.add(run);
      }
    }
  }

  #hopelessOverdue(now: MonotonicTime): readonly ModelRun[] {
    const waiting = [...this.#overdue.values()].map((run) => ({
      run,
      arrivedAt: run.call.arrivedAt,
      leavesAt: run.call.arrivedAt + run.call.route.patience,
    }));
    return this.#overdueCalls
      .findHopeless(waiting, ({ run }) => this.#firstEventTime(run.call), now)
      .map(({ run }) => run);
  }

  #grouplessFor(now: MonotonicTime): number {
    return this.#grouplessSince === null ? 0 : now - this.#grouplessSince;
  }

  #forget(work: IWorkItem): ModelRun | null {
    const run = this.#runs.get(work) ?? null;
    this.#runs.delete(work);
    this.#overdue.delete(work);
    return run;
  }
}

/** A call as the queue's decisions see it. */
export function queueItemOf(call: ICall): IWorkItem {
  return {
    id: call.id,
    account: call.account ?? "",
    priority: urgencyOf(call) * RANKS + 1,
    promptTokens: call.tokens.prompt,
    askedTokens: call.tokens.output,
    isCall: false,
    prefix: "",
    arrivedAt: call.arrivedAt,
    deadline: call.deadline,
  };
}

/** The same call once it cannot be on time any more. */
function workOfOverdue(call: ICall): IWorkItem {
  return {
    ...queueItemOf(call),
    account: `${call.account ?? ""}/overdue`,
    priority: urgencyOf(call) * RANKS,
  };
}

function urgencyOf(call: ICall): number {
  return LEAST_URGENT - Math.min(LEAST_URGENT, call.priority);
}

/** The same call once its caller has part of the answer. */
export function startedQueueItemOf(call: ICall): IWorkItem {
  return {
    ...queueItemOf(call),
    account: `${call.account ?? ""}/begun`,
    priority: BEGUN_PRIORITY,
  };
}
