/** The project's scheduler as a policy, and simple policies as baselines. */
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

/** The environment in which a policy decides. */
export interface IPolicyHost {
  readonly now: number;
  /** Number of daemons. */
  readonly daemons: number;
  readonly random: () => number;
  /** Sends work, which must not be running already. */
  send(work: IWorkItem, target: string): void;
  refuse(work: IWorkItem, retryAfter: number): void;
  /** Runs a callback after a delay, milliseconds. */
  after(delay: number, callback: () => void): void;
  /** Cancels work at the target that runs it. */
  cancel(work: IWorkItem): void;
}

/** The scheduling decisions of one daemon. */
export interface IPolicy {
  submit(work: IWorkItem): void;
  updateReports(targets: readonly ITargetLoadReport[]): void;
  onToken(work: IWorkItem): void;
  /** @param tokens - length of the response; null if it is not complete */
  onFinished(work: IWorkItem, tokens: number | null): void;
  onFailure(work: IWorkItem): void;
  tick(): void;
}

/** Attempts per request, under every policy. */
const MAXIMUM_ATTEMPTS = 3;

/** Milliseconds after which a caller may retry when all attempts failed. */
const RETRY_AFTER = 1_000;

/** Decides with the project's scheduler and retry budget. */
export class SchedulerPolicy implements IPolicy {
  readonly #host: IPolicyHost;
  readonly #scheduler = new ServiceScheduler();
  readonly #trackedRequests = new Map<IWorkItem, ITrackedRequest>();
  readonly #attemptedTargets = new Map<IWorkItem, Set<string>>();
  readonly #retryBudgets = new Map<string, RetryBudget>();

  constructor(host: IPolicyHost) {
    this.#host = host;
  }

  submit(work: IWorkItem): void {
    this.#retryBudgetOf(work).recordFirstAttempt(this.#host.now);
    this.#apply(this.#scheduler.submit(work, this.#host.now));
  }

  updateReports(targets: readonly ITargetLoadReport[]): void {
    const { daemons, now } = this.#host;
    this.#apply(this.#scheduler.updateTargets({ targets, daemons }, now));
  }

  onToken(work: IWorkItem): void {
    const tracked = this.#trackedRequests.get(work);
    if (tracked !== undefined) {
      this.#scheduler.targets.recordTokens(tracked, 1, this.#host.now);
    }
  }

  onFinished(work: IWorkItem, tokens: number | null): void {
    this.#end(work);
    this.#attemptedTargets.delete(work);
    this.#scheduler.cancel(work);
    this.#apply(this.#scheduler.finish(work, tokens, this.#host.now));
  }

  onFailure(work: IWorkItem): void {
    this.#end(work);
    const avoid = this.#attemptedTargets.get(work);
    const { now, random } = this.#host;
    const within = work.deadline - now - this.#scheduler.estimateRunTime(work);
    const canRetry = avoid !== undefined && avoid.size < MAXIMUM_ATTEMPTS;
    const wait = canRetry
      ? this.#retryBudgetOf(work).take(within, random)
      : null;
    if (wait === null) {
      this.#abandon(work);
      return;
    }
    this.#host.after(wait, () => {
      const isOpen = this.#attemptedTargets.get(work) === avoid;
      if (isOpen && !this.#send(work)) {
        this.#abandon(work);
      }
    });
  }

  /** Retries requests elsewhere whose target has stopped answering. */
  tick(): void {
    this.#apply(this.#scheduler.advance(this.#host.now));
    for (const [work, tracked] of this.#trackedRequests) {
      const isSetAside =
        this.#scheduler.targets.healthOf(tracked.target) ===
        TargetHealth.SetAside;
      if (isSetAside && tracked.lastTokenAt === null) {
        this.#host.cancel(work);
        this.onFailure(work);
      }
    }
  }

  /** The work as it is passed to routing. */
  protected routedWork(work: IWorkItem): IWorkItem {
    return work;
  }

  #apply(actions: readonly ScheduleAction[]): void {
    for (const action of actions) {
      if (action.kind === ScheduleActionKind.Refuse) {
        this.#host.refuse(action.work, action.retryAfter);
        continue;
      }
      this.#attemptedTargets.set(action.work, new Set());
      if (!this.#send(action.work)) {
        this.#abandon(action.work);
      }
    }
  }

  #abandon(work: IWorkItem): void {
    this.#host.refuse(work, RETRY_AFTER);
    this.onFinished(work, null);
  }

  #send(work: IWorkItem): boolean {
    const avoid = this.#attemptedTargets.get(work) ?? new Set<string>();
    const { now, random } = this.#host;
    const { targets } = this.#scheduler;
    const routed = this.routedWork(work);
    const target = targets.choose({ work: routed, avoid }, random);
    if (target === null) {
      return false;
    }
    avoid.add(target);
    this.#trackedRequests.set(work, targets.startRequest(target, routed, now));
    this.#host.send(work, target);
    return true;
  }

  #end(work: IWorkItem): void {
    const tracked = this.#trackedRequests.get(work);
    if (tracked !== undefined) {
      this.#scheduler.targets.endRequest(tracked, this.#host.now);
      this.#trackedRequests.delete(work);
    }
  }

  #retryBudgetOf(work: IWorkItem): RetryBudget {
    const budget = this.#retryBudgets.get(work.account) ?? new RetryBudget();
    this.#retryBudgets.set(work.account, budget);
    return budget;
  }
}

/** The project's scheduler without prefix affinity. */
export class SchedulerWithoutAffinity extends SchedulerPolicy {
  protected override routedWork(work: IWorkItem): IWorkItem {
    return { ...work, prefix: "" };
  }
}

/** Sends and retries all work at once, without a limit. */
abstract class UnlimitedPolicy implements IPolicy {
  readonly host: IPolicyHost;
  targets: readonly ITargetLoadReport[] = [];
  readonly #attempts = new Map<IWorkItem, number>();

  constructor(host: IPolicyHost) {
    this.host = host;
  }

  abstract choose(): string | null;

  submit(work: IWorkItem): void {
    const target = this.choose();
    if (target === null) {
      this.host.refuse(work, RETRY_AFTER);
      return;
    }
    this.#attempts.set(work, (this.#attempts.get(work) ?? 0) + 1);
    this.host.send(work, target);
  }

  updateReports(targets: readonly ITargetLoadReport[]): void {
    this.targets = targets;
  }

  onToken(_work: IWorkItem): void {}

  onFinished(work: IWorkItem, _tokens: number | null): void {
    this.#attempts.delete(work);
  }

  onFailure(work: IWorkItem): void {
    if ((this.#attempts.get(work) ?? 0) < MAXIMUM_ATTEMPTS) {
      this.submit(work);
    } else {
      this.host.refuse(work, RETRY_AFTER);
      this.onFinished(work, null);
    }
  }

  tick(): void {}
}

/** Chooses the targets in turn. */
export class RoundRobin extends UnlimitedPolicy {
  #next = 0;

  override choose(): string | null {
    this.#next += 1;
    return this.targets[this.#next % this.targets.length]?.id ?? null;
  }
}

/** Chooses the target with the lowest load in its last report. */
export class LeastReportedLoad extends UnlimitedPolicy {
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
