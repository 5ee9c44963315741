/**
 * Which groups to form and which models to stage on free instances.
 *
 * Pattern of load: members of serving groups are lost for good every few
 * seconds and empty instances arrive about as often. A lost member is replaced
 * in about a second by a free instance of its domain that has the model on its
 * host, and in ten times that by any other. Without spares that have the right
 * model, instances stand loading for most of the day while groups are down;
 * one would notice by open groups that fall over the day while free instances
 * do not.
 *
 * So: an instance is joined only to a model that its host has, once callers
 * have come (before that all loads are fast); free instances stage at once,
 * first the model that lacks the fewest to complete a group where the load is
 * highest; and one instance a model is held back in each domain, unless the
 * groups that stand are under pressure.
 */
import type { IModel } from "../calls/types.ts";
import type { DomainName, InstanceId } from "../types.ts";
import type { IEngineView } from "./engine_book.ts";

/**
 * Requests a slot from which the groups of a model are too few, so that spares
 * are used: at this batch a stream is some 10 % slower than in an empty one.
 */
const PRESSURE_TO_USE_SPARES = 0.6;

/** Groups of one domain that one spare of their model stands by for. */
const GROUPS_PER_SPARE = 2;

/** A group to form, before it has a name. */
export interface IProposedGroup {
  readonly model: string;
  readonly members: readonly InstanceId[];
}

/** A model to stage on a free instance. */
export interface IProposedStaging {
  readonly engine: InstanceId;
  readonly model: string;
}

/** What is to be done with the free instances. */
export interface IProposals {
  readonly groups: readonly IProposedGroup[];
  readonly stagings: readonly IProposedStaging[];
}

/** What stands, for the decision. */
export interface IGroupSituation {
  readonly models: readonly IModel[];
  readonly free: readonly IEngineView[];
  /** Instances that load a model by an order to stage. */
  readonly staging: ReadonlyMap<InstanceId, string>;
  /** Groups that serve or will, by model and domain. */
  readonly standing: readonly {
    readonly model: string;
    readonly domain: DomainName;
  }[];
  /** Requests in flight and waiting, by model. */
  readonly demand: ReadonlyMap<string, number>;
  readonly slots: number;
  /** Whether loads are fast and free, since no caller has come yet. */
  readonly isBeforeTraffic: boolean;
  /** Loads that may begin now. */
  readonly loadsLeft: number;
}

/** Decides for all domains. */
export function planGroups(situation: IGroupSituation): IProposals {
  const counts = new Map<string, number>();
  for (const { model } of situation.standing) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  const planner = new Planner(situation, counts);
  for (const [domain, free] of byDomain(situation.free)) {
    planner.planDomain(domain, free);
  }
  return planner.proposals;
}

/** Goes through the domains and keeps what was promised. */
class Planner {
  readonly #situation: IGroupSituation;
  /** Groups of each model, those proposed included. */
  readonly #counts: Map<string, number>;
  readonly #groups: IProposedGroup[] = [];
  readonly #stagings: IProposedStaging[] = [];
  #loadsLeft: number;

  constructor(situation: IGroupSituation, counts: Map<string, number>) {
    this.#situation = situation;
    this.#counts = counts;
    this.#loadsLeft = situation.loadsLeft;
  }

  get proposals(): IProposals {
    return { groups: this.#groups, stagings: this.#stagings };
  }

  planDomain(domain: DomainName, free: readonly IEngineView[]): void {
    const left = new Set(free);
    const standing = this.#standingIn(domain);
    for (;;) {
      const members = this.#nextGroup(left, standing);
      if (members === null) {
        break;
      }
    }
    this.#stage(left, standing);
  }

  /** Groups a model in one domain. */
  #standingIn(domain: DomainName): Map<string, number> {
    const counts = new Map<string, number>();
    for (const group of this.#situation.standing) {
      if (group.domain === domain) {
        counts.set(group.model, (counts.get(group.model) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Forms one group if there is a use for it and there are the members. */
  #nextGroup(
    left: Set<IEngineView>,
    standing: Map<string, number>,
  ): IProposedGroup | null {
    for (const model of this.#byPressure(standing)) {
      const members = this.#membersFor(model, left, standing);
      if (members !== null) {
        members.forEach((member) => left.delete(member));
        const group = {
          model: model.name,
          members: members.map(({ target }) => target.id),
        };
        this.#groups.push(group);
        this.#counts.set(model.name, this.#groupsOf(model) + 1);
        standing.set(model.name, (standing.get(model.name) ?? 0) + 1);
        return group;
      }
    }
    return null;
  }

  #membersFor(
    model: IModel,
    left: ReadonlySet<IEngineView>,
    standing: ReadonlyMap<string, number>,
  ): readonly IEngineView[] | null {
    const { isBeforeTraffic } = this.#situation;
    const fit = [...left].filter(
      (view) => isBeforeTraffic || hasOnHost(view, model.name),
    );
    if (fit.length < model.size) {
      return null;
    }
    const after = left.size - model.size;
    const isPressed = this.#pressure(model) > PRESSURE_TO_USE_SPARES;
    const mayUseSpares = isPressed && !isBeforeTraffic;
    const next = new Map(standing);
    next.set(model.name, (next.get(model.name) ?? 0) + 1);
    if (!mayUseSpares && after < this.#sparesWanted(next)) {
      return null;
    }
    fit.sort((one, other) => warmth(other, model) - warmth(one, model));
    return fit.slice(0, model.size);
  }

  /** Spares of a domain with these groups: some for each of its models. */
  #sparesWanted(standing: ReadonlyMap<string, number>): number {
    let wanted = 0;
    for (const groups of standing.values()) {
      wanted += Math.ceil(groups / GROUPS_PER_SPARE);
    }
    return wanted;
  }

  /** Stages a model on each free instance that has none of use. */
  #stage(
    left: ReadonlySet<IEngineView>,
    standing: ReadonlyMap<string, number>,
  ): void {
    const { staging, isBeforeTraffic } = this.#situation;
    const ready = new Map<string, number>();
    const empty: IEngineView[] = [];
    for (const view of left) {
      const model = staging.get(view.target.id) ?? this.#modelOnHost(view);
      if (model === null) {
        empty.push(view);
      } else {
        ready.set(model, (ready.get(model) ?? 0) + 1);
      }
    }
    for (const view of empty) {
      const model = this.#modelToStage(ready, standing);
      if (model === null || (this.#loadsLeft <= 0 && !isBeforeTraffic)) {
        return;
      }
      this.#loadsLeft -= 1;
      ready.set(model.name, (ready.get(model.name) ?? 0) + 1);
      this.#stagings.push({ engine: view.target.id, model: model.name });
    }
  }

  /** The model that one more instance of this domain helps most. */
  #modelToStage(
    ready: ReadonlyMap<string, number>,
    standing: ReadonlyMap<string, number>,
  ): IModel | null {
    let best: IModel | null = null;
    let highest = Number.NEGATIVE_INFINITY;
    for (const model of this.#situation.models) {
      const count = ready.get(model.name) ?? 0;
      const missing = model.size - (count % model.size);
      const groups = standing.get(model.name) ?? 0;
      const isUncovered = count < Math.ceil(groups / GROUPS_PER_SPARE);
      const urgency = this.#pressure(model) / missing;
      const score = urgency + (isUncovered ? 1 : 0);
      if (score > highest) {
        highest = score;
        best = model;
      }
    }
    return best;
  }

  #modelOnHost(view: IEngineView): string | null {
    const { models } = this.#situation;
    const known = models.find(({ name }) => hasOnHost(view, name));
    return known?.name ?? null;
  }

  /** Models in order of need: here first those that this domain lacks. */
  #byPressure(standing: ReadonlyMap<string, number>): readonly IModel[] {
    return [...this.#situation.models].sort(
      (one, other) => this.#need(other, standing) - this.#need(one, standing),
    );
  }

  #need(model: IModel, standing: ReadonlyMap<string, number>): number {
    if (!this.#situation.isBeforeTraffic) {
      return this.#pressure(model);
    }
    // Nothing is known of the demand yet but the shares: instances are divided
    // by them, in each domain alike.
    const groups = standing.get(model.name) ?? 0;
    return model.share / ((groups + 0.5) * model.size);
  }

  /** Requests a slot of the model's groups. */
  #pressure(model: IModel): number {
    const demand = this.#situation.demand.get(model.name) ?? 0;
    const groups = Math.max(this.#groupsOf(model), 0.5);
    return (demand + model.share) / (groups * this.#situation.slots);
  }

  #groupsOf(model: IModel): number {
    return this.#counts.get(model.name) ?? 0;
  }
}

function hasOnHost(view: IEngineView, model: string): boolean {
  return view.state?.staged.includes(model) ?? false;
}

/** An instance that was in a group of the model joins fastest. */
function warmth(view: IEngineView, model: IModel): number {
  const isLoaded = view.state?.model === model.name ? 2 : 0;
  return isLoaded + (hasOnHost(view, model.name) ? 1 : 0);
}

function byDomain(
  free: readonly IEngineView[],
): ReadonlyMap<DomainName, IEngineView[]> {
  const domains = new Map<DomainName, IEngineView[]>();
  for (const view of free) {
    const domain = view.state?.domain ?? "";
    domains.set(domain, [...(domains.get(domain) ?? []), view]);
  }
  return domains;
}
