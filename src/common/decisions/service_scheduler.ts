/**
 * The decisions of one service put together: what is let in, what waits, what
 * is turned away and where work goes. Pure: events and the time go in, actions
 * come out; chance is handed in. One in each daemon for each service.
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
 * Share of the slots within this daemon's reach that long work may hold. The
 * rest is kept for short work, which would otherwise wait for a long brief to
 * end.
 */
export const LONG_SLOT_SHARE = 0.75;

/**
 * A queue that was never empty for this long is no burst, milliseconds. It
 * only makes everything late by its length without serving any more, so from
 * then on work is let in only if it need not wait long.
 */
const STANDING_AFTER = 5_000;

/** The longest wait let in while a queue is standing, milliseconds. */
const LONGEST_STANDING_WAIT = 500;

/** Shortest and longest "come back in", milliseconds. */
const SHORTEST_RETRY_AFTER = 200;
const LONGEST_RETRY_AFTER = 30_000;

/** What is to be done with work. */
export enum ScheduleActionKind {
  /** Send it now. */
  Start = "start",
  /** Tell its caller at once that it did not run. */
  Refuse = "refuse",
}

/** One thing to be done. */
export type ScheduleAction =
  | { readonly kind: ScheduleActionKind.Start; readonly work: IWorkItem }
  | {
      readonly kind: ScheduleActionKind.Refuse;
      readonly work: IWorkItem;
      readonly reason: Reason;
      /** When asking again makes sense, milliseconds. */
      readonly retryAfter: number;
    };

/** Admission, waiting and routing of one service in one daemon. */
export class ServiceScheduler {
  readonly #queue = new FairQueue();
  readonly #runTime = new RunTimeEstimator();
  readonly #targets = new TargetTracker(this.#runTime);
  /** Work started and not finished. */
  readonly #started = new Set<IWorkItem>();
  /** Work let in although it seemed too late, one an account. */
  readonly #trials = new Map<AccountName, IWorkItem>();
  #longStarted = 0;
  /** Since when some work has always been waiting. */
  #backlogSince: MonotonicTime | null = null;

  /** What is known of the targets; times of tokens are told to it. */
  get targets(): TargetTracker {
    return this.#targets;
  }

  get queueSize(): number {
    return this.#queue.size;
  }

  /** Milliseconds from sending work to its whole answer, with a margin. */
  estimateRunTime(work: IWorkItem): number {
    return this.#runTime.estimateWithMargin(work);
  }

  /** Work arrives. It is started, kept waiting (no action) or refused. */
  submit(work: IWorkItem, now: MonotonicTime): readonly ScheduleAction[] {
    if (this.#started.size === 0) {
      this.#runTime.capWhenIdle();
    }
    const late = this.#lateness(work, now);
    const isTrial = late > 0 && this.#mayTry(work, now);
    if (isTrial) {
      this.#trials.set(work.account, work);
    } else if (late > 0) {
      return [refuse(work, Reason.DeadlineTooNear, late)];
    }
    const pushedOut = this.#queue.add(work);
    const refused =
      pushedOut === null
        ? []
        : [refuse(pushedOut, Reason.QueueFull, this.#wait(pushedOut))];
    return [...refused, ...this.advance(now)];
  }

  /**
   * Work that was started has ended.
   *
   * @param tokens Tokens of the whole answer; null if there is none.
   */
  finish(
    work: IWorkItem,
    tokens: number | null,
    now: MonotonicTime,
  ): readonly ScheduleAction[] {
    if (tokens !== null) {
      this.#runTime.recordAnswer(tokens, work.askedTokens);
    }
    this.#endTrial(work);
    if (this.#started.delete(work) && isLong(work)) {
      this.#longStarted -= 1;
    }
    return this.advance(now);
  }

  /** The caller of waiting work is gone. */
  cancel(work: IWorkItem): boolean {
    this.#endTrial(work);
    return this.#queue.remove(work);
  }

  /** The targets in service and their reports. */
  updateTargets(
    reports: ITargetsUpdate,
    now: MonotonicTime,
  ): readonly ScheduleAction[] {
    this.#targets.update(reports, now);
    return this.advance(now);
  }

  /** Time passed: starts what there is room for, refuses what has expired. */
  advance(now: MonotonicTime): readonly ScheduleAction[] {
    const actions: ScheduleAction[] = [];
    const expired = this.#queue.removeWhere((work) => {
      const isLate =
        now + this.#runTime.estimateWithMargin(work) > work.deadline;
      return isLate && !this.#isKept(work, now);
    });
    for (const work of expired) {
      this.#endTrial(work);
      const late = now + this.#runTime.estimateWithMargin(work) - work.deadline;
      actions.push(refuse(work, Reason.DeadlinePassed, late));
    }
    for (;;) {
      const work = this.#queue.take(this.#room());
      if (work === null) {
        this.#noteBacklog(now);
        return actions;
      }
      this.#started.add(work);
      this.#longStarted += isLong(work) ? 1 : 0;
      actions.push({ kind: ScheduleActionKind.Start, work });
    }
  }

  /**
   * Whether work that seems too late is let in all the same: its account has
   * nothing here, so it did not bring the load about by which the run time was
   * learned. Pattern of load: one account floods the only group; times learned
   * from its answers jump past everybody's deadline, and an account that asks
   * now and then would be refused until the flood ends. One trial an account
   * at a time, so a wrong guess costs one slot for one answer.
   */
  #mayTry(work: IWorkItem, now: MonotonicTime): boolean {
    return !this.#queue.has(work.account) && this.#mayBeTrial(work, now);
  }

  /**
   * Whether work that waits is kept although it seems too late by now. The
   * estimate may have risen since it was let in, and then a trial is due to it
   * as to work that arrives.
   */
  #isKept(work: IWorkItem, now: MonotonicTime): boolean {
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

  #room(): IFreeSlots {
    const reach = this.#targets.usableSlots;
    const isFree = this.#started.size < reach;
    const longSlots = Math.max(1, reach * LONG_SLOT_SHARE);
    return {
      forShort: isFree,
      forLong: isFree && this.#longStarted < longSlots,
    };
  }

  /** By how many milliseconds work would wait too long; 0 if it would not. */
  #lateness(work: IWorkItem, now: MonotonicTime): number {
    const wait = this.#wait(work);
    const late =
      now + wait + this.#runTime.estimateWithMargin(work) - work.deadline;
    const isStanding =
      this.#backlogSince !== null && now - this.#backlogSince > STANDING_AFTER;
    const tooLong = isStanding ? wait - LONGEST_STANDING_WAIT : 0;
    return Math.max(0, late, tooLong);
  }

  #noteBacklog(now: MonotonicTime): void {
    if (this.#queue.size === 0) {
      this.#backlogSince = null;
    } else {
      this.#backlogSince ??= now;
    }
  }

  /**
   * Expected wait before work starts, milliseconds: the cost that goes first,
   * over what the slots in reach get done (Little's law). The rate of late
   * would be wrong just when it matters, at the start of a burst.
   */
  #wait(work: IWorkItem): number {
    const slots = this.#targets.usableSlots;
    const rate = (slots * costOf(work)) / this.#runTime.estimate(work);
    const ahead = this.#queue.size === 0 ? 0 : this.#queue.costAhead(work);
    return rate > 0 ? ahead / rate : 0;
  }
}

function refuse(work: IWorkItem, reason: Reason, late: number): ScheduleAction {
  const bounded = Math.min(
    LONGEST_RETRY_AFTER,
    Math.max(SHORTEST_RETRY_AFTER, late),
  );
  const retryAfter = Math.ceil(bounded);
  return { kind: ScheduleActionKind.Refuse, work, reason, retryAfter };
}
