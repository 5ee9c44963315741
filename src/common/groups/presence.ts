/**
 * Which replica groups may serve. A group serves only while every member has
 * reported, within a freshness bound, the same group and generation: a group
 * that has lost a member would accept work that it can never finish.
 */
import type {
  IInstance,
  InstanceId,
  ISeenReport,
  MonotonicTime,
} from "../types.ts";
import { InstanceState, TargetState } from "../types.ts";
import type { IReplicaGroup } from "./types.ts";

/** What presence is judged by. */
export interface IPresenceView {
  readonly instances: ReadonlyMap<InstanceId, IInstance>;
  readonly reports: ReadonlyMap<InstanceId, ISeenReport>;
  readonly now: MonotonicTime;
  /** Oldest report that counts, milliseconds. */
  readonly freshness: number;
}

/** Whether every member is present, ready and in this very generation. */
export function isComplete(group: IReplicaGroup, view: IPresenceView): boolean {
  return group.members.every((_, rank) => isPresent(group, rank, view));
}

function isPresent(
  group: IReplicaGroup,
  rank: number,
  view: IPresenceView,
): boolean {
  const member = group.members[rank] ?? "";
  const seen = view.reports.get(member);
  const instance = view.instances.get(member);
  if (seen === undefined || instance?.state !== InstanceState.Live) {
    return false;
  }
  const { incarnation, membership, state } = seen.report;
  return (
    view.now - seen.seenAt <= view.freshness &&
    state === TargetState.Ready &&
    incarnation === group.incarnations[rank] &&
    membership?.group === group.id &&
    membership.generation === group.generation
  );
}
