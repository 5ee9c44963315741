/**
 * Manages the replica groups of one service while this process holds the lease:
 * polls the engines for reports, plans groups, and sends the resulting orders.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IEngineProfile, IListedTarget, IModel } from "../calls/types.ts";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { EngineMonitor } from "./engine_monitor.ts";
import {
  GroupController,
  REPORT_LAG_MARGIN,
  warmGroupName,
} from "./group_controller.ts";
import type {
  EngineViews,
  IAddressedOrder,
  IGroupChange,
} from "./group_controller.ts";
import { SmoothedDemand } from "./smoothed_demand.ts";
import { LoadedModels } from "./loaded_models.ts";
import { LoadAllowance } from "./load_allowance.ts";
import type { ILoadBounds } from "./load_allowance.ts";
import { OrderDispatcher } from "./order_dispatcher.ts";
import { summarizeDomains } from "./domain_summary.ts";
import { planGroups } from "./plan_groups.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import { GroupPhase, GroupTrouble } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";
import { findGroupsToReplace, findSlowEngines } from "./slow_engines.ts";
import { buildServingTable } from "./serving_table.ts";
import { StagingTracker } from "./staging_tracker.ts";
import { OrderKind, OrderOutcome } from "./types.ts";
import type { EngineOrder, IEngineClient, IGroupPlan } from "./types.ts";

/**
 * Time beyond the published open time until an opened head is sent requests,
 * milliseconds.
 */
export const OPEN_MARGIN = 20;

/** Interval between passes over engines and groups, milliseconds. */
export const TICK = 50;

/** Interval at which the state of each domain is logged, milliseconds. */
const SUMMARY_PERIOD = 2_000;

/** Dependencies of {@link ReplicaService}. */
export interface IReplicaServiceParts {
  readonly engines: IEngineClient;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly listedTargets: () => readonly IListedTarget[];
  readonly engine: () => IEngineProfile | null;
  readonly mayOrder: () => boolean;
  /** Returns a number that no other group has. */
  readonly nextEpoch: () => number;
  /** Number of groups that the calls of all processes keep busy, by model. */
  readonly demand: () => ReadonlyMap<string, number>;
  readonly isBeforeTraffic: () => boolean;
  readonly onTableChanged: () => void;
}

/** Bounds set by the platform. */
export interface IReplicaBounds {
  /** Milliseconds after which a group that lacks a member breaks. */
  readonly stallTime: number;
  readonly loads: ILoadBounds;
}

/** Manages the groups of one service while this process holds the lease. */
export class ReplicaService implements IDisposable {
  readonly #service: ServiceName;
  readonly #parts: IReplicaServiceParts;
  readonly #owned = new DisposableStore();
  readonly #monitor: EngineMonitor;
  readonly #controller: GroupController;
  readonly #allowance: LoadAllowance;
  readonly #dispatcher: OrderDispatcher;
  readonly #staging = new StagingTracker();
  readonly #loadedModels = new LoadedModels();
  readonly #demand = new SmoothedDemand();
  /** Engines with an order to warm in flight. */
  readonly #warming = new Set<InstanceId>();
  #hasReconciled = false;
  /** Paces of the serving groups when the table was last published. */
  #paces = "";

  constructor(
    service: ServiceName,
    parts: IReplicaServiceParts,
    bounds: IReplicaBounds,
  ) {
    this.#service = service;
    this.#parts = parts;
    this.#controller = new GroupController(
      {
        stallTime: bounds.stallTime,
        reportLag: () => parts.engine()?.reportLag ?? 0,
        openTime: () => (parts.engine()?.openTime ?? 0) + OPEN_MARGIN,
      },
      (name) => this.#findModel(name),
    );
    this.#allowance = new LoadAllowance(bounds.loads);
    this.#dispatcher = new OrderDispatcher(parts);
    this.#monitor = new EngineMonitor(parts);
  }

  start(): void {
    const { clock } = this.#parts;
    this.#owned.add(clock.every(TICK, () => this.#tick()));
    this.#owned.add(clock.every(SUMMARY_PERIOD, () => this.#logDomains()));
    this.#tick();
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /**
   * Polls the members of groups that processes found stalled more frequently
   * for a while, from the next pass on.
   */
  suspectGroups(groups: readonly string[]): void {
    this.#monitor.suspectGroups(groups);
  }

  /**
   * Whether existing groups have been searched for, so that the table is
   * complete.
   */
  get hasReconciled(): boolean {
    return this.#hasReconciled;
  }

  /** Groups that take requests. */
  get servingGroups(): readonly IServingGroup[] {
    const slots = this.#parts.engine()?.slots ?? 0;
    const options = { service: this.#service, slots };
    return buildServingTable(
      this.#controller.groups,
      this.#monitor.views,
      options,
    );
  }

  /** Recently abandoned groups: no more output comes from them. */
  get abandonedGroups(): readonly string[] {
    return this.#controller.abandonedGroups(this.#now);
  }

  #tick(): void {
    const now = this.#now;
    this.#monitor.poll(this.#controller.groups, now);
    if (!this.#monitor.isSurveyComplete || this.#monitor.isOwnLinkSuspect) {
      return;
    }
    // Runs while the lease is in doubt as well: a group that lost a member must
    // get no more requests, even if no order can be sent about it.
    const orders = this.#controller.reconcile(this.#monitor.views, now);
    const isFirstPass = !this.#hasReconciled;
    this.#hasReconciled = true;
    for (const order of orders) {
      this.#sendOrder(order);
    }
    if (this.#parts.mayOrder()) {
      this.#plan(now);
    }
    this.#publishChanges(isFirstPass);
  }

  #plan(now: MonotonicTime): void {
    const engine = this.#parts.engine();
    if (engine === null) {
      return;
    }
    const views = this.#monitor.views;
    this.#staging.removeEnded(views, now);
    this.#loadedModels.retainOnly(views);
    const slow = findSlowEngines(views.values());
    const free = this.#controller
      .freeEngines(views)
      .filter(({ target }) => !slow.has(target.id))
      .map((view) => this.#plannerEngine(view));
    this.#replaceSlowGroups(engine, { free, slow });
    const groups = this.#controller.groups;
    const proposals = planGroups({
      models: engine.models,
      free,
      serving: groups
        .filter(({ phase }) => phase === GroupPhase.Serving)
        .flatMap(({ plan }) => plan.members)
        .flatMap((member) => views.get(member) ?? [])
        .map((view) => this.#plannerEngine(view)),
      staging: this.#staging.models,
      activeGroups: groups
        .filter(({ phase }) => phase !== GroupPhase.Dissolving)
        .filter(({ trouble }) => trouble !== GroupTrouble.Reassigned)
        .map((group) => this.#plannerGroup(group, views)),
      reservedDomains: new Set(
        groups
          .filter(({ trouble }) => trouble === GroupTrouble.Reassigned)
          .map(({ domain }) => domain),
      ),
      healingModels: this.#healingModels(),
      demand: this.#demand.update(this.#parts.demand(), now),
      isBeforeTraffic: this.#parts.isBeforeTraffic(),
      loadsAtOnce: engine.loadsAtOnce,
      loadsLeft: this.#allowance.remaining(engine.loadsPerSecond, now),
    });
    proposals.closing.forEach((name) => this.#controller.close(name, now));
    for (const { model, members } of proposals.groups) {
      this.#controller.form(this.#createPlan(model, members), views, now);
    }
    for (const { engine: id, model } of proposals.warmings) {
      this.#warm(id, model);
    }
    for (const { engine: id, model } of proposals.stagings) {
      this.#stage(id, model, now);
    }
  }

  /** Models with a group that is being abandoned or formed. */
  #healingModels(): ReadonlySet<string> {
    const healing = this.#controller.groups.filter(
      ({ phase, trouble }) =>
        phase !== GroupPhase.Serving && trouble !== GroupTrouble.Reassigned,
    );
    return new Set(healing.map(({ plan }) => plan.model));
  }

  /** Abandons groups held back by slow members where others can be formed. */
  #replaceSlowGroups(
    { models }: IEngineProfile,
    engines: {
      readonly free: readonly IPlannerEngine[];
      readonly slow: ReadonlySet<InstanceId>;
    },
  ): void {
    const views = this.#monitor.views;
    const activeGroups = this.#controller.groups
      .filter(({ phase }) => phase !== GroupPhase.Dissolving)
      .map((group) => this.#plannerGroup(group, views));
    for (const name of findGroupsToReplace({
      models,
      activeGroups,
      ...engines,
    })) {
      this.#controller.abandon(name, GroupTrouble.MemberSlow, this.#now);
    }
  }

  #plannerGroup(
    { plan, domain, phase }: IManagedGroup,
    views: EngineViews,
  ): IPlannerGroup {
    return {
      group: plan.group,
      model: plan.model,
      domain,
      isServing: phase === GroupPhase.Serving,
      members: plan.members
        .flatMap((member) => views.get(member) ?? [])
        .map((view) => this.#plannerEngine(view)),
    };
  }

  #plannerEngine(view: IEngineView): IPlannerEngine {
    const reportLag =
      (this.#parts.engine()?.reportLag ?? 0) + REPORT_LAG_MARGIN;
    return {
      view,
      loaded: this.#loadedModels.modelOf(view),
      isUnconfirmed: this.#loadedModels.isUnconfirmed(view, reportLag),
    };
  }

  #createPlan(model: string, members: readonly InstanceId[]): IGroupPlan {
    const epoch = this.#parts.nextEpoch();
    return { group: `group-${epoch}`, epoch, model, members };
  }

  /**
   * Joins a free engine to a group of its own, which never opens, so that the
   * model is loaded when a member is needed.
   */
  #warm(id: InstanceId, model: string): void {
    const view = this.#monitor.views.get(id);
    if (
      this.#warming.has(id) ||
      view === undefined ||
      !this.#controller.isCurrent(view)
    ) {
      return;
    }
    this.#warming.add(id);
    const numbered = this.#createPlan(model, [id]);
    const plan = { ...numbered, group: warmGroupName(numbered.epoch) };
    const expectedOrderCount = view.orderCount;
    const order = { kind: OrderKind.Join as const, plan, expectedOrderCount };
    this.#sendOrder({ engine: id, order });
  }

  #stage(id: InstanceId, model: string, now: MonotonicTime): void {
    const loadTime = this.#findModel(model)?.loadTime ?? 0;
    this.#allowance.recordLoad(now);
    this.#staging.handleStarted(id, model, { now, loadTime });
    this.#sendOrder({ engine: id, order: { kind: OrderKind.Stage, model } });
  }

  #sendOrder({ engine, order }: IAddressedOrder): void {
    const target = this.#monitor.views.get(engine)?.target;
    if (target !== undefined) {
      this.#dispatcher.send(target, order, (outcome) =>
        this.#handleOutcome({ engine, order }, outcome),
      );
    }
  }

  #handleOutcome(sent: IAddressedOrder, outcome: OrderOutcome): void {
    const { engine, order } = sent;
    this.#parts.log.info("order", {
      engine,
      order: order.kind,
      about: subjectOf(order),
      outcome,
    });
    const isAccepted = outcome === OrderOutcome.Accepted;
    if (outcome !== OrderOutcome.Unknown) {
      this.#controller.handleAnswered(engine, this.#now);
    }
    if (order.kind === OrderKind.Open && isAccepted) {
      this.#controller.handleOpened(order.group, this.#now);
    } else if (order.kind === OrderKind.Leave && isAccepted) {
      this.#controller.handleLeft(order.group, engine, this.#now);
    } else if (order.kind === OrderKind.Join) {
      this.#warming.delete(engine);
      const view = this.#monitor.views.get(engine);
      if (outcome === OrderOutcome.Accepted) {
        if (view !== undefined) {
          this.#loadedModels.recordJoin(view, order.plan.model, this.#now);
        }
        this.#controller.handleJoined(order.plan.group, engine, this.#now);
      } else if (outcome === OrderOutcome.Conflict) {
        const { plan, expectedOrderCount } = order;
        const conflict = { group: plan.group, expectedOrderCount };
        this.#controller.handleConflict(engine, conflict, this.#now);
      } else if (outcome === OrderOutcome.Refused) {
        this.#controller.handleRefused(order.plan.group, this.#now);
      }
    } else if (
      order.kind === OrderKind.Stage &&
      outcome !== OrderOutcome.Accepted
    ) {
      this.#staging.handleFailed(engine);
    }
  }

  /**
   * Logs one line per domain: its groups, and its free instances by the models
   * they hold.
   */
  #logDomains(): void {
    const { reports, unanswered, slowestAnswer } = this.#monitor.takeVolume();
    this.#parts.log.info("engine_reports", {
      reports,
      unanswered,
      slowest_ms: slowestAnswer,
    });
    if (!this.#monitor.isSurveyComplete) {
      return;
    }
    const free = this.#controller.freeEngines(this.#monitor.views);
    const slow = findSlowEngines(this.#monitor.views.values());
    const lines = summarizeDomains(this.#controller.groups, free, {
      isStaging: (id) => this.#staging.isStaging(id),
      isSlow: (id) => slow.has(id),
    });
    const demand = [...this.#parts.demand()].join(" ");
    for (const line of lines) {
      this.#parts.log.info("domain", { ...line, demand });
    }
  }

  #publishChanges(isFirstPass: boolean): void {
    const changes = this.#controller.takeChanges();
    for (const change of changes) {
      this.#logChange(change);
    }
    const paces = this.servingGroups.map(({ pace }) => pace).join();
    if (isFirstPass || changes.length > 0 || paces !== this.#paces) {
      this.#paces = paces;
      this.#parts.onTableChanged();
    }
  }

  #logChange({ group, from, to }: IGroupChange): void {
    this.#parts.metrics.count("group_changes", { to: to ?? "released" });
    this.#parts.log.info("group", {
      group: group.plan.group,
      model: group.plan.model,
      members: group.plan.members.join(","),
      from,
      to: to ?? "released",
      trouble: group.trouble,
      head: group.head,
      release: group.release,
    });
  }

  #findModel(name: string): IModel | null {
    const models = this.#parts.engine()?.models ?? [];
    return models.find((model) => model.name === name) ?? null;
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }
}

function subjectOf(order: EngineOrder): string {
  switch (order.kind) {
    case OrderKind.Join:
      return order.plan.group;
    case OrderKind.Stage:
      return order.model;
    default:
      return order.group;
  }
}
