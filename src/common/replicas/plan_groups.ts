/**
 * Which groups to form, which free instances to warm and what to stage.
 *
 * Pattern of load: members of serving groups are lost for good every few
 * seconds and empty instances arrive about as often. An instance whose last
 * group had a model joins it again in a fifth of a second, one that has the
 * model on its host in a second or two, any other in ten times that. Without
 * spares that have the right model, instances stand loading for most of the
 * day while groups are down; one would notice by open groups that fall over
 * the day while free instances do not.
 *
 * So each instance is made fit for two models: one by its last group (a free
 * instance is warmed by a group of its own that never opens), the other on its
 * host. Survivors and spares then form whichever model is short. Once callers
 * have come an instance is joined only where it need not load. Beyond the ideal
 * numbers groups form as long as a domain keeps its spares: an instance that
 * the short model cannot use yet serves another meanwhile, and stages besides.
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

/** Part of a model's groups' time from which another's may be turned over. */
const PRESSURE_TO_REBALANCE = 0.85;

/** The same while a group of the model is being given up or formed. */
const PRESSURE_WHILE_HEALING = 2;

/** Groups that a model lacks of its ideal number before one is turned over. */
const LACK_TO_REBALANCE = 0.5;

/** Members of groups that one spare stands by for: a tenth to a fifth lost. */
const MEMBERS_PER_SPARE = 4;

/**
 * Part of the loads that run at once that may be of a second model: instances
 * without any go first, and a load that has begun cannot be put off.
 */
const SECOND_LOADS_PART = 0.5;

/** Part of the instances that are in groups, the rest being spares. */
const PART_IN_GROUPS = 0.85;

/** A group to form, before it has a name. */
export interface IProposedGroup {
  readonly model: string;
  readonly members: readonly InstanceId[];
}

/** A model for one instance. */
export interface IProposedModel {
  readonly engine: InstanceId;
  readonly model: string;
}

/** What is to be done. */
export interface IProposals {
  readonly groups: readonly IProposedGroup[];
  /** Instances to warm with a model by a group of their own. */
  readonly warmings: readonly IProposedModel[];
  /** Groups to close so that their members serve a model that is short. */
  readonly closing: readonly string[];
  /** Models to stage on hosts. */
  readonly stagings: readonly IProposedModel[];
}

/** What stands, for the decision. */
export interface IPlanningInput {
  readonly models: readonly IModel[];
  readonly free: readonly IPlannerEngine[];
  /** Members of groups that serve. */
  readonly serving: readonly IPlannerEngine[];
  /** Instances that load a model by an order to stage. */
  readonly staging: ReadonlyMap<InstanceId, string>;
  /** Groups that serve or will, by model and domain. */
  readonly activeGroups: readonly IPlannerGroup[];
  /**
   * Domains in which groups are being closed for a model that is short. Formed
   * into anything else, their free instances would be missing for it.
   */
  readonly reservedDomains: ReadonlySet<DomainName>;
  /** Models of which a group is being given up or formed. */
  readonly healingModels: ReadonlySet<string>;
  /** Groups that the calls keep busy, by model. */
  readonly demand: ReadonlyMap<string, number>;
  /** Whether loads are fast and free, since no caller has come yet. */
  readonly isBeforeTraffic: boolean;
  /** Loads that run at once after callers have come; more slow each other. */
  readonly loadsAtOnce: number;
  /** Loads that may begin now. */
  readonly loadsLeft: number;
}

/** Decides for all domains. */
export function planGroups(situation: IPlanningInput): IProposals {
  const planner = new Planner(situation);
  const domains = byDomain(situation.free);
  for (const [domain, free] of domains) {
    planner.formGroups(domain, free);
  }
  planner.rebalance();
  planner.prepareHosts();
  return planner.proposals;
}

/** Goes through the domains and keeps what was promised. */
class Planner {
  readonly #input: IPlanningInput;
  /** Groups of each model, those proposed included. */
  readonly #counts = new Map<string, number>();
  #closing: readonly string[] = [];
  readonly #groups: IProposedGroup[] = [];
  readonly #warmings: IProposedModel[] = [];
  readonly #stagings: IProposedModel[] = [];
  readonly #ideal: ReadonlyMap<string, number>;
  /** Free instances that no group was formed of. */
  readonly #leftover = new Set<IPlannerEngine>();

  constructor(situation: IPlanningInput) {
    this.#input = situation;
    const members = situation.activeGroups.flatMap((group) => group.members);
    const instances = members.length + situation.free.length;
    this.#ideal = idealGroupCounts(
      situation.models,
      situation.demand,
      instances * PART_IN_GROUPS,
    );
    for (const { model } of situation.activeGroups) {
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

  /** Forms groups of the free instances of one domain, as many as are of use. */
  formGroups(domain: DomainName, free: readonly IPlannerEngine[]): void {
    const left = new Set(free);
    const standing = this.#groupCountsIn(domain);
    let isFormed = true;
    while (isFormed) {
      isFormed = this.#formNext(domain, left, standing);
    }
    left.forEach((engine) => this.#leftover.add(engine));
  }

  /** Closes groups of a model that has room for a model that is short. */
  rebalance(): void {
    const { models, activeGroups, reservedDomains, healingModels } =
      this.#input;
    const short = this.#scarcest(models);
    if (short === null || this.#input.isBeforeTraffic) {
      return;
    }
    // One domain at a time, and not for what heals by itself: a lost group is
    // back in a second or two, and closing others for it meanwhile loses both.
    const least = healingModels.has(short.name)
      ? PRESSURE_WHILE_HEALING
      : PRESSURE_TO_REBALANCE;
    const isPressed = this.#pressure(short) >= least;
    const isLacking = -this.#excess(short) >= LACK_TO_REBALANCE;
    if (isPressed && isLacking && reservedDomains.size === 0) {
      this.#closing = findGroupsToReassign({
        shortModel: short,
        activeGroups: activeGroups,
        free: [...this.#leftover],
        excess: (name) => this.#excessOf(name),
      });
    }
  }

  /** Warms free instances, and stages a second model wherever one lacks. */
  prepareHosts(): void {
    for (const engine of this.#leftover) {
      this.#warm(engine);
    }
    // An instance without any model is of no use yet; members can wait.
    const empty = [...this.#leftover].filter(
      (one) => !this.#holdsAnyModel(one),
    );
    const others = [...this.#leftover].filter((one) =>
      this.#holdsAnyModel(one),
    );
    for (const engine of [...empty, ...others, ...this.#input.serving]) {
      this.#stage(engine);
    }
  }

  /** Groups a model in one domain. */
  #groupCountsIn(domain: DomainName): Map<string, number> {
    const counts = new Map<string, number>();
    for (const group of this.#input.activeGroups) {
      if (group.domain === domain) {
        counts.set(group.model, (counts.get(group.model) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Forms one group if there is a use for it and there are the members. */
  #formNext(
    domain: DomainName,
    left: Set<IPlannerEngine>,
    standing: Map<string, number>,
  ): boolean {
    const byNeed = this.#byNeed(standing);
    const isReserved = this.#input.reservedDomains.has(domain);
    for (const model of isReserved ? byNeed.slice(0, 1) : byNeed) {
      const members = this.#membersFor(model, left, standing);
      if (members !== null) {
        members.forEach((member) => left.delete(member));
        const ids = members.map(({ view }) => view.target.id);
        this.#groups.push({ model: model.name, members: ids });
        this.#counts.set(model.name, this.#groupCount(model) + 1);
        standing.set(model.name, (standing.get(model.name) ?? 0) + 1);
        return true;
      }
    }
    return false;
  }

  #membersFor(
    model: IModel,
    left: ReadonlySet<IPlannerEngine>,
    standing: ReadonlyMap<string, number>,
  ): readonly IPlannerEngine[] | null {
    const { isBeforeTraffic } = this.#input;
    const fit = [...left].filter(
      (engine) => isBeforeTraffic || readiness(engine, model) > Readiness.Cold,
    );
    if (fit.length < model.size) {
      return null;
    }
    const useful = [...left].filter((one) => this.#holdsAnyModel(one));
    const spares = isBeforeTraffic ? left.size : useful.length;
    const isShort = !isBeforeTraffic && this.#excess(model) < 0;
    if (!isShort && !this.#leavesSpares(model, spares, standing)) {
      return null;
    }
    fit.sort((one, other) => readiness(other, model) - readiness(one, model));
    return fit.slice(0, model.size);
  }

  /** Whether a domain keeps its spares with one group more of a model. */
  #leavesSpares(
    model: IModel,
    left: number,
    standing: ReadonlyMap<string, number>,
  ): boolean {
    let members = model.size;
    for (const { name, size } of this.#input.models) {
      members += (standing.get(name) ?? 0) * size;
    }
    return left - model.size >= Math.floor(members / MEMBERS_PER_SPARE);
  }

  /** Gives a free instance that was in no group yet one of its own. */
  #warm(engine: IPlannerEngine): void {
    const { models, isBeforeTraffic } = this.#input;
    if (engine.loaded !== null) {
      return;
    }
    const known = models.filter(
      (model) => isBeforeTraffic || readiness(engine, model) > Readiness.Cold,
    );
    const model = this.#scarcest(known);
    if (model !== null) {
      const { id } = engine.view.target;
      this.#warmings.push({ engine: id, model: model.name });
    }
  }

  #stage(engine: IPlannerEngine): void {
    const { models, staging, isBeforeTraffic, loadsLeft, loadsAtOnce } =
      this.#input;
    const { id } = engine.view.target;
    const begun = staging.size + this.#stagings.length;
    const part = this.#holdsAnyModel(engine) ? SECOND_LOADS_PART : 1;
    const most = Math.max(1, Math.floor(loadsAtOnce * part));
    const mayLoad =
      isBeforeTraffic || (begun < most && this.#stagings.length < loadsLeft);
    const isWarmed = this.#warmings.some((warming) => warming.engine === id);
    // The host keeps few models: what a join still loads would push it out.
    if (staging.has(id) || isWarmed || isLoading(engine) || !mayLoad) {
      return;
    }
    const lacking = models.filter(
      (model) => readiness(engine, model) === Readiness.Cold,
    );
    const holds = models.length - lacking.length;
    const hostIsOfUse = models.some(
      ({ name }) => name !== engine.loaded && isOnHost(engine, name),
    );
    const model = this.#scarcest(lacking);
    if (model !== null && !hostIsOfUse && holds < HELD_MODELS) {
      this.#stagings.push({ engine: id, model: model.name });
    }
  }

  #holdsAnyModel(engine: IPlannerEngine): boolean {
    return this.#input.models.some(
      (model) => readiness(engine, model) > Readiness.Cold,
    );
  }

  /** Models in order of need: before traffic those that this domain lacks. */
  #byNeed(standing: ReadonlyMap<string, number>): readonly IModel[] {
    return [...this.#input.models].sort(
      (one, other) => this.#need(other, standing) - this.#need(one, standing),
    );
  }

  #need(model: IModel, standing: ReadonlyMap<string, number>): number {
    if (!this.#input.isBeforeTraffic) {
      return -this.#idealFraction(model);
    }
    // Nothing is known of the demand yet but the shares: instances are divided
    // by them, in each domain alike.
    const groups = standing.get(model.name) ?? 0;
    return model.share / ((groups + 0.5) * model.size);
  }

  /** Part of its groups' time that a model's calls ask for. */
  #pressure(model: IModel): number {
    const demand = this.#input.demand.get(model.name) ?? 0;
    return demand / Math.max(this.#groupCount(model), 0.5);
  }

  /** Groups beyond the ideal number; negative where there are too few. */
  #excess(model: IModel): number {
    return this.#excessOf(model.name);
  }

  #excessOf(name: string): number {
    return (this.#counts.get(name) ?? 0) - (this.#ideal.get(name) ?? 0);
  }

  /** The model that lacks the largest part of its ideal number. */
  #scarcest(models: readonly IModel[]): IModel | null {
    const [shortest] = [...models].sort(
      (one, other) => this.#idealFraction(one) - this.#idealFraction(other),
    );
    return shortest ?? null;
  }

  /** Part of its ideal number of groups that a model has. */
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

/** Models that an instance holds: of its last group, and on its host. */
const HELD_MODELS = 2;

function byDomain(
  free: readonly IPlannerEngine[],
): ReadonlyMap<DomainName, IPlannerEngine[]> {
  const domains = new Map<DomainName, IPlannerEngine[]>();
  for (const engine of free) {
    const domain = engine.view.state?.domain ?? "";
    domains.set(domain, [...(domains.get(domain) ?? []), engine]);
  }
  return domains;
}
