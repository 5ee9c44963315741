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
  /** Since when reports could be heard without a pause of this daemon. */
  readonly watchedSince: MonotonicTime;
}

/** Whether every member is present, ready and in this very generation. */
export function isComplete(group: IReplicaGroup, view: IPresenceView): boolean {
  return group.members.every((_, rank) => isPresent(group, rank, view));
}

/** A report from before a pause of this daemon ages from the pause's end. */
export function isFresh(
  { seenAt }: ISeenReport,
  {
    now,
    freshness,
    watchedSince,
  }: Pick<IPresenceView, "now" | "freshness" | "watchedSince">,
): boolean {
  return now - Math.max(seenAt, watchedSince) <= freshness;
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
    isFresh(seen, view) &&
    state === TargetState.Ready &&
    incarnation === group.incarnations[rank] &&
    membership?.group === group.id &&
    membership.generation === group.generation
  );
}
