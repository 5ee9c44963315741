/** The decisions under measurement, and the plain baselines. */
import { RetryBudget } from "../../src/common/decisions/retry_budget.ts";
import {
  ScheduleActionKind,
  ServiceScheduler,
} from "../../src/common/decisions/service_scheduler.ts";
import type { ScheduleAction } from "../../src/common/decisions/service_scheduler.ts";
import type {
  ITargetLoadReport,
  ITrackedRequest,
} from "../../src/common/decisions/target_tracker.ts";
import { TargetHealth } from "../../src/common/decisions/outlier_detector.ts";
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";

/** What a policy may do. */
export interface IPolicyHost {
  readonly now: number;
  /** How many daemons there are. */
  readonly daemons: number;
  readonly random: () => number;
  /** Sends work; it must not be running already. */
  send(work: IWorkItem, target: string): void;
  refuse(work: IWorkItem, retryAfter: number): void;
  /** Calls back after a delay in milliseconds. */
  after(delay: number, callback: () => void): void;
  /** Takes work back from where it runs. */
  recall(work: IWorkItem): void;
}

/** What decides in one daemon. */
export interface IPolicy {
  arrive(work: IWorkItem): void;
  report(targets: readonly ITargetLoadReport[]): void;
  tokens(work: IWorkItem): void;
  /** The answer is whole with so many tokens, or the caller has left. */
  finished(work: IWorkItem, tokens: number | null): void;
  failed(work: IWorkItem): void;
  tick(): void;
}

/** Tries of a request in every policy. */
const MAXIMUM_TRIES = 3;

/** When a caller may come back whose tries have all failed, ms. */
const RETRY_AFTER = 1_000;

/** The project's decisions. */
export class Scheduled implements IPolicy {
  readonly #host: IPolicyHost;
  readonly #scheduler = new ServiceScheduler();
  readonly #uses = new Map<IWorkItem, ITrackedRequest>();
  readonly #avoid = new Map<IWorkItem, Set<string>>();
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(host: IPolicyHost) {
    this.#host = host;
  }

  arrive(work: IWorkItem): void {
    this.#budgetOf(work).recordFirstAttempt(this.#host.now);
    this.#do(this.#scheduler.submit(work, this.#host.now));
  }

  report(targets: readonly ITargetLoadReport[]): void {
    const { daemons, now } = this.#host;
    this.#do(this.#scheduler.updateTargets({ targets, daemons }, now));
  }

  tokens(work: IWorkItem): void {
    const use = this.#uses.get(work);
    if (use !== undefined) {
      this.#scheduler.targets.recordTokens(use, 1, this.#host.now);
    }
  }

  finished(work: IWorkItem, tokens: number | null): void {
    this.#end(work);
    this.#avoid.delete(work);
    this.#scheduler.cancel(work);
    this.#do(this.#scheduler.finish(work, tokens, this.#host.now));
  }

  failed(work: IWorkItem): void {
    this.#end(work);
    const avoid = this.#avoid.get(work);
    const { now, random } = this.#host;
    const within = work.deadline - now - this.#scheduler.estimateRunTime(work);
    const isTriable = avoid !== undefined && avoid.size < MAXIMUM_TRIES;
    const wait = isTriable ? this.#budgetOf(work).take(within, random) : null;
    if (wait === null) {
      this.#giveUp(work);
      return;
    }
    this.#host.after(wait, () => {
      const isOpen = this.#avoid.get(work) === avoid;
      if (isOpen && !this.#send(work)) {
        this.#giveUp(work);
      }
    });
  }

  /** Requests at a target that has gone silent are tried elsewhere. */
  tick(): void {
    this.#do(this.#scheduler.advance(this.#host.now));
    for (const [work, use] of this.#uses) {
      const isAside =
        this.#scheduler.targets.healthOf(use.target) === TargetHealth.SetAside;
      if (isAside && use.lastTokenAt === null) {
        this.#host.recall(work);
        this.failed(work);
      }
    }
  }

  /** The work as routing sees it. */
  protected routed(work: IWorkItem): IWorkItem {
    return work;
  }

  #do(actions: readonly ScheduleAction[]): void {
    for (const action of actions) {
      if (action.kind === ScheduleActionKind.Refuse) {
        this.#host.refuse(action.work, action.retryAfter);
        continue;
      }
      this.#avoid.set(action.work, new Set());
      if (!this.#send(action.work)) {
        this.#giveUp(action.work);
      }
    }
  }

  #giveUp(work: IWorkItem): void {
    this.#host.refuse(work, RETRY_AFTER);
    this.finished(work, null);
  }

  #send(work: IWorkItem): boolean {
    const avoid = this.#avoid.get(work) ?? new Set<string>();
    const { now, random } = this.#host;
    const { targets } = this.#scheduler;
    const routed = this.routed(work);
    const target = targets.choose({ work: routed, avoid }, random);
    if (target === null) {
      return false;
    }
    avoid.add(target);
    this.#uses.set(work, targets.startRequest(target, routed, now));
    this.#host.send(work, target);
    return true;
  }

  #end(work: IWorkItem): void {
    const use = this.#uses.get(work);
    if (use !== undefined) {
      this.#scheduler.targets.endRequest(use, this.#host.now);
      this.#uses.delete(work);
    }
  }

  #budgetOf(work: IWorkItem): RetryBudget {
    const budget = this.#budgets.get(work.account) ?? new RetryBudget();
    this.#budgets.set(work.account, budget);
    return budget;
  }
}

/** The decisions, but blind to what prompts have in common. */
export class WithoutAffinity extends Scheduled {
  protected override routed(work: IWorkItem): IWorkItem {
    return { ...work, prefix: "" };
  }
}

/** FIFO without limit: all work is sent at once, and retried at once. */
abstract class Unlimited implements IPolicy {
  readonly host: IPolicyHost;
  targets: readonly ITargetLoadReport[] = [];
  readonly #tries = new Map<IWorkItem, number>();

  constructor(host: IPolicyHost) {
    this.host = host;
  }

  abstract choose(): string | null;

  arrive(work: IWorkItem): void {
    const target = this.choose();
    if (target === null) {
      this.host.refuse(work, RETRY_AFTER);
      return;
    }
    this.#tries.set(work, (this.#tries.get(work) ?? 0) + 1);
    this.host.send(work, target);
  }

  report(targets: readonly ITargetLoadReport[]): void {
    this.targets = targets;
  }

  tokens(_work: IWorkItem): void {}

  finished(work: IWorkItem, _tokens: number | null): void {
    this.#tries.delete(work);
  }

  failed(work: IWorkItem): void {
    if ((this.#tries.get(work) ?? 0) < MAXIMUM_TRIES) {
      this.arrive(work);
    } else {
      this.host.refuse(work, RETRY_AFTER);
      this.finished(work, null);
    }
  }

  tick(): void {}
}

/** One target after the other. */
export class RoundRobin extends Unlimited {
  #next = 0;

  override choose(): string | null {
    this.#next += 1;
    return this.targets[this.#next % this.targets.length]?.id ?? null;
  }
}

/** The target with the least in flight by its last report. */
export class LeastReported extends Unlimited {
  override choose(): string | null {
    let best: ITargetLoadReport | null = null;
    for (const target of this.targets) {
      if (best === null || target.reported < best.reported) {
        best = target;
      }
    }
    return best?.id ?? null;
  }
}
