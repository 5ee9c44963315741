/**
 * Finds serving groups whose head takes no requests any more, and decides when
 * it can be opened again.
 *
 * A former holder's order to close may be carried out after this process has
 * found the group open. Nothing else opens the head again: it would refuse all
 * requests of the group for as long as its members are well.
 */
import { GroupMemberState } from "../calls/types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IDiscoveredGroup } from "./group_adoption.ts";
import { GroupPhase, isReady, membershipIn } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";

/**
 * Whether a report shows that the head of a serving group is not open. One
 * requested too soon after the group began to serve proves nothing.
 *
 * @param reportLag - milliseconds by which reports lag behind
 */
export function isHeadClosed(
  group: IManagedGroup,
  head: IEngineView | undefined,
  reportLag: number,
): boolean {
  const state = membershipIn(group, head)?.state;
  if (head === undefined || state === undefined) {
    return false;
  }
  const isRecent = head.askedAt > group.phaseSince + reportLag;
  return isRecent && state !== GroupMemberState.Open;
}

/**
 * Whether to order the head to open again: it has finished its requests, no
 * member is loading, and it has not accepted that order since it was closed.
 */
export function canReopen(
  group: IManagedGroup,
  views: ReadonlyMap<string, IEngineView>,
): boolean {
  const { members } = group.plan;
  return (
    group.openedAt === null &&
    members.every((member) => isReady(group, member, views.get(member)))
  );
}

/**
 * The phase in which a group is adopted. One whose head closes still runs
 * requests, which would be cut off if it were dissolved.
 */
export function phaseOfAdopted({
  isComplete,
  state,
}: IDiscoveredGroup): GroupPhase {
  if (isComplete && state === GroupMemberState.Open) {
    return GroupPhase.Serving;
  }
  return isComplete && state === GroupMemberState.Closing
    ? GroupPhase.Reopening
    : GroupPhase.Dissolving;
}
