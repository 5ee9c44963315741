/** The decisions under measurement, and the plain baselines. */
import { RetryBudget } from "../../src/common/decisions/retry_budget.ts";
import {
  ScheduleActionKind,
  ServiceScheduler,
} from "../../src/common/decisions/service_scheduler.ts";
import type { ScheduleAction } from "../../src/common/decisions/service_scheduler.ts";
import type {
  ITargetState,
  ITargetUse,
} from "../../src/common/decisions/target_book.ts";
import { Standing } from "../../src/common/decisions/slow_target.ts";
import type { IWork } from "../../src/common/decisions/work.ts";

/** What a policy may do. */
export interface IPolicyHost {
  readonly now: number;
  /** How many daemons there are. */
  readonly daemons: number;
  readonly random: () => number;
  /** Sends work; it must not be running already. */
  send(work: IWork, target: string): void;
  refuse(work: IWork, retryAfter: number): void;
  /** Calls back after a delay in milliseconds. */
  after(delay: number, callback: () => void): void;
  /** Takes work back from where it runs. */
  recall(work: IWork): void;
}

/** What decides in one daemon. */
export interface IPolicy {
  arrive(work: IWork): void;
  report(targets: readonly ITargetState[]): void;
  tokens(work: IWork): void;
  /** The answer is whole with so many tokens, or the caller has left. */
  finished(work: IWork, tokens: number | null): void;
  failed(work: IWork): void;
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
  readonly #uses = new Map<IWork, ITargetUse>();
  readonly #avoid = new Map<IWork, Set<string>>();
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(host: IPolicyHost) {
    this.#host = host;
  }

  arrive(work: IWork): void {
    this.#budgetOf(work).firstTry(this.#host.now);
    this.#do(this.#scheduler.offer(work, this.#host.now));
  }

  report(targets: readonly ITargetState[]): void {
    const { daemons, now } = this.#host;
    this.#do(this.#scheduler.report({ targets, daemons }, now));
  }

  tokens(work: IWork): void {
    const use = this.#uses.get(work);
    if (use !== undefined) {
      this.#scheduler.targets.tokens(use, 1, this.#host.now);
    }
  }

  finished(work: IWork, tokens: number | null): void {
    this.#end(work);
    this.#avoid.delete(work);
    this.#scheduler.withdraw(work);
    this.#do(this.#scheduler.finished(work, tokens, this.#host.now));
  }

  failed(work: IWork): void {
    this.#end(work);
    const avoid = this.#avoid.get(work);
    const { now, random } = this.#host;
    const within = work.deadline - now - this.#scheduler.runTime(work);
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
        this.#scheduler.targets.standing(use.target) === Standing.SetAside;
      if (isAside && use.lastTokenAt === null) {
        this.#host.recall(work);
        this.failed(work);
      }
    }
  }

  /** The work as routing sees it. */
  protected routed(work: IWork): IWork {
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

  #giveUp(work: IWork): void {
    this.#host.refuse(work, RETRY_AFTER);
    this.finished(work, null);
  }

  #send(work: IWork): boolean {
    const avoid = this.#avoid.get(work) ?? new Set<string>();
    const { now, random } = this.#host;
    const { targets } = this.#scheduler;
    const routed = this.routed(work);
    const target = targets.choose({ work: routed, avoid }, random);
    if (target === null) {
      return false;
    }
    avoid.add(target);
    this.#uses.set(work, targets.begin(target, routed, now));
    this.#host.send(work, target);
    return true;
  }

  #end(work: IWork): void {
    const use = this.#uses.get(work);
    if (use !== undefined) {
      this.#scheduler.targets.end(use, this.#host.now);
      this.#uses.delete(work);
    }
  }

  #budgetOf(work: IWork): RetryBudget {
    const budget = this.#budgets.get(work.account) ?? new RetryBudget();
    this.#budgets.set(work.account, budget);
    return budget;
  }
}

/** The decisions, but blind to what prompts have in common. */
export class WithoutAffinity extends Scheduled {
  protected override routed(work: IWork): IWork {
    return { ...work, prefix: "" };
  }
}

/** FIFO without limit: all work is sent at once, and retried at once. */
abstract class Unlimited implements IPolicy {
  readonly host: IPolicyHost;
  targets: readonly ITargetState[] = [];
  readonly #tries = new Map<IWork, number>();

  constructor(host: IPolicyHost) {
    this.host = host;
  }

  abstract choose(): string | null;

  arrive(work: IWork): void {
    const target = this.choose();
    if (target === null) {
      this.host.refuse(work, RETRY_AFTER);
      return;
    }
    this.#tries.set(work, (this.#tries.get(work) ?? 0) + 1);
    this.host.send(work, target);
  }

  report(targets: readonly ITargetState[]): void {
    this.targets = targets;
  }

  tokens(_work: IWork): void {}

  finished(work: IWork, _tokens: number | null): void {
    this.#tries.delete(work);
  }

  failed(work: IWork): void {
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
    let best: ITargetState | null = null;
    for (const target of this.targets) {
      if (best === null || target.reported < best.reported) {
        best = target;
      }
    }
    return best?.id ?? null;
  }
}
