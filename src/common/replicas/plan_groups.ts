/**
 * Decides which groups to form, which free instances to warm and which models
 * to stage.
 *
 * Members of serving groups are lost for good every few seconds, and empty
 * instances arrive about as often. An instance rejoins a group of the model of
 * its last group in 0.2 s, joins one of a model on its host in 1 to 2 s, and
 * one of any other model in ten times that. Without spares that hold the right
 * model, instances spend most of the day loading while groups are down, and the
 * number of open groups falls although instances are free.
 *
 * So each instance is prepared for two models: one by its last group (a free
 * instance is warmed by a group of its own that never opens), the other on its
 * host. Survivors and spares then form groups of whichever model is short. Once
 * callers have arrived, an instance joins a group only if it need not load.
 * Beyond the ideal numbers, groups are formed as long as the domain keeps its
 * spares: an instance that the short model cannot use yet serves another one
 * meanwhile, and stages as well.
 */
import type { IModel } from "../calls/types.ts";
import type { DomainName, InstanceId } from "../types.ts";
import {
  isLoading,
  isOnHost,
  readiness,
  Readiness,
} from "./model_readiness.ts";
import type { IPlannerEngine, IPlannerGroup } from "./model_readiness.ts";
import { idealGroupCounts } from "./ideal_groups.ts";
import { findGroupsToReassign } from "./group_reassignment.ts";

/**
 * Share of its groups' time that a model's calls must ask for before groups of
 * another model are reassigned to it.
 */
const REASSIGN_UTILIZATION = 0.85;

/** The same while a group of the model is being abandoned or formed. */
const REASSIGN_UTILIZATION_WHILE_HEALING = 2;

/**
 * Groups that a model must lack of its ideal number before one is reassigned.
 */
const REASSIGN_DEFICIT = 0.5;

/**
 * Group members per spare, sized for the loss of a tenth to a fifth of them.
 */
const MEMBERS_PER_SPARE = 4;

/**
 * Share of the concurrent loads that may be of a second model: instances
 * without any model go first, and a load that has begun cannot be deferred.
 */
const SECOND_LOADS_SHARE = 0.5;

/** Share of the instances that are in groups; the rest are spares. */
const SHARE_IN_GROUPS = 0.85;

/** A group to form; it has no name yet. */
export interface IProposedGroup {
  readonly model: string;
  readonly members: readonly InstanceId[];
}

/** A model to prepare on one instance. */
export interface IProposedModel {
  readonly engine: InstanceId;
  readonly model: string;
}

/** Actions for the caller to carry out. */
export interface IProposals {
  readonly groups: readonly IProposedGroup[];
  /** Instances to warm with a model, each by a group of its own. */
  readonly warmings: readonly IProposedModel[];
  /** Groups to close so that their members can serve a model that is short. */
  readonly closing: readonly string[];
  /** Models to stage on hosts. */
  readonly stagings: readonly IProposedModel[];
}

/** State that the planner decides on. */
export interface IPlanningInput {
  readonly models: readonly IModel[];
  readonly free: readonly IPlannerEngine[];
  /** Members of serving groups. */
  readonly serving: readonly IPlannerEngine[];
  /** The model that each instance loads by an order to stage. */
  readonly staging: ReadonlyMap<InstanceId, string>;
  /** Groups that serve or will serve. */
  readonly activeGroups: readonly IPlannerGroup[];
  /**
   * Domains in which groups are closing for a model that is short. Their free
   * instances are kept for it; in other groups they would be missing.
   */
  readonly reservedDomains: ReadonlySet<DomainName>;
  /** Models with a group that is being abandoned or formed. */
  readonly healingModels: ReadonlySet<string>;
  /** Number of groups that the calls keep busy, by model. */
  readonly demand: ReadonlyMap<string, number>;
  /** Whether loads are fast and unlimited because no caller has arrived yet. */
  readonly isBeforeTraffic: boolean;
  /**
   * Concurrent loads after callers have arrived; more would slow each other.
   */
  readonly loadsAtOnce: number;
  /** Loads that may begin now. */
  readonly loadsLeft: number;
}

/** Plans the groups of all domains. */
export function planGroups(input: IPlanningInput): IProposals {
  const planner = new Planner(input);
  const domains = groupByDomain(input.free);
  for (const [domain, free] of domains) {
    planner.formGroups(domain, free);
  }
  planner.reassign();
  planner.prepareHosts();
  return planner.proposals;
}

/** Plans domain by domain and collects the proposals. */
class Planner {
  readonly #input: IPlanningInput;
  /** Number of groups of each model, including proposed ones. */
  readonly #counts = new Map<string, number>();
  #closing: readonly string[] = [];
  readonly #groups: IProposedGroup[] = [];
  readonly #warmings: IProposedModel[] = [];
  readonly #stagings: IProposedModel[] = [];
  readonly #ideal: ReadonlyMap<string, number>;
  /** Free instances that are in no proposed group. */
  readonly #leftover = new Set<IPlannerEngine>();

  constructor(input: IPlanningInput) {
    this.#input = input;
    const members = input.activeGroups.flatMap((group) => group.members);
    const instances = members.length + input.free.length;
    this.#ideal = idealGroupCounts(
      input.models,
      input.demand,
      instances * SHARE_IN_GROUPS,
    );
    for (const { model } of input.activeGroups) {
      this.#counts.set(model, (this.#counts.get(model) ?? 0) + 1);
    }
  }

  get proposals(): IProposals {
    return {
      groups: this.#groups,
      warmings: this.#warmings,
      closing: this.#closing,
      stagings: this.#stagings,
    };
  }

  /** Forms as many useful groups as the free instances of a domain allow. */
  formGroups(domain: DomainName, free: readonly IPlannerEngine[]): void {
    const available = new Set(free);
    const groupCounts = this.#groupCountsIn(domain);
    let isFormed = true;
    while (isFormed) {
      isFormed = this.#formNext(domain, available, groupCounts);
    }
    available.forEach((engine) => this.#leftover.add(engine));
  }

  /** Closes groups of a model with spare capacity for a model that is short. */
  reassign(): void {
    const { models, activeGroups, reservedDomains, healingModels } =
      this.#input;
    const shortModel = this.#scarcest(models);
    if (shortModel === null || this.#input.isBeforeTraffic) {
      return;
    }
    // Only one domain at a time, and not for a group that recovers by itself:
    // it is back in a second or two, and closing others for it would lose both.
    const threshold = healingModels.has(shortModel.name)
      ? REASSIGN_UTILIZATION_WHILE_HEALING
      : REASSIGN_UTILIZATION;
    const isBusy = this.#utilization(shortModel) >= threshold;
    const hasDeficit = -this.#excess(shortModel) >= REASSIGN_DEFICIT;
    if (isBusy && hasDeficit && reservedDomains.size === 0) {
      this.#closing = findGroupsToReassign({
        shortModel,
        activeGroups,
        free: [...this.#leftover],
        excess: (name) => this.#excessOf(name),
      });
    }
  }

  /**
   * Warms free instances, and stages a second model wherever one is missing.
   */
  prepareHosts(): void {
    for (const engine of this.#leftover) {
      this.#warm(engine);
    }
    // An instance without any model cannot be used yet; group members can wait.
    const empty = [...this.#leftover].filter(
      (one) => !this.#holdsAnyModel(one),
    );
    const prepared = [...this.#leftover].filter((one) =>
      this.#holdsAnyModel(one),
    );
    for (const engine of [...empty, ...prepared, ...this.#input.serving]) {
      this.#stage(engine);
    }
  }

  /** Number of groups of each model in one domain. */
  #groupCountsIn(domain: DomainName): Map<string, number> {
    const counts = new Map<string, number>();
    for (const group of this.#input.activeGroups) {
      if (group.domain === domain) {
        counts.set(group.model, (counts.get(group.model) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Forms one group if one is needed and enough members are free. */
  #formNext(
    domain: DomainName,
    available: Set<IPlannerEngine>,
    groupCounts: Map<string, number>,
  ): boolean {
    const byNeed = this.#byNeed(groupCounts);
    const isReserved = this.#input.reservedDomains.has(domain);
    for (const model of isReserved ? byNeed.slice(0, 1) : byNeed) {
      const members = this.#selectMembers(model, available, groupCounts);
      if (members !== null) {
        members.forEach((member) => available.delete(member));
        const ids = members.map(({ view }) => view.target.id);
        this.#groups.push({ model: model.name, members: ids });
        this.#counts.set(model.name, this.#groupCount(model) + 1);
        groupCounts.set(model.name, (groupCounts.get(model.name) ?? 0) + 1);
        return true;
      }
    }
    return false;
  }

  #selectMembers(
    model: IModel,
    available: ReadonlySet<IPlannerEngine>,
    groupCounts: ReadonlyMap<string, number>,
  ): readonly IPlannerEngine[] | null {
    const { isBeforeTraffic } = this.#input;
    const candidates = [...available].filter(
      (engine) => isBeforeTraffic || readiness(engine, model) > Readiness.Cold,
    );
    if (candidates.length < model.size) {
      return null;
    }
    const withModel = [...available].filter((one) => this.#holdsAnyModel(one));
    const spares = isBeforeTraffic ? available.size : withModel.length;
    const isShort = !isBeforeTraffic && this.#excess(model) < 0;
    if (!isShort && !this.#keepsSpares(model, spares, groupCounts)) {
      return null;
    }
    candidates.sort(
      (one, other) => readiness(other, model) - readiness(one, model),
    );
    return candidates.slice(0, model.size);
  }

  /** Whether a domain keeps its spares after one more group of a model. */
  #keepsSpares(
    model: IModel,
    available: number,
    groupCounts: ReadonlyMap<string, number>,
  ): boolean {
    let members = model.size;
    for (const { name, size } of this.#input.models) {
      members += (groupCounts.get(name) ?? 0) * size;
    }
    return available - model.size >= Math.floor(members / MEMBERS_PER_SPARE);
  }

  /** Proposes a group of its own for a free instance that has been in none. */
  #warm(engine: IPlannerEngine): void {
    const { models, isBeforeTraffic } = this.#input;
    if (engine.loaded !== null) {
      return;
    }
    const candidates = models.filter(
      (model) => isBeforeTraffic || readiness(engine, model) > Readiness.Cold,
    );
    const model = this.#scarcest(candidates);
    if (model !== null) {
      const { id } = engine.view.target;
      this.#warmings.push({ engine: id, model: model.name });
    }
  }

  #stage(engine: IPlannerEngine): void {
    const { models, staging, isBeforeTraffic, loadsLeft, loadsAtOnce } =
      this.#input;
    const { id } = engine.view.target;
    const started = staging.size + this.#stagings.length;
    const share = this.#holdsAnyModel(engine) ? SECOND_LOADS_SHARE : 1;
    const maxLoads = Math.max(1, Math.floor(loadsAtOnce * share));
    const mayLoad =
      isBeforeTraffic ||
      (started < maxLoads && this.#stagings.length < loadsLeft);
    const isWarmed = this.#warmings.some((warming) => warming.engine === id);
    // The host keeps few models: one that a join is still loading would evict
    // this one.
    if (staging.has(id) || isWarmed || isLoading(engine) || !mayLoad) {
      return;
    }
    const missing = models.filter(
      (model) => readiness(engine, model) === Readiness.Cold,
    );
    const heldCount = models.length - missing.length;
    const hostHasOther = models.some(
      ({ name }) => name !== engine.loaded && isOnHost(engine, name),
    );
    const model = this.#scarcest(missing);
    if (model !== null && !hostHasOther && heldCount < MAX_HELD_MODELS) {
      this.#stagings.push({ engine: id, model: model.name });
    }
  }

  #holdsAnyModel(engine: IPlannerEngine): boolean {
    return this.#input.models.some(
      (model) => readiness(engine, model) > Readiness.Cold,
    );
  }

  /**
   * Models in order of need; before traffic, those that this domain lacks
   * first.
   */
  #byNeed(groupCounts: ReadonlyMap<string, number>): readonly IModel[] {
    return [...this.#input.models].sort(
      (one, other) =>
        this.#need(other, groupCounts) - this.#need(one, groupCounts),
    );
  }

  #need(model: IModel, groupCounts: ReadonlyMap<string, number>): number {
    if (!this.#input.isBeforeTraffic) {
      return -this.#idealFraction(model);
    }
    // Only the shares are known of the demand yet, so each domain's instances
    // are divided by them.
    const groups = groupCounts.get(model.name) ?? 0;
    return model.share / ((groups + 0.5) * model.size);
  }

  /** Share of its groups' time that a model's calls ask for. */
  #utilization(model: IModel): number {
    const demand = this.#input.demand.get(model.name) ?? 0;
    return demand / Math.max(this.#groupCount(model), 0.5);
  }

  /** Groups beyond the ideal number; negative if there are too few. */
  #excess(model: IModel): number {
    return this.#excessOf(model.name);
  }

  #excessOf(name: string): number {
    return (this.#counts.get(name) ?? 0) - (this.#ideal.get(name) ?? 0);
  }

  /** The model with the smallest fraction of its ideal number of groups. */
  #scarcest(models: readonly IModel[]): IModel | null {
    const [scarcest] = [...models].sort(
      (one, other) => this.#idealFraction(one) - this.#idealFraction(other),
    );
    return scarcest ?? null;
  }

  /** Fraction of its ideal number of groups that a model has. */
  #idealFraction(model: IModel): number {
    const ideal = this.#ideal.get(model.name) ?? 0;
    return ideal === 0
      ? Number.POSITIVE_INFINITY
      : this.#groupCount(model) / ideal;
  }

  #groupCount(model: IModel): number {
    return this.#counts.get(model.name) ?? 0;
  }
}

/**
 * Models that an instance holds: that of its last group, and one on its host.
 */
const MAX_HELD_MODELS = 2;

function groupByDomain(
  free: readonly IPlannerEngine[],
): ReadonlyMap<DomainName, IPlannerEngine[]> {
  const domains = new Map<DomainName, IPlannerEngine[]>();
  for (const engine of free) {
    const domain = engine.view.state?.domain ?? "";
    domains.set(domain, [...(domains.get(domain) ?? []), engine]);
  }
  return domains;
}
