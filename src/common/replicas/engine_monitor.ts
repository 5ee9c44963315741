/**
 * Polls the engines of a service for reports, more often those whose groups
 * change or are suspected.
 */
import type { IListedTarget } from "../calls/types.ts";
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import { EngineRegistry } from "./engine_registry.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { EngineViews } from "./group_controller.ts";
import { GroupPhase } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";
import type { IEngineClient } from "./types.ts";

/**
 * Time between two reports of an engine that serves or is free, milliseconds.
 * Each report is charged, and the streams of a stalled group show the stall
 * before a report would.
 */
export const CALM_REPORT_PERIOD = 900;

/**
 * Time between two reports of an engine whose group changes or is suspected,
 * milliseconds.
 */
const BUSY_REPORT_PERIOD = 120;

/**
 * Milliseconds. An engine answers at once; a cross-zone round trip takes about
 * 12 ms.
 */
const REPORT_TIMEOUT = 200;

/** How long the members of a suspected group are polled often, milliseconds. */
const SUSPICION_TIME = 1_200;

/**
 * Time without new engines after which the list counts as complete,
 * milliseconds. The list grows in bursts at a first start. Groups formed from
 * half a domain are mostly small, and the large model then lacks groups for the
 * rest of the day.
 */
const LIST_SETTLED_AFTER = 1_000;

/**
 * How long engines that are gone are kept, milliseconds: as long as orders may
 * be carried out late.
 */
const FORGET_AFTER = 15_000;

/** Reports requested from engines. */
export interface IReportVolume {
  readonly reports: number;
  readonly unanswered: number;
  /** Milliseconds; a timeout counts as well. */
  readonly slowestAnswer: number;
}

/** Dependencies of {@link EngineMonitor}. */
export interface IEngineMonitorParts {
  readonly engines: IEngineClient;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly listedTargets: () => readonly IListedTarget[];
  readonly isBeforeTraffic: () => boolean;
}

/** Monitors the engines of one service while this process holds the lease. */
export class EngineMonitor {
  readonly #parts: IEngineMonitorParts;
  readonly #registry = new EngineRegistry(FORGET_AFTER);
  readonly #askedAt = new Map<InstanceId, MonotonicTime>();
  /** Until when the members of each suspected group are polled often. */
  readonly #suspectedUntil = new Map<string, MonotonicTime>();
  #listSize = 0;
  #listGrewAt: MonotonicTime;
  /** Engines whose reports are not certain to be their own. */
  readonly #unconfirmed = new Set<InstanceId>();
  #isSurveyComplete = false;
  #wasOwnLinkSuspect = false;
  #volume: IReportVolume = { reports: 0, unanswered: 0, slowestAnswer: 0 };

  constructor(parts: IEngineMonitorParts) {
    this.#parts = parts;
    this.#listGrewAt = parts.clock.now();
  }

  get views(): EngineViews {
    return this.#registry.views;
  }

  /** Whether each engine was polled once; nothing is concluded before. */
  get isSurveyComplete(): boolean {
    return this.#isSurveyComplete;
  }

  /**
   * Whether so many engines are silent that this process's link is the likely
   * cause.
   */
  get isOwnLinkSuspect(): boolean {
    return this.#registry.isOwnLinkSuspect;
  }

  /**
   * Polls the members of groups that processes found stalled more frequently
   * for a while, from the next pass on.
   */
  suspectGroups(groups: readonly string[]): void {
    const until = this.#parts.clock.now() + SUSPICION_TIME;
    for (const group of groups) {
      this.#suspectedUntil.set(group, until);
    }
  }

  /** Returns the volume of the reports since the last call. */
  takeVolume(): IReportVolume {
    const volume = this.#volume;
    this.#volume = { reports: 0, unanswered: 0, slowestAnswer: 0 };
    return volume;
  }

  /** Applies the platform's list and polls the engines that are due. */
  poll(groups: readonly IManagedGroup[], now: MonotonicTime): void {
    const targets = this.#parts.listedTargets();
    if (targets.length > this.#listSize) {
      this.#listGrewAt = now;
    }
    this.#listSize = targets.length;
    this.#registry.updateTargets(targets, now);
    this.#removeOldSuspicions(now);
    this.#requestReports(groups, now);
    this.#isSurveyComplete ||= this.#completesSurvey(now);
    this.#logOwnLink();
    this.#logUnconfirmed();
  }

  #logUnconfirmed(): void {
    for (const [id, { target, state, isConfirmed, startedAt }] of this.views) {
      const isUnconfirmed = state !== null && !isConfirmed;
      if (isUnconfirmed === this.#unconfirmed.has(id)) {
        continue;
      }
      if (isUnconfirmed) {
        this.#unconfirmed.add(id);
      } else {
        this.#unconfirmed.delete(id);
      }
      this.#parts.log.info("engine_reports_from", {
        engine: id,
        address: target.address,
        is_confirmed: isConfirmed,
        listed_start: target.startedAt,
        reported_start: startedAt,
      });
    }
  }

  #logOwnLink(): void {
    const isSuspect = this.isOwnLinkSuspect;
    if (isSuspect !== this.#wasOwnLinkSuspect) {
      this.#wasOwnLinkSuspect = isSuspect;
      const engines = [...this.views.values()];
      const silent = engines.filter((one) => one.isSilent).length;
      const event = isSuspect ? "engines_silent" : "engines_heard";
      this.#parts.log.warn(event, { silent, engines: engines.length });
    }
  }

  #completesSurvey(now: MonotonicTime): boolean {
    const views = [...this.#registry.views.values()];
    // Engines appear one by one only at the first start.
    const isSettled =
      !this.#parts.isBeforeTraffic() ||
      now - this.#listGrewAt >= LIST_SETTLED_AFTER;
    const hasPolledAll = views.every(
      ({ state, isSilent, isListed }) =>
        state !== null || isSilent || !isListed,
    );
    const isComplete = views.length > 0 && isSettled && hasPolledAll;
    if (isComplete) {
      this.#parts.log.info("engines_surveyed", { engines: views.length });
    }
    return isComplete;
  }

  #requestReports(groups: readonly IManagedGroup[], now: MonotonicTime): void {
    const busy = this.#busyEngines(groups);
    for (const [id, view] of this.#registry.views) {
      // A head that the platform has dropped may still answer.
      if (!view.isListed && !busy.has(id)) {
        continue;
      }
      // A silent engine is most likely gone; the platform's list will show it.
      const isBusy =
        (busy.has(id) && !view.isSilent) || this.#registry.needsRecheck(id);
      const period = isBusy ? BUSY_REPORT_PERIOD : CALM_REPORT_PERIOD;
      const askedAt = this.#askedAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (now - askedAt >= period) {
        this.#askedAt.set(id, now);
        void this.#requestReport(view, now);
      }
    }
  }

  async #requestReport(
    view: IEngineView,
    askedAt: MonotonicTime,
  ): Promise<void> {
    const { id } = view.target;
    const report = await this.#parts.engines.fetchReport(
      view.target,
      REPORT_TIMEOUT,
    );
    this.#countVolume(report.isErr(), this.#parts.clock.now() - askedAt);
    if (report.isErr()) {
      this.#parts.metrics.count("engine_reports_missed");
      if (report.error.kind !== CallFailureKind.NoPath) {
        this.#registry.recordMiss(id, askedAt);
      }
      return;
    }
    const now = this.#parts.clock.now();
    this.#registry.recordReport(id, report.value, { askedAt, now });
  }

  #countVolume(isUnanswered: boolean, duration: number): void {
    const { reports, unanswered, slowestAnswer } = this.#volume;
    this.#volume = {
      reports: reports + 1,
      unanswered: unanswered + (isUnanswered ? 1 : 0),
      slowestAnswer: Math.max(slowestAnswer, Math.round(duration)),
    };
  }

  /** Engines of groups that change or are suspected. */
  #busyEngines(groups: readonly IManagedGroup[]): ReadonlySet<InstanceId> {
    const busy = new Set<InstanceId>();
    for (const { phase, plan, head } of groups) {
      const isChanging =
        phase === GroupPhase.Forming || phase === GroupPhase.Closing;
      if (isChanging || this.#suspectedUntil.has(plan.group)) {
        plan.members.forEach((member) => busy.add(member));
      } else if (phase !== GroupPhase.Serving && head !== null) {
        busy.add(head);
      }
    }
    return busy;
  }

  #removeOldSuspicions(now: MonotonicTime): void {
    for (const [group, until] of this.#suspectedUntil) {
      if (now >= until) {
        this.#suspectedUntil.delete(group);
      }
    }
  }
}
