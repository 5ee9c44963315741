/**
 * Schedules the requests of one service in one daemon: which are admitted,
 * which wait, which are refused, and which target each is sent to. It has no
 * side effects: events and the current time go in, actions come out, and the
 * source of randomness is a parameter.
 */
import type { AccountName, MonotonicTime } from "../types.ts";
import { Reason } from "../types.ts";
import { FairQueue } from "./fair_queue.ts";
import type { IFreeSlots } from "./fair_queue.ts";
import { RunTimeEstimator } from "./run_time_estimator.ts";
import { TargetTracker } from "./target_tracker.ts";
import type { ITargetsUpdate } from "./target_tracker.ts";
import { costOf, isLong } from "./work_item.ts";
import type { IWorkItem } from "./work_item.ts";

/**
 * Share of the slots usable by this daemon that long work may hold. The rest is
 * reserved for short work, which would otherwise wait for a long answer to end.
 */
export const LONG_SLOT_SHARE = 0.75;

/**
 * A queue that has not been empty for this long is no burst, milliseconds. A
 * standing queue only delays every request by its length and serves no more of
 * them, so from then on work is admitted only if it need not wait long.
 */
const STANDING_AFTER = 5_000;

/**
 * The longest expected wait admitted while the queue is standing, milliseconds.
 */
const LONGEST_STANDING_WAIT = 500;

/** Bounds of a refusal's retry delay, milliseconds. */
const SHORTEST_RETRY_AFTER = 200;
const LONGEST_RETRY_AFTER = 30_000;

/** What to do with a work item. */
export enum ScheduleActionKind {
  /** Send it now. */
  Start = "start",
  /** Refuse it immediately; it was not run. */
  Refuse = "refuse",
}

/** An action for the caller of the scheduler to perform. */
export type ScheduleAction =
  | { readonly kind: ScheduleActionKind.Start; readonly work: IWorkItem }
  | {
      readonly kind: ScheduleActionKind.Refuse;
      readonly work: IWorkItem;
      readonly reason: Reason;
      /** When to retry, milliseconds. */
      readonly retryAfter: number;
    };

/** Admission, queueing and routing for one service in one daemon. */
export class ServiceScheduler {
  readonly #queue = new FairQueue();
  readonly #runTime = new RunTimeEstimator();
  readonly #targets = new TargetTracker(this.#runTime);
  readonly #started = new Set<IWorkItem>();
  /** Work admitted although it is expected to be late; one item per account. */
  readonly #trials = new Map<AccountName, IWorkItem>();
  #longStarted = 0;
  /** Since when the queue has not been empty; null while it is. */
  #backlogSince: MonotonicTime | null = null;

  /** The targets' state. Token times are recorded there directly. */
  get targets(): TargetTracker {
    return this.#targets;
  }

  get queueSize(): number {
    return this.#queue.size;
  }

  /** Milliseconds from sending work to its complete answer, with a margin. */
  estimateRunTime(work: IWorkItem): number {
    return this.#runTime.estimateWithMargin(work);
  }

  /** Submits work: it is started, queued (no action) or refused. */
  submit(work: IWorkItem, now: MonotonicTime): readonly ScheduleAction[] {
    if (this.#started.size === 0) {
      this.#runTime.capWhenIdle();
    }
    const late = this.#lateness(work, now);
    const isTrial = late > 0 && this.#mayAdmitAsTrial(work, now);
    if (isTrial) {
      this.#trials.set(work.account, work);
    } else if (late > 0) {
      return [refuse(work, Reason.DeadlineTooNear, late)];
    }
    const evicted = this.#queue.add(work);
    const refused =
      evicted === null
        ? []
        : [refuse(evicted, Reason.QueueFull, this.#expectedWait(evicted))];
    return [...refused, ...this.advance(now)];
  }

  /**
   * Ends work that was started.
   *
   * @param tokens Tokens of the complete answer; null if there is none.
   */
  finish(
    work: IWorkItem,
    tokens: number | null,
    now: MonotonicTime,
  ): readonly ScheduleAction[] {
    if (tokens !== null) {
      this.#runTime.recordAnswer(tokens, work.requestedTokens);
    }
    this.#endTrial(work);
    if (this.#started.delete(work) && isLong(work)) {
      this.#longStarted -= 1;
    }
    return this.advance(now);
  }

  /** Refuses all queued work, with a retry-after time in milliseconds. */
  refuseAll(reason: Reason, retryAfter: number): readonly ScheduleAction[] {
    return this.#queue
      .removeWhere(() => true)
      .map((work) => {
        this.#endTrial(work);
        return { kind: ScheduleActionKind.Refuse, work, reason, retryAfter };
      });
  }

  /** Removes queued work whose caller has disconnected. */
  cancel(work: IWorkItem): boolean {
    this.#endTrial(work);
    return this.#queue.remove(work);
  }

  /** Updates the targets that can serve and their reported load. */
  updateTargets(
    update: ITargetsUpdate,
    now: MonotonicTime,
  ): readonly ScheduleAction[] {
    this.#targets.update(update, now);
    return this.advance(now);
  }

  /** Starts what slots are free for and refuses what has expired. */
  advance(now: MonotonicTime): readonly ScheduleAction[] {
    const actions: ScheduleAction[] = [];
    const expired = this.#queue.removeWhere((work) => {
      const isLate =
        now + this.#runTime.estimateWithMargin(work) > work.deadline;
      return isLate && !this.#keepAsTrial(work, now);
    });
    for (const work of expired) {
      this.#endTrial(work);
      const late = now + this.#runTime.estimateWithMargin(work) - work.deadline;
      actions.push(refuse(work, Reason.DeadlinePassed, late));
    }
    for (;;) {
      const work = this.#queue.take(this.#freeSlots());
      if (work === null) {
        this.#updateBacklog(now);
        return actions;
      }
      this.#started.add(work);
      this.#longStarted += isLong(work) ? 1 : 0;
      actions.push({ kind: ScheduleActionKind.Start, work });
    }
  }

  /**
   * Whether work that is expected to be late is admitted as a trial: its
   * account has nothing queued or running here, so it did not cause the load
   * from which the run time was learned. When one account floods the only
   * group, the times learned from its answers exceed every deadline, and an
   * account that sends a request now and then would be refused until the flood
   * ends. One trial per account at a time, so a wrong guess costs one slot for
   * one answer.
   */
  #mayAdmitAsTrial(work: IWorkItem, now: MonotonicTime): boolean {
    return !this.#queue.has(work.account) && this.#mayBeTrial(work, now);
  }

  /**
   * Keeps queued work that is now expected to be late, if it can be a trial.
   * The estimate may have risen since the work was admitted, and then it gets
   * the same trial as work that arrives.
   */
  #keepAsTrial(work: IWorkItem, now: MonotonicTime): boolean {
    if (this.#mayBeTrial(work, now)) {
      this.#trials.set(work.account, work);
    }
    return this.#isTrial(work) && now < work.deadline;
  }

  #mayBeTrial({ account, deadline }: IWorkItem, now: MonotonicTime): boolean {
    const isStarted = [...this.#started].some((one) => one.account === account);
    return !this.#trials.has(account) && !isStarted && now < deadline;
  }

  #isTrial(work: IWorkItem): boolean {
    return this.#trials.get(work.account) === work;
  }

  #endTrial(work: IWorkItem): void {
    if (this.#isTrial(work)) {
      this.#trials.delete(work.account);
    }
  }

  #freeSlots(): IFreeSlots {
    const slots = this.#targets.usableSlots;
    const isFree = this.#started.size < slots;
    const longSlots = Math.max(1, slots * LONG_SLOT_SHARE);
    return {
      forShort: isFree,
      forLong: isFree && this.#longStarted < longSlots,
    };
  }

  /**
   * Milliseconds by which work would be late or wait too long; 0 if neither.
   */
  #lateness(work: IWorkItem, now: MonotonicTime): number {
    const wait = this.#expectedWait(work);
    const late =
      now + wait + this.#runTime.estimateWithMargin(work) - work.deadline;
    const isStanding =
      this.#backlogSince !== null && now - this.#backlogSince > STANDING_AFTER;
    const tooLong = isStanding ? wait - LONGEST_STANDING_WAIT : 0;
    return Math.max(0, late, tooLong);
  }

  #updateBacklog(now: MonotonicTime): void {
    if (this.#queue.size === 0) {
      this.#backlogSince = null;
    } else {
      this.#backlogSince ??= now;
    }
  }

  /**
   * Expected wait before work starts, milliseconds: the cost ahead of it over
   * the throughput of the usable slots (Little's law). The recent throughput
   * would be wrong exactly when it matters, at the start of a burst.
   */
  #expectedWait(work: IWorkItem): number {
    const slots = this.#targets.usableSlots;
    const rate = (slots * costOf(work)) / this.#runTime.estimate(work);
    const ahead = this.#queue.size === 0 ? 0 : this.#queue.costAhead(work);
    return rate > 0 ? ahead / rate : 0;
  }
}

function refuse(work: IWorkItem, reason: Reason, wait: number): ScheduleAction {
  const bounded = Math.min(
    LONGEST_RETRY_AFTER,
    Math.max(SHORTEST_RETRY_AFTER, wait),
  );
  const retryAfter = Math.ceil(bounded);
  return { kind: ScheduleActionKind.Refuse, work, reason, retryAfter };
}
