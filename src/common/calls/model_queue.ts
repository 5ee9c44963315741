/**
 * Calls of one model that wait for a group. After a burst or the loss of a
 * group, there are more calls than slots for some seconds. Queued at a target,
 * they would be bound to a group that may be lost next; here each goes to the
 * first group with a free slot. Order and fairness are those of
 * {@link FairQueue}. Started streams come first, and calls that can still be on
 * time come before {@link OverdueCalls}.
 */
import { FairQueue } from "../decisions/fair_queue.ts";
import type { IWorkItem } from "../decisions/work_item.ts";
import type { MonotonicTime } from "../types.ts";
import { DrainRate } from "./drain_rate.ts";
import type { ModelRun } from "./model_run.ts";
import { OverdueCalls } from "./overdue_calls.ts";
import type { ICall } from "./types.ts";

/** {@link FairQueue} priorities rise with urgency, call priorities fall. */
const LEAST_URGENT = 9;

/** Ranks per priority: one for calls that can be on time, one for others. */
const RANKS_PER_PRIORITY = 2;

/** Above all other calls: the caller is in the middle of a response. */
const STARTED_PRIORITY = (LEAST_URGENT + 1) * RANKS_PER_PRIORITY;

/** Longest wait while the model has no group at all, milliseconds. */
const GROUPLESS_TIMEOUT = 1_000;

/** Slots for {@link FairQueue.take}: a group runs short and long work. */
const ANY_WORK = { forShort: true, forLong: true };

/** Waiting calls, and the rate at which they are started. */
export class ModelQueue {
  readonly #queue = new FairQueue();
  readonly #runs = new Map<IWorkItem, ModelRun>();
  readonly #drainRate = new DrainRate();
  /** By queue item, the calls that can no longer be on time. */
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

  /** Adds a run; returns the run that was evicted for it, or null. */
  add(run: ModelRun): ModelRun | null {
    this.#runs.set(run.queueItem, run);
    const evicted = this.#queue.add(run.queueItem);
    return evicted === null ? null : this.#forget(evicted);
  }

  takeNext(now: MonotonicTime): ModelRun | null {
    this.#demoteOverdue(now);
    const item = this.#queue.take(ANY_WORK);
    if (item === null) {
      return null;
    }
    if (this.#overdue.has(item)) {
      this.#overdueCalls.recordStart(now);
    }
    this.#drainRate.recordStart(now);
    return this.#forget(item);
  }

  remove(run: ModelRun): void {
    if (this.#queue.remove(run.queueItem)) {
      this.#forget(run.queueItem);
    }
  }

  /** Removes and returns the runs that meet a condition. */
  removeWhere(condition: (run: ModelRun) => boolean): readonly ModelRun[] {
    const removed = this.#queue.removeWhere((item) => {
      const run = this.#runs.get(item);
      return run === undefined || condition(run);
    });
    return removed
      .map((item) => this.#forget(item))
      .filter((run) => run !== null);
  }

  /**
   * Removes and returns the runs that can no longer be answered in time.
   *
   * @param shortestRun - shortest time that a run takes, milliseconds
   */
  removeHopeless(
    now: MonotonicTime,
    shortestRun: (run: ModelRun) => number,
  ): readonly ModelRun[] {
    this.#demoteOverdue(now);
    const hopelessOverdue = new Set(this.#findHopelessOverdue(now));
    const hasTimedOut = this.#grouplessFor(now) > GROUPLESS_TIMEOUT;
    return this.removeWhere((run) => {
      const { arrivedAt, deadline } = run.queueItem;
      const isLate = now + shortestRun(run) > deadline;
      const hasWaited = now - arrivedAt > GROUPLESS_TIMEOUT;
      const isGroupless = hasTimedOut && hasWaited && !run.reply.isStarted;
      return isLate || isGroupless || hopelessOverdue.has(run);
    });
  }

  /** Called at each placement with whether the model has a usable group. */
  setHasGroups(has: boolean, now: MonotonicTime): void {
    this.#grouplessSince = has ? null : (this.#grouplessSince ?? now);
  }

  /** Milliseconds until a call that arrives now would be started. */
  expectedWait(now: MonotonicTime): number {
    return this.#queue.size === 0
      ? 0
      : this.#drainRate.timeToDrain(this.size, now);
  }

  retryAfter(now: MonotonicTime, chance: number): number {
    return this.#drainRate.retryAfter(this.size + 1, now, chance);
  }

  /** Moves calls that can no longer be on time behind those that can. */
  #demoteOverdue(now: MonotonicTime): void {
    const isOverdue = (run: ModelRun | undefined) =>
      run !== undefined &&
      !run.reply.isStarted &&
      !this.#overdue.has(run.queueItem) &&
      now + this.#firstEventTime(run.call) >
        run.call.arrivedAt + run.call.route.objective;
    const found = this.#queue.removeWhere((item) =>
      isOverdue(this.#runs.get(item)),
    );
    for (const item of found) {
      const run = this.#forget(item);
      if (run !== null) {
        run.queueItem = overdueQueueItemOf(run.call);
        this.#overdue.set(run.queueItem, run);
        this.add(run);
      }
    }
  }

  #findHopelessOverdue(now: MonotonicTime): readonly ModelRun[] {
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

  #forget(item: IWorkItem): ModelRun | null {
    const run = this.#runs.get(item) ?? null;
    this.#runs.delete(item);
    this.#overdue.delete(item);
    return run;
  }
}

/** The queue item of a waiting call. */
export function queueItemOf(call: ICall): IWorkItem {
  return {
    id: call.id,
    account: call.account ?? "",
    priority: urgencyOf(call) * RANKS_PER_PRIORITY + 1,
    promptTokens: call.tokens.prompt,
    requestedTokens: call.tokens.output,
    isCall: false,
    prefix: "",
    arrivedAt: call.arrivedAt,
    deadline: call.deadline,
  };
}

/** The queue item of a call that can no longer be on time. */
function overdueQueueItemOf(call: ICall): IWorkItem {
  return {
    ...queueItemOf(call),
    account: `${call.account ?? ""}/overdue`,
    priority: urgencyOf(call) * RANKS_PER_PRIORITY,
  };
}

function urgencyOf(call: ICall): number {
  return LEAST_URGENT - Math.min(LEAST_URGENT, call.priority);
}

/** The queue item of a call whose caller has part of the response. */
export function startedQueueItemOf(call: ICall): IWorkItem {
  return {
    ...queueItemOf(call),
    account: `${call.account ?? ""}/begun`,
    priority: STARTED_PRIORITY,
  };
}
