/**
 * Forms replica groups in one fabric domain. Pure: what is known goes in, the
 * wanted groups and the orders to engines come out.
 *
 * A group never spans domains and an instance stands in at most one group of
 * the record, so that "no instance in two groups" needs no agreement beyond
 * the one conditional write of the record.
 */
import type {
  IInstance,
  InstanceId,
  ISeenReport,
  MonotonicTime,
  ServiceName,
} from "../types.ts";
import { InstanceState, TargetState } from "../types.ts";
import { OrderKind } from "../services/services.ts";
import type { IEngineOrder } from "../services/services.ts";
import type { IDomainRecord, IReplicaGroup } from "./types.ts";

/** How many groups of which service a domain should have. */
export interface IWantedGroups {
  readonly service: ServiceName;
  readonly model: string;
  readonly count: number;
}

/** What forming depends on besides the record. */
export interface IFormationView {
  readonly instances: readonly IInstance[];
  readonly reports: ReadonlyMap<InstanceId, ISeenReport>;
  readonly now: MonotonicTime;
}

/** Bounds on forming. */
export interface IFormationPolicy {
  readonly membersPerGroup: number;
  /** A report older than this does not count as present, milliseconds. */
  readonly freshness: number;
  /** How long a member may be silent before it is replaced, milliseconds. */
  readonly replaceAfter: number;
  /** How long an engine may act on an order after receipt, milliseconds. */
  readonly orderValidity: number;
}

/** An order and the instance it goes to. */
export interface IAddressedOrder {
  readonly instance: InstanceId;
  readonly address: string;
  readonly order: IEngineOrder;
}

/** The next groups of a record, or null when nothing is to change. */
export function planGroups(
  record: IDomainRecord,
  wanted: readonly IWantedGroups[],
  view: IFormationView,
  policy: IFormationPolicy,
): Pick<IDomainRecord, "groups" | "nextGroup"> | null {
  const planner = new GroupPlanner(record, view, policy);
  planner.dropUnwanted(wanted);
  planner.replaceLost();
  planner.formMissing(wanted);
  return planner.result();
}

/** Works on a copy of a record's groups. */
class GroupPlanner {
  readonly #record: IDomainRecord;
  readonly #view: IFormationView;
  readonly #policy: IFormationPolicy;
  readonly #free: InstanceId[];
  #groups: IReplicaGroup[];
  #nextGroup: number;
  #isChanged = false;

  constructor(
    record: IDomainRecord,
    view: IFormationView,
    policy: IFormationPolicy,
  ) {
    this.#record = record;
    this.#view = view;
    this.#policy = policy;
    this.#groups = [...record.groups];
    this.#nextGroup = record.nextGroup;
    this.#free = this.#findFree();
  }

  /** Removes groups of services that are no longer served. */
  dropUnwanted(wanted: readonly IWantedGroups[]): void {
    const services = new Set(wanted.map((entry) => entry.service));
    const kept = this.#groups.filter((group) => services.has(group.service));
    this.#isChanged ||= kept.length < this.#groups.length;
    this.#groups = kept;
  }

  /** Replaces members that are lost or leaving, or dissolves the group. */
  replaceLost(): void {
    const kept: IReplicaGroup[] = [];
    for (const group of this.#groups) {
      const present = group.members.filter((member) => this.#isUsable(member));
      const missing = group.members.length - present.length;
      if (missing === 0) {
        kept.push(group);
        continue;
      }
      this.#isChanged ||= true;
      if (missing <= this.#free.length) {
        kept.push(this.#regenerate(group, present, missing));
      } else {
        this.#free.push(...present.filter((member) => this.#isHere(member)));
      }
    }
    this.#groups = kept;
  }

  /** Forms groups from free instances until the wanted counts are met. */
  formMissing(wanted: readonly IWantedGroups[]): void {
    for (const { service, model, count } of wanted) {
      const existing = this.#groups.filter(
        (group) => group.service === service,
      );
      for (let index = existing.length; index < count; index++) {
        if (this.#free.length < this.#policy.membersPerGroup) {
          return;
        }
        this.#form(service, model);
      }
    }
  }

  result(): Pick<IDomainRecord, "groups" | "nextGroup"> | null {
    if (!this.#isChanged) {
      return null;
    }
    return { groups: this.#groups, nextGroup: this.#nextGroup };
  }

  #form(service: ServiceName, model: string): void {
    this.#groups.push({
      id: `${this.#record.domain}/${this.#nextGroup}`,
      service,
      model,
      generation: 1,
      epoch: this.#record.epoch,
      members: this.#free.splice(0, this.#policy.membersPerGroup),
    });
    this.#nextGroup += 1;
    this.#isChanged = true;
  }

  #regenerate(
    group: IReplicaGroup,
    present: readonly InstanceId[],
    missing: number,
  ): IReplicaGroup {
    return {
      ...group,
      generation: group.generation + 1,
      epoch: this.#record.epoch,
      members: [...present, ...this.#free.splice(0, missing)],
    };
  }

  #findFree(): InstanceId[] {
    const taken = new Set(this.#groups.flatMap((group) => group.members));
    return this.#view.instances
      .filter((instance) => instance.state === InstanceState.Live)
      .map((instance) => instance.id)
      .filter((id) => !taken.has(id) && this.#isHere(id))
      .sort();
  }

  /** Answered of late and not leaving. */
  #isHere(id: InstanceId): boolean {
    const seen = this.#view.reports.get(id);
    return (
      seen !== undefined &&
      this.#view.now - seen.seenAt <= this.#policy.freshness &&
      seen.report.state !== TargetState.Leaving
    );
  }

  /** Not yet given up: silent for less than the replacement bound. */
  #isUsable(id: InstanceId): boolean {
    const instance = this.#view.instances.find((entry) => entry.id === id);
    if (instance?.state !== InstanceState.Live) {
      return false;
    }
    const seen = this.#view.reports.get(id);
    return (
      seen !== undefined &&
      this.#view.now - seen.seenAt <= this.#policy.replaceAfter &&
      seen.report.state !== TargetState.Leaving
    );
  }
}

/** Orders that bring what engines report in line with the record. */
export function planOrders(
  record: IDomainRecord,
  view: IFormationView,
  policy: IFormationPolicy,
): readonly IAddressedOrder[] {
  const addresses = new Map(
    view.instances.map((instance) => [instance.id, instance.address]),
  );
  const joins = record.groups.flatMap((group) =>
    planJoins(group, record, { view, policy, addresses }),
  );
  return [...joins, ...planReleases(record, { view, policy, addresses })];
}

interface IOrderContext {
  readonly view: IFormationView;
  readonly policy: IFormationPolicy;
  readonly addresses: ReadonlyMap<InstanceId, string>;
}

function planJoins(
  group: IReplicaGroup,
  record: IDomainRecord,
  context: IOrderContext,
): readonly IAddressedOrder[] {
  const members = group.members.map((id) => context.addresses.get(id) ?? "");
  const orders: IAddressedOrder[] = [];
  group.members.forEach((instance, rank) => {
    const membership = context.view.reports.get(instance)?.report.membership;
    const isMember =
      membership?.group === group.id &&
      membership.generation === group.generation;
    const address = context.addresses.get(instance);
    if (isMember || address === undefined) {
      return;
    }
    const order: IEngineOrder = {
      kind: OrderKind.Join,
      group: group.id,
      rank,
      model: group.model,
      members,
      epoch: record.epoch,
      generation: group.generation,
      validFor: context.policy.orderValidity,
    };
    orders.push({ instance, address, order });
  });
  return orders;
}

/** Engines that report a group the record does not give them. */
function planReleases(
  record: IDomainRecord,
  context: IOrderContext,
): readonly IAddressedOrder[] {
  const taken = new Set(record.groups.flatMap((group) => group.members));
  const orders: IAddressedOrder[] = [];
  for (const [instance, address] of context.addresses) {
    const membership = context.view.reports.get(instance)?.report.membership;
    if (!membership || taken.has(instance)) {
      continue;
    }
    const order: IEngineOrder = {
      kind: OrderKind.Release,
      group: membership.group,
      rank: membership.rank,
      model: "",
      members: [],
      epoch: record.epoch,
      generation: membership.generation,
      validFor: context.policy.orderValidity,
    };
    orders.push({ instance, address, order });
  }
  return orders;
}
