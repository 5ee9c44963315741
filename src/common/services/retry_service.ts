/** Holds the retry budgets, and delays retries as they require. */
import { RetryBudget } from "../decisions/retry_budget.ts";
import type { GroupDirectory } from "./group_directory.ts";
import type { IClock, IMetrics, IRandom } from "./services.ts";
import type { ICallerRequest } from "./types.ts";
import { workOf } from "./work_of.ts";

/** Budgets held at most; the least recently used is dropped and reset. */
const MAXIMUM_BUDGETS = 10_000;

/** Dependencies of {@link RetryService}. */
export interface IRetryParts {
  readonly groups: GroupDirectory;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly metrics: IMetrics;
}

/** Limits retries, with one budget for each client account at each service. */
export class RetryService {
  readonly #parts: IRetryParts;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(parts: IRetryParts) {
    this.#parts = parts;
  }

  /** Credits the budget with a request's first attempt. */
  recordFirstAttempt(request: ICallerRequest): void {
    this.#budgetOf(request).recordFirstAttempt(this.#parts.clock.now());
  }

  /** Resolves with true when a retry may be sent, or false if it may not. */
  async waitForRetry(request: ICallerRequest): Promise<boolean> {
    const { clock, groups, random, metrics } = this.#parts;
    const { name } = request.service;
    const runTime = groups.schedulerOf(name).estimateRunTime(workOf(request));
    const within = request.deadline - clock.now() - runTime;
    const next = () => random.next();
    const wait = this.#budgetOf(request).take(within, next);
    const isAllowed = wait !== null && !request.signal.aborted;
    metrics.count("retries", { service: name, allowed: String(isAllowed) });
    if (!isAllowed) {
      return false;
    }
    await new Promise<void>((resolve) => {
      clock.after(wait, resolve);
    });
    return !request.signal.aborted;
  }

  #budgetOf(request: ICallerRequest): RetryBudget {
    const { account, service } = request;
    const name = `${service.name} ${account.customer.account}`;
    const budget = this.#budgets.get(name) ?? new RetryBudget();
    this.#budgets.delete(name);
    this.#budgets.set(name, budget);
    if (this.#budgets.size > MAXIMUM_BUDGETS) {
      const [oldest] = this.#budgets.keys();
      this.#budgets.delete(oldest ?? "");
    }
    return budget;
  }
}
