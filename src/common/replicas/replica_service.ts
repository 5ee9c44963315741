/**
 * Orders the engines of one service into replica groups while this process
 * holds the lease: asks engines for reports, and sends the orders that the
 * decisions ask for.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IEngineModel, IListedTarget, IModel } from "../calls/types.ts";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { IEngineView } from "./engine_book.ts";
import { EngineWatch } from "./engine_watch.ts";
import { GroupKeeper, LAG_MARGIN, warmGroupName } from "./group_keeper.ts";
import type {
  EngineViews,
  IAddressedOrder,
  IGroupChange,
} from "./group_keeper.ts";
import { SmoothedDemand } from "./smoothed_demand.ts";
import { LoadedModels } from "./loaded_models.ts";
import { LoadAllowance } from "./load_allowance.ts";
import type { ILoadBounds } from "./load_allowance.ts";
import { OrderDesk } from "./order_desk.ts";
import { summarizeDomains } from "./domain_summary.ts";
import { planGroups } from "./plan_groups.ts";
import type { IHoldingEngine, IStandingGroup } from "./holding_engine.ts";
import { GroupPhase, GroupTrouble } from "./replica_group.ts";
import type { IReplicaGroup } from "./replica_group.ts";
import { groupsToReplace, slowEngines } from "./slow_engines.ts";
import { servingTable } from "./serving_table.ts";
import { StagingBook } from "./staging_book.ts";
import { OrderKind, OrderOutcome } from "./types.ts";
import type { EngineOrder, IEngines, IGroupPlan } from "./types.ts";

/** Beyond the published time until an opened head is sent requests. */
const OPEN_MARGIN = 20;

/** How often engines and groups are looked at, milliseconds. */
const TICK = 50;

/** How often what each domain has is logged, milliseconds. */
const SUMMARY_PERIOD = 2_000;

/** What the service needs. */
export interface IReplicaServiceParts {
  readonly engines: IEngines;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly listed: () => readonly IListedTarget[];
  readonly engine: () => IEngineModel | null;
  readonly mayOrder: () => boolean;
  /** A number that no other group has. */
  readonly nextEpoch: () => number;
  /** Groups that the calls of all processes keep busy, by model. */
  readonly demand: () => ReadonlyMap<string, number>;
  readonly isBeforeTraffic: () => boolean;
  readonly onTableChanged: () => void;
}

/** Bounds that the platform sets. */
export interface IReplicaBounds {
  /** Milliseconds after which a group without a member breaks. */
  readonly stallTime: number;
  readonly loads: ILoadBounds;
}

/** The groups of one service, while this process holds the lease. */
export class ReplicaService implements IDisposable {
  readonly #service: ServiceName;
  readonly #parts: IReplicaServiceParts;
  readonly #owned = new DisposableStore();
  readonly #watch: EngineWatch;
  readonly #keeper: GroupKeeper;
  readonly #allowance: LoadAllowance;
  readonly #desk: OrderDesk;
  readonly #staging = new StagingBook();
  readonly #loaded = new LoadedModels();
  readonly #demand = new SmoothedDemand();
  /** Engines with an order to warm on its way. */
  readonly #warming = new Set<InstanceId>();
  #hasLooked = false;
  /** Paces of the serving groups, as last told. */
  #paces = "";

  constructor(
    service: ServiceName,
    parts: IReplicaServiceParts,
    bounds: IReplicaBounds,
  ) {
    this.#service = service;
    this.#parts = parts;
    this.#keeper = new GroupKeeper(
      {
        stallTime: bounds.stallTime,
        reportLag: () => parts.engine()?.reportLag ?? 0,
        openTime: () => (parts.engine()?.openTime ?? 0) + OPEN_MARGIN,
      },
      (name) => this.#modelNamed(name),
    );
    this.#allowance = new LoadAllowance(bounds.loads);
    this.#desk = new OrderDesk(parts);
    this.#watch = new EngineWatch(parts);
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

  /** Processes found groups standing still: their members are asked at once. */
  suspect(groups: readonly string[]): void {
    this.#watch.suspect(groups);
  }

  /** Whether the groups that stand were looked for, so that the table is whole. */
  get hasLooked(): boolean {
    return this.#hasLooked;
  }

  /** The groups that take requests. */
  get serving(): readonly IServingGroup[] {
    const slots = this.#parts.engine()?.slots ?? 0;
    const options = { service: this.#service, slots };
    return servingTable(this.#keeper.groups, this.#watch.views, options);
  }

  /** Groups that were given up of late: nothing more comes from them. */
  get givenUp(): readonly string[] {
    return this.#keeper.givenUp(this.#now);
  }

  #tick(): void {
    const now = this.#now;
    this.#watch.look(this.#keeper.groups, now);
    if (!this.#watch.isSurveyed || this.#watch.isOwnLinkSuspect) {
      return;
    }
    // Also while the lease is in doubt: a group that lost a member must get no
    // more requests, though nothing can be ordered about it.
    const orders = this.#keeper.look(this.#watch.views, now);
    const isFirstLook = !this.#hasLooked;
    this.#hasLooked = true;
    for (const order of orders) {
      this.#order(order);
    }
    if (this.#parts.mayOrder()) {
      this.#plan(now);
    }
    this.#reportChanges(isFirstLook);
  }

  #plan(now: MonotonicTime): void {
    const engine = this.#parts.engine();
    if (engine === null) {
      return;
    }
    const views = this.#watch.views;
    this.#staging.expire(views, now);
    this.#loaded.keepOnly(views);
    const slow = slowEngines(views.values());
    const free = this.#keeper
      .free(views)
      .filter(({ target }) => !slow.has(target.id))
      .map((view) => this.#holding(view));
    this.#replaceSlow(engine, { free, slow });
    const groups = this.#keeper.groups;
    const proposals = planGroups({
      models: engine.models,
      free,
      serving: groups
        .filter(({ phase }) => phase === GroupPhase.Serving)
        .flatMap(({ plan }) => plan.members)
        .flatMap((member) => views.get(member) ?? [])
        .map((view) => this.#holding(view)),
      staging: this.#staging.models,
      standing: groups
        .filter(({ phase }) => phase !== GroupPhase.Dissolving)
        .filter(({ trouble }) => trouble !== GroupTrouble.TurnedOver)
        .map((group) => this.#standing(group, views)),
      reserved: new Set(
        groups
          .filter(({ trouble }) => trouble === GroupTrouble.TurnedOver)
          .map(({ domain }) => domain),
      ),
      healing: this.#healing(),
      demand: this.#demand.take(this.#parts.demand(), now),
      isBeforeTraffic: this.#parts.isBeforeTraffic(),
      loadsAtOnce: engine.loadsAtOnce,
      loadsLeft: this.#allowance.left(engine.loadsPerSecond, now),
    });
    proposals.closing.forEach((name) => this.#keeper.close(name, now));
    for (const { model, members } of proposals.groups) {
      this.#keeper.form(this.#newPlan(model, members), views, now);
    }
    for (const { engine: id, model } of proposals.warmings) {
      this.#warm(id, model);
    }
    for (const { engine: id, model } of proposals.stagings) {
      this.#stage(id, model, now);
    }
  }

  /** Models of which a group is being given up or formed. */
  #healing(): ReadonlySet<string> {
    const healing = this.#keeper.groups.filter(
      ({ phase, trouble }) =>
        phase !== GroupPhase.Serving && trouble !== GroupTrouble.TurnedOver,
    );
    return new Set(healing.map(({ plan }) => plan.model));
  }

  /** Gives up groups that slow members hold back, where others can be formed. */
  #replaceSlow(
    { models }: IEngineModel,
    engines: {
      readonly free: readonly IHoldingEngine[];
      readonly slow: ReadonlySet<InstanceId>;
    },
  ): void {
    const views = this.#watch.views;
    const standing = this.#keeper.groups
      .filter(({ phase }) => phase !== GroupPhase.Dissolving)
      .map((group) => this.#standing(group, views));
    for (const name of groupsToReplace({ models, standing, ...engines })) {
      this.#keeper.giveUp(name, GroupTrouble.MemberSlow, this.#now);
    }
  }

  #standing(
    { plan, domain, phase }: IReplicaGroup,
    views: EngineViews,
  ): IStandingGroup {
    return {
      group: plan.group,
      model: plan.model,
      domain,
      isServing: phase === GroupPhase.Serving,
      members: plan.members
        .flatMap((member) => views.get(member) ?? [])
        .map((view) => this.#holding(view)),
    };
  }

  #holding(view: IEngineView): IHoldingEngine {
    const reportLag = (this.#parts.engine()?.reportLag ?? 0) + LAG_MARGIN;
    return {
      view,
      loaded: this.#loaded.of(view),
      isUnconfirmed: this.#loaded.isUnconfirmed(view, reportLag),
    };
  }

  #newPlan(model: string, members: readonly InstanceId[]): IGroupPlan {
    const epoch = this.#parts.nextEpoch();
    return { group: `group-${epoch}`, epoch, model, members };
  }

  /**
   * Joins a free engine to a group of its own, which is never opened, so that
   * the model is loaded when a member is needed.
   */
  #warm(id: InstanceId, model: string): void {
    if (this.#warming.has(id)) {
      return;
    }
    this.#warming.add(id);
    const numbered = this.#newPlan(model, [id]);
    const plan = { ...numbered, group: warmGroupName(numbered.epoch) };
    this.#order({ engine: id, order: { kind: OrderKind.Join, plan } });
  }

  #stage(id: InstanceId, model: string, now: MonotonicTime): void {
    const loadTime = this.#modelNamed(model)?.loadTime ?? 0;
    this.#allowance.began(now);
    this.#staging.began(id, model, { now, loadTime });
    this.#order({ engine: id, order: { kind: OrderKind.Stage, model } });
  }

  #order({ engine, order }: IAddressedOrder): void {
    const target = this.#watch.views.get(engine)?.target;
    if (target !== undefined) {
      this.#desk.send(target, order, (outcome) =>
        this.#orderEnded({ engine, order }, outcome),
      );
    }
  }

  #orderEnded(sent: IAddressedOrder, outcome: OrderOutcome): void {
    const { engine, order } = sent;
    this.#parts.log.info("order", {
      engine,
      order: order.kind,
      about: aboutOf(order),
      outcome,
    });
    const isTaken = outcome === OrderOutcome.Accepted;
    if (order.kind === OrderKind.Open && isTaken) {
      this.#keeper.opened(order.group, this.#now);
    } else if (order.kind === OrderKind.Leave && isTaken) {
      this.#keeper.left(order.group);
    } else if (order.kind === OrderKind.Join) {
      this.#warming.delete(engine);
      const view = this.#watch.views.get(engine);
      if (outcome === OrderOutcome.Accepted) {
        if (view !== undefined) {
          this.#loaded.joined(view, order.plan.model, this.#now);
        }
        this.#keeper.joined(order.plan.group, engine, this.#now);
      } else if (outcome === OrderOutcome.Refused) {
        this.#keeper.refused(order.plan.group, this.#now);
      }
    } else if (
      order.kind === OrderKind.Stage &&
      outcome !== OrderOutcome.Accepted
    ) {
      this.#staging.failed(engine);
    }
  }

  /** A line a domain: its groups, and its free instances by what they hold. */
  #logDomains(): void {
    if (!this.#watch.isSurveyed) {
      return;
    }
    const free = this.#keeper.free(this.#watch.views);
    const slow = slowEngines(this.#watch.views.values());
    const lines = summarizeDomains(this.#keeper.groups, free, {
      isStaging: (id) => this.#staging.isLoading(id),
      isSlow: (id) => slow.has(id),
    });
    const demand = [...this.#parts.demand()].join(" ");
    for (const line of lines) {
      this.#parts.log.info("domain", { ...line, demand });
    }
  }

  #reportChanges(isFirstLook: boolean): void {
    const changes = this.#keeper.takeChanges();
    for (const change of changes) {
      this.#log(change);
    }
    const paces = this.serving.map(({ pace }) => pace).join();
    if (isFirstLook || changes.length > 0 || paces !== this.#paces) {
      this.#paces = paces;
      this.#parts.onTableChanged();
    }
  }

  #log({ group, from, to }: IGroupChange): void {
    this.#parts.metrics.count("group_changes", { to: to ?? "released" });
    this.#parts.log.info("group", {
      group: group.plan.group,
      model: group.plan.model,
      members: group.plan.members.join(","),
      from,
      to: to ?? "released",
      trouble: group.trouble,
    });
  }

  #modelNamed(name: string): IModel | null {
    const models = this.#parts.engine()?.models ?? [];
    return models.find((model) => model.name === name) ?? null;
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }
}

function aboutOf(order: EngineOrder): string {
  switch (order.kind) {
    case OrderKind.Join:
      return order.plan.group;
    case OrderKind.Stage:
      return order.model;
    default:
      return order.group;
  }
}
