/**
 * Builds the table of groups that take requests, as sent to other processes.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { ServiceName } from "../types.ts";
import type { EngineViews } from "./group_controller.ts";
import { GroupPhase, hasRequests } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";

/** Values that all groups of the table share. */
export interface IServingTableOptions {
  readonly service: ServiceName;
  readonly slots: number;
}

/**
 * Includes serving groups, and those that only finish their running requests.
 */
export function buildServingTable(
  groups: readonly IManagedGroup[],
  views: EngineViews,
  options: IServingTableOptions,
): readonly IServingGroup[] {
  return groups.flatMap((group) => entryOf(group, views, options));
}

function entryOf(
  { plan, head, phase }: IManagedGroup,
  views: EngineViews,
  { service, slots }: IServingTableOptions,
): readonly IServingGroup[] {
  const view = views.get(head ?? "");
  if (view === undefined || !hasRequests(phase)) {
    return [];
  }
  const { id, address, zone } = view.target;
  const members = plan.members.map((member) => views.get(member));
  return [
    {
      group: plan.group,
      service,
      model: plan.model,
      head: { id, address },
      zone,
      slots,
      takesWork: phase === GroupPhase.Serving,
      pace: Math.max(...members.map((member) => member?.pace ?? 1)),
      isZoneOnly: members.some((member) => member?.isUnreachable),
    },
  ];
}
