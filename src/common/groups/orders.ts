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
  return [...planReleases(context), ...planJoins(context)];
}

function planJoins(context: IOrderContext): readonly IAddressedOrder[] {
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
  return orders;
}

/** Groups of dark services first, then by loads still to be done. */
function inOrderOfUrgency(context: IOrderContext): readonly IReplicaGroup[] {
  const { record, view, policy } = context;
  const instances = new Map(view.instances.map((entry) => [entry.id, entry]));
  const presence = { ...view, instances, freshness: policy.freshness };
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
