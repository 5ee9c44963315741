/**
 * Lets requests in by plan, deadline and room, and keeps the others waiting or
 * turns them away at once. The decisions are made by {@link AccountAdmission} and
 * {@link ServiceScheduler}; this turns their actions into answers.
 */
import { AccountAdmission } from "../decisions/account_admission.ts";
import { ScheduleActionKind } from "../decisions/service_scheduler.ts";
import type { ScheduleAction } from "../decisions/service_scheduler.ts";
import type { IWorkItem } from "../decisions/work_item.ts";
import { Reason } from "../types.ts";
import type { AccountName, IRefusal, ServiceName } from "../types.ts";
import type { GroupDirectory } from "./group_directory.ts";
import { notRun } from "./refusal.ts";
import type { IClock, IMetrics } from "./services.ts";
import type { ICallerRequest } from "./types.ts";
import { workOf } from "./work_of.ts";

/** How often waiting work is looked at, milliseconds. */
const TICK = 50;

/** When to come back if no target can serve, milliseconds. */
const NO_REPLICA_RETRY_AFTER = 2_000;

/** What the service works with. */
export interface IAdmissionParts {
  readonly groups: GroupDirectory;
  readonly clock: IClock;
  readonly metrics: IMetrics;
  /** Whether another zone can serve a service that this one cannot. */
  readonly isServedElsewhere: (service: ServiceName) => boolean;
}

/** A request that was let in. */
export interface IAdmission {
  /**
   * It has had its final answer; calling it again does nothing.
   *
   * @param tokens Tokens of a whole answer; null if there is none.
   */
  finish(tokens: number | null): void;
}

/** Decides which requests run, which wait and which are turned away. */
export class AdmissionService {
  readonly #parts: IAdmissionParts;
  readonly #uses = new Map<AccountName, AccountAdmission>();
  readonly #waiting = new Map<IWorkItem, (refusal: IRefusal | null) => void>();
  readonly #ticking = new Set<ServiceName>();

  constructor(parts: IAdmissionParts) {
    this.#parts = parts;
  }

  /** Resolves when the request may run, or with the final word. */
  async admit(request: ICallerRequest): Promise<IAdmission | IRefusal> {
    const work = workOf(request);
    const asked = work.isCall ? 0 : work.askedTokens;
    const { plan } = request.account;
    const use = this.#useOf(work.account);
    const refused = use.admit(plan, asked, this.#parts.clock.now());
    if (refused !== null) {
      const detail = `plan ${plan.name} is used up`;
      return this.#count(notRun(refused.reason, detail, refused.retryAfter));
    }
    const admitted = await this.#enterZone(request, work);
    if ("outcome" in admitted) {
      use.finish(asked, 0);
      return admitted;
    }
    return once((tokens) => {
      use.finish(asked, Math.min(asked, tokens ?? 0));
      admitted.finish(tokens);
    });
  }

  /**
   * Resolves when a request handed over by another zone may run here, or with
   * the final word. Its plan was looked at where the caller asked.
   */
  async admitForwarded(
    request: ICallerRequest,
  ): Promise<IAdmission | IRefusal> {
    const work = workOf(request);
    const refusal = await this.#wait(request, work);
    return refusal === null
      ? once((tokens) => this.#leave(request, work, tokens))
      : this.#count(refusal);
  }

  /** Work that only another zone can do does not wait for room in this one. */
  async #enterZone(
    request: ICallerRequest,
    work: IWorkItem,
  ): Promise<IAdmission | IRefusal> {
    const { groups, isServedElsewhere } = this.#parts;
    const { name } = request.service;
    if (!groups.refresh(name) && isServedElsewhere(name)) {
      return { finish: () => undefined };
    }
    const refusal = await this.#wait(request, work);
    return refusal === null
      ? { finish: (tokens) => this.#leave(request, work, tokens) }
      : this.#count(refusal);
  }

  /** Resolves with null when there is room for the work. */
  #wait(request: ICallerRequest, work: IWorkItem): Promise<IRefusal | null> {
    const { clock, groups } = this.#parts;
    const { name } = request.service;
    if (!groups.refresh(name)) {
      const detail = `nothing in this zone can serve ${name} now`;
      const refusal = notRun(Reason.NoReplica, detail, NO_REPLICA_RETRY_AFTER);
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const scheduler = groups.schedulerOf(name);
      const leave = () => {
        if (scheduler.cancel(work)) {
          this.#settle(work, notRun(Reason.CallerLeft, "the caller is gone"));
        }
      };
      this.#waiting.set(work, (refusal) => {
        request.signal.removeEventListener("abort", leave);
        resolve(refusal);
      });
      request.signal.addEventListener("abort", leave);
      this.#apply(scheduler.submit(work, clock.now()));
      this.#tick(name);
    });
  }

  #leave(
    request: ICallerRequest,
    work: IWorkItem,
    tokens: number | null,
  ): void {
    const { clock, groups } = this.#parts;
    const scheduler = groups.schedulerOf(request.service.name);
    this.#apply(scheduler.finish(work, tokens, clock.now()));
  }

  #apply(actions: readonly ScheduleAction[]): void {
    for (const action of actions) {
      if (action.kind === ScheduleActionKind.Start) {
        this.#settle(action.work, null);
      } else {
        const { reason, retryAfter } = action;
        const detail = "it could not be answered in time";
        this.#settle(action.work, notRun(reason, detail, retryAfter));
      }
    }
  }

  #settle(work: IWorkItem, refusal: IRefusal | null): void {
    this.#waiting.get(work)?.(refusal);
    this.#waiting.delete(work);
  }

  /** Looks at the service again and again while some of its work waits. */
  #tick(service: ServiceName): void {
    const { clock, groups, metrics } = this.#parts;
    const scheduler = groups.schedulerOf(service);
    metrics.gauge("waiting", scheduler.queueSize, { service });
    if (scheduler.queueSize === 0 || this.#ticking.has(service)) {
      return;
    }
    this.#ticking.add(service);
    clock.after(TICK, () => {
      this.#ticking.delete(service);
      groups.refresh(service);
      this.#apply(scheduler.advance(clock.now()));
      this.#tick(service);
    });
  }

  #count(refusal: IRefusal): IRefusal {
    this.#parts.metrics.count("refusals", { reason: refusal.reason });
    return refusal;
  }

  #useOf(account: AccountName): AccountAdmission {
    const use = this.#uses.get(account) ?? new AccountAdmission();
    this.#uses.set(account, use);
    return use;
  }
}

/** An admission whose end counts only the first time. */
function once(end: (tokens: number | null) => void): IAdmission {
  let isFinished = false;
  const finish = (tokens: number | null) => {
    if (!isFinished) {
      isFinished = true;
      end(tokens);
    }
  };
  return { finish };
}
