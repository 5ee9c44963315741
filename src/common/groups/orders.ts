/**
 * Plans the orders that bring engines in line with the record.
 *
 * The weight store is rate-limited: if all engines of a domain loaded at once
 * after an outage, each load would get a share of the rate and no group would
 * serve until the last load was done. Loads are therefore queued: services
 * without a complete group first, then groups that need the fewest loads.
 */
import { OrderKind } from "../services/services.ts";
import type { IEngineOrder } from "../services/services.ts";
import type { InstanceId } from "../types.ts";
import { TargetState } from "../types.ts";
import type { IFormationPolicy, IFormationView } from "./formation.ts";
import { isComplete } from "./presence.ts";
import type { IDomainRecord, IReplicaGroup } from "./types.ts";

/** An order and the instance to send it to. */
export interface IInstanceOrder {
  readonly instance: InstanceId;
  readonly address: string;
  readonly order: IEngineOrder;
}

/**
 * Whether engines report a group or generation newer than the record. A daemon
 * that reads the record seldom detects a change by this.
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

/** The orders due now; each is repeated until the reports follow it. */
export function planOrders(
  record: IDomainRecord,
  view: IFormationView,
  policy: IFormationPolicy,
): readonly IInstanceOrder[] {
  const addresses = new Map(
    view.instances.map((instance) => [instance.id, instance.address]),
  );
  const context = { record, view, policy, addresses };
  return [...planReleases(context), ...planJoinsAndLoads(context)];
}

/**
 * Join orders, then load orders for spares within the remaining load budget.
 */
function planJoinsAndLoads(context: IOrderContext): readonly IInstanceOrder[] {
  let budget = context.policy.concurrentLoads - countLoading(context);
  const orders: IInstanceOrder[] = [];
  for (const group of byUrgency(context)) {
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
 * Load orders for spares: they load the weights that most groups use before
 * they are needed, since the load is by far the longest part of a group's
 * downtime.
 */
function planSpareLoads(context: IOrderContext): readonly IInstanceOrder[] {
  const { record, view, policy, addresses } = context;
  const model = mostCommonModel(record);
  const assigned = new Set(record.groups.flatMap((group) => group.members));
  const orders: IInstanceOrder[] = [];
  for (const [instance, address] of addresses) {
    const report = view.reports.get(instance)?.report;
    const isCold =
      report?.state === TargetState.Free &&
      report.membership === null &&
      report.model !== model;
    if (model === "" || assigned.has(instance) || !isCold) {
      continue;
    }
    if (!hasUnreportedOrder(instance, view)) {
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

/** The model of most groups; empty when there are none. */
function mostCommonModel(record: IDomainRecord): string {
  const counts = new Map<string, number>();
  for (const { model } of record.groups) {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  const ordered = [...counts].sort(([, left], [, right]) => right - left);
  return ordered[0]?.[0] ?? "";
}

/**
 * Groups of services without a complete group first, then by the loads still
 * needed.
 */
function byUrgency(context: IOrderContext): readonly IReplicaGroup[] {
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
  const sortKey = (group: IReplicaGroup): number => {
    const loads = group.members.filter((member) =>
      needsLoad(member, group, context),
    ).length;
    const isServed = served.has(group.service);
    return loads + (isServed ? policy.membersPerGroup + 1 : 0);
  };
  return [...record.groups].sort(
    (left, right) => sortKey(left) - sortKey(right),
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
    // A restarted engine must wait for the group's next generation.
    const isSame = report?.incarnation === group.incarnations[rank];
    return isSame && !isMember && !hasUnreportedOrder(member, view);
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
    return state === TargetState.Loading || hasUnreportedOrder(id, view);
  }).length;
}

/**
 * Whether the last report was requested before the last order completed. It
 * does not show that order's effect, so no order is based on it.
 */
function hasUnreportedOrder(id: InstanceId, view: IFormationView): boolean {
  const orderedAt = view.orderedAt.get(id) ?? Number.NEGATIVE_INFINITY;
  const seenAt = view.reports.get(id)?.seenAt ?? Number.NEGATIVE_INFINITY;
  return seenAt < orderedAt;
}

function joinOrder(
  instance: InstanceId,
  group: IReplicaGroup,
  context: IOrderContext,
): readonly IInstanceOrder[] {
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

/**
 * Release orders for engines that report a group but are in no group of the
 * record.
 */
function planReleases(context: IOrderContext): readonly IInstanceOrder[] {
  const { record, view, policy, addresses } = context;
  const assigned = new Set(record.groups.flatMap((group) => group.members));
  const orders: IInstanceOrder[] = [];
  for (const [instance, address] of addresses) {
    const membership = view.reports.get(instance)?.report.membership;
    if (
      !membership ||
      assigned.has(instance) ||
      hasUnreportedOrder(instance, view)
    ) {
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
