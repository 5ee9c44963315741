/**
 * Orders that bring what engines report in line with the record.
 *
 * The weight store is rate-limited: were a domain's engines all told to load
 * at once after it went dark, each load would take its share of the rate and
 * no group would serve until the last was done. Loads are therefore queued:
 * first the services that have no complete group, then the groups that lack
 * the fewest loads.
 */
import { OrderKind } from "../services/services.ts";
import type { IEngineOrder } from "../services/services.ts";
import type { InstanceId } from "../types.ts";
import { TargetState } from "../types.ts";
import type { IFormationPolicy, IFormationView } from "./formation.ts";
import { isComplete } from "./presence.ts";
import type { IDomainRecord, IReplicaGroup } from "./types.ts";

/** An order and the instance it goes to. */
export interface IAddressedOrder {
  readonly instance: InstanceId;
  readonly address: string;
  readonly order: IEngineOrder;
}

/**
 * Whether engines report a group or generation that the record does not know
 * yet. A daemon that reads the record seldom learns of a change by this.
 */
export function isRecordStale(
  record: IDomainRecord,
  view: IFormationView,
): boolean {
  const generations = new Map(
    record.groups.map((group) => [group.id, group.generation]),
  );
  return view.instances.some(({ id }) => {
    const membership = view.reports.get(id)?.report.membership;
    const known = generations.get(membership?.group ?? "") ?? 0;
    return membership ? membership.generation > known : false;
  });
}

interface IOrderContext {
  readonly record: IDomainRecord;
  readonly view: IFormationView;
  readonly policy: IFormationPolicy;
  readonly addresses: ReadonlyMap<InstanceId, string>;
}

/** Orders due now; the same orders come again until reports follow them. */
export function planOrders(
  record: IDomainRecord,
  view: IFormationView,
  policy: IFormationPolicy,
): readonly IAddressedOrder[] {
  const addresses = new Map(
    view.instances.map((instance) => [instance.id, instance.address]),
  );
  const context = { record, view, policy, addresses };
  return [...planReleases(context), ...planLoads(context)];
}

/** Joins, and with what is left of the weight store's rate spares' loads. */
function planLoads(context: IOrderContext): readonly IAddressedOrder[] {
  let budget = context.policy.concurrentLoads - countLoading(context);
  const orders: IAddressedOrder[] = [];
  for (const group of inOrderOfUrgency(context)) {
    for (const member of missingMembers(group, context)) {
      const isLoad = needsLoad(member, group, context);
      if (isLoad && budget <= 0) {
        continue;
      }
      budget -= isLoad ? 1 : 0;
      orders.push(...joinOrder(member, group, context));
    }
  }
  return [...orders, ...planSpareLoads(context).slice(0, Math.max(0, budget))];
}

/**
 * Spares load the weights that most groups need before they are needed: the
 * load is by far the longest part of a group's downtime.
 */
function planSpareLoads(context: IOrderContext): readonly IAddressedOrder[] {
  const { record, view, policy, addresses } = context;
  const model = commonestModel(record);
  const taken = new Set(record.groups.flatMap((group) => group.members));
  const orders: IAddressedOrder[] = [];
  for (const [instance, address] of addresses) {
    const report = view.reports.get(instance)?.report;
    const isCold =
      report?.state === TargetState.Free &&
      report.membership === null &&
      report.model !== model;
    if (model === "" || taken.has(instance) || !isCold) {
      continue;
    }
    if (!isOrdered(instance, view)) {
      const order: IEngineOrder = {
        ...{ kind: OrderKind.Load, group: "", rank: 0, generation: 0 },
        ...{ model, members: [], epoch: record.epoch },
        validFor: policy.orderValidity,
      };
      orders.push({ instance, address, order });
    }
  }
  return orders;
}

/** The model of most groups; empty when there is no group. */
function commonestModel(record: IDomainRecord): string {
  const counts = new Map<string, number>();
  for (const { model } of record.groups) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  const ordered = [...counts].sort(([, left], [, right]) => right - left);
  return ordered[0]?.[0] ?? "";
}

/** Groups of dark services first, then by loads still to be done. */
function inOrderOfUrgency(context: IOrderContext): readonly IReplicaGroup[] {
  const { record, view, policy } = context;
  const instances = new Map(view.instances.map((entry) => [entry.id, entry]));
  const { freshness } = policy;
  const watchedSince = Number.NEGATIVE_INFINITY;
  const presence = { ...view, instances, freshness, watchedSince };
  const served = new Set(
    record.groups
      .filter((group) => isComplete(group, presence))
      .map((group) => group.service),
  );
  const urgency = (group: IReplicaGroup): number => {
    const loads = group.members.filter((member) =>
      needsLoad(member, group, context),
    ).length;
    const isServed = served.has(group.service);
    return loads + (isServed ? policy.membersPerGroup + 1 : 0);
  };
  return [...record.groups].sort(
    (left, right) => urgency(left) - urgency(right),
  );
}

function missingMembers(
  group: IReplicaGroup,
  { view }: IOrderContext,
): readonly InstanceId[] {
  return group.members.filter((member, rank) => {
    const report = view.reports.get(member)?.report;
    const isMember =
      report?.membership?.group === group.id &&
      report.membership.generation === group.generation;
    // A restarted engine is another one: it waits for its own generation.
    const isSame = report?.incarnation === group.incarnations[rank];
    return isSame && !isMember && !isOrdered(member, view);
  });
}

function needsLoad(
  member: InstanceId,
  group: IReplicaGroup,
  { view }: IOrderContext,
): boolean {
  return view.reports.get(member)?.report.model !== group.model;
}

function countLoading({ view }: IOrderContext): number {
  return view.instances.filter(({ id }) => {
    const state = view.reports.get(id)?.report.state;
    return state === TargetState.Loading || isOrdered(id, view);
  }).length;
}

/**
 * Whether the last report was asked for before the last order was through: it
 * tells nothing of what the order did, so nothing is ordered by it.
 */
function isOrdered(id: InstanceId, view: IFormationView): boolean {
  const orderedAt = view.orderedAt.get(id) ?? Number.NEGATIVE_INFINITY;
  const seenAt = view.reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
  return seenAt < orderedAt;
}

function joinOrder(
  instance: InstanceId,
  group: IReplicaGroup,
  context: IOrderContext,
): readonly IAddressedOrder[] {
  const { addresses, record, policy } = context;
  const address = addresses.get(instance);
  const members = group.members.map((id) => addresses.get(id) ?? "");
  if (address === undefined || members.includes("")) {
    return [];
  }
  const order: IEngineOrder = {
    kind: OrderKind.Join,
    group: group.id,
    rank: group.members.indexOf(instance),
    model: group.model,
    members,
    epoch: record.epoch,
    generation: group.generation,
    validFor: policy.orderValidity,
  };
  return [{ instance, address, order }];
}

/** Engines that report a group the record does not give them. */
function planReleases(context: IOrderContext): readonly IAddressedOrder[] {
  const { record, view, policy, addresses } = context;
  const taken = new Set(record.groups.flatMap((group) => group.members));
  const orders: IAddressedOrder[] = [];
  for (const [instance, address] of addresses) {
    const membership = view.reports.get(instance)?.report.membership;
    if (!membership || taken.has(instance) || isOrdered(instance, view)) {
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
      validFor: policy.orderValidity,
    };
    orders.push({ instance, address, order });
  }
  return orders;
}
