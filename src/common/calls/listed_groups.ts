/**
 * The open groups according to the platform's list alone, which a process uses
 * while it receives nothing from the lease holder. The list lags by a second or
 * more.
 */
import type { IServingGroup } from "./serving_groups.ts";
import { ListedState, GroupMemberState } from "./types.ts";
import type { IEngineProfile, IListedTarget } from "./types.ts";

/** Groups whose head reports open and whose members are all listed. */
export function listedGroups(
  targets: readonly IListedTarget[],
  engine: IEngineProfile,
): readonly IServingGroup[] {
  const members = new Map<string, number>();
  for (const { engine: state, state: listed } of targets) {
    const group = state.membership?.group;
    if (group !== undefined && listed === ListedState.Ready) {
      members.set(group, (members.get(group) ?? 0) + 1);
    }
  }
  return targets.flatMap((target) => {
    const { membership, model } = target.engine;
    const isHead =
      membership?.rank === 0 &&
      membership.state === GroupMemberState.Open &&
      target.state === ListedState.Ready;
    const size = engine.models.find(({ name }) => name === model)?.size;
    if (!isHead || model === null || members.get(membership.group) !== size) {
      return [];
    }
    return [
      {
        group: membership.group,
        service: target.service,
        model,
        head: { id: target.id, address: target.address },
        zone: target.zone,
        slots: engine.slots,
        takesWork: true,
        pace: 1,
        isZoneOnly: false,
      },
    ];
  });
}
