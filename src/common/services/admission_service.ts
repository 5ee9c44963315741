/**
 * Admits requests by plan, deadline and free capacity, and queues or refuses
 * the others. {@link AccountAdmission} and {@link ServiceScheduler} decide;
 * this class carries their decisions out.
 */
import { AccountAdmission } from "../decisions/account_admission.ts";
import { ScheduleActionKind } from "../decisions/service_scheduler.ts";
import type { ScheduleAction } from "../decisions/service_scheduler.ts";
import type { IWorkItem } from "../decisions/work_item.ts";
import { Reason } from "../types.ts";
import type { AccountName, IRefusal, ServiceName } from "../types.ts";
import type { GroupDirectory } from "./group_directory.ts";
import { notRun } from "./refusal.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { IClock, IMetrics } from "./services.ts";
import type { ICallerRequest } from "./types.ts";
import { workOf } from "./work_of.ts";

/** How often waiting requests are reconsidered, milliseconds. */
const ADVANCE_INTERVAL = 50;

/** Retry delay given to a caller while no target can serve, milliseconds. */
const NO_REPLICA_RETRY_AFTER = 2_000;

/** Dependencies of {@link AdmissionService}. */
export interface IAdmissionParts {
  readonly groups: GroupDirectory;
  readonly clock: IClock;
  readonly metrics: IMetrics;
  readonly quarantine: Pick<RequestQuarantine, "refusalOf">;
  /** Whether another zone can serve a service that this one cannot. */
  readonly isServedElsewhere: (service: ServiceName) => boolean;
}

/** The admission of one request, held until its final answer. */
export interface IAdmission {
  /**
   * Releases the admission after the final answer; further calls do nothing.
   *
   * @param tokens Tokens of a complete answer; null if there is none.
   */
  finish(tokens: number | null): void;
}

/** Decides which requests run, which wait and which are refused. */
export class AdmissionService {
  readonly #parts: IAdmissionParts;
  readonly #accounts = new Map<AccountName, AccountAdmission>();
  readonly #waiting = new Map<IWorkItem, (refusal: IRefusal | null) => void>();
  /** Services whose scheduler is due to be advanced. */
  readonly #scheduled = new Set<ServiceName>();

  constructor(parts: IAdmissionParts) {
    this.#parts = parts;
  }

  /** Resolves when the request may run, or with a refusal. */
  async admit(request: ICallerRequest): Promise<IAdmission | IRefusal> {
    const quarantined = this.#parts.quarantine.refusalOf(request);
    if (quarantined !== null) {
      return this.#countRefusal(quarantined);
    }
    const work = workOf(request);
    const requested = work.isCall ? 0 : work.requestedTokens;
    const { plan } = request.account;
    const accountAdmission = this.#accountOf(work.account);
    const planRefusal = accountAdmission.admit(
      plan,
      requested,
      this.#parts.clock.now(),
    );
    if (planRefusal !== null) {
      const detail = `plan ${plan.name} is used up`;
      return this.#countRefusal(
        notRun(planRefusal.reason, detail, planRefusal.retryAfter),
      );
    }
    const admitted = await this.#admitInZone(request, work);
    if ("outcome" in admitted) {
      accountAdmission.finish(requested, 0);
      return admitted;
    }
    return createAdmission((tokens) => {
      accountAdmission.finish(requested, Math.min(requested, tokens ?? 0));
      admitted.finish(tokens);
    });
  }

  /**
   * Resolves when a request forwarded by another zone may run here, or with a
   * refusal. The zone that received the request has checked its plan.
   */
  async admitForwarded(
    request: ICallerRequest,
  ): Promise<IAdmission | IRefusal> {
    const work = workOf(request);
    const refusal =
      this.#parts.quarantine.refusalOf(request) ??
      (await this.#wait(request, work));
    return refusal === null
      ? createAdmission((tokens) => this.#release(request, work, tokens))
      : this.#countRefusal(refusal);
  }

  /** A request that only another zone can serve does not queue in this one. */
  async #admitInZone(
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
      ? { finish: (tokens) => this.#release(request, work, tokens) }
      : this.#countRefusal(refusal);
  }

  /** Resolves with null once the scheduler starts the work. */
  #wait(request: ICallerRequest, work: IWorkItem): Promise<IRefusal | null> {
    const { clock, groups } = this.#parts;
    const { name } = request.service;
    if (!groups.refresh(name)) {
      const detail = `nothing in this zone can serve ${name} now`;
      const refusal = notRun(
        Reason.NoReplicaAvailable,
        detail,
        groups.overloadedFor(name) ?? NO_REPLICA_RETRY_AFTER,
      );
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const scheduler = groups.schedulerOf(name);
      const cancel = () => {
        if (scheduler.cancel(work)) {
          this.#resolveWaiting(
            work,
            notRun(Reason.CallerLeft, "the caller is gone"),
          );
        }
      };
      this.#waiting.set(work, (refusal) => {
        request.signal.removeEventListener("abort", cancel);
        resolve(refusal);
      });
      request.signal.addEventListener("abort", cancel);
      this.#apply(scheduler.submit(work, clock.now()));
      this.#scheduleAdvance(name);
    });
  }

  #release(
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
        this.#resolveWaiting(action.work, null);
      } else {
        const { reason, retryAfter } = action;
        const detail = "it could not be answered in time";
        this.#resolveWaiting(action.work, notRun(reason, detail, retryAfter));
      }
    }
  }

  #resolveWaiting(work: IWorkItem, refusal: IRefusal | null): void {
    this.#waiting.get(work)?.(refusal);
    this.#waiting.delete(work);
  }

  /** Advances the service's scheduler periodically while work is waiting. */
  #scheduleAdvance(service: ServiceName): void {
    const { clock, groups, metrics } = this.#parts;
    const scheduler = groups.schedulerOf(service);
    metrics.gauge("waiting", scheduler.queueSize, { service });
    if (scheduler.queueSize === 0 || this.#scheduled.has(service)) {
      return;
    }
    this.#scheduled.add(service);
    clock.after(ADVANCE_INTERVAL, () => {
      this.#scheduled.delete(service);
      groups.refresh(service);
      const overloadedFor = groups.overloadedFor(service);
      this.#apply(
        overloadedFor === null
          ? scheduler.advance(clock.now())
          : scheduler.refuseAll(Reason.NoReplicaAvailable, overloadedFor),
      );
      this.#scheduleAdvance(service);
    });
  }

  #countRefusal(refusal: IRefusal): IRefusal {
    this.#parts.metrics.count("refusals", { reason: refusal.reason });
    return refusal;
  }

  #accountOf(account: AccountName): AccountAdmission {
    const accountAdmission =
      this.#accounts.get(account) ?? new AccountAdmission();
    this.#accounts.set(account, accountAdmission);
    return accountAdmission;
  }
}

/** Creates an admission that calls `end` at most once. */
function createAdmission(end: (tokens: number | null) => void): IAdmission {
  let isFinished = false;
  const finish = (tokens: number | null) => {
    if (!isFinished) {
      isFinished = true;
      end(tokens);
    }
  };
  return { finish };
}
