/**
 * Determines which replica groups may serve. A group serves only while every
 * member has reported the same group and generation within the freshness bound:
 * a group without one of its members would accept requests that it can never
 * complete.
 */
import type {
  IInstance,
  InstanceId,
  ITimestampedReport,
  MonotonicTime,
} from "../types.ts";
import { InstanceState, TargetState } from "../types.ts";
import type { IReplicaGroup } from "./types.ts";

/** The state that presence depends on. */
export interface IPresenceView {
  readonly instances: ReadonlyMap<InstanceId, IInstance>;
  readonly reports: ReadonlyMap<InstanceId, ITimestampedReport>;
  readonly now: MonotonicTime;
  /** Maximum age of a report, milliseconds. */
  readonly freshness: number;
  /** Since when this daemon has received reports without a pause. */
  readonly watchedSince: MonotonicTime;
}

/** Whether every member is present, ready and in exactly this generation. */
export function isComplete(group: IReplicaGroup, view: IPresenceView): boolean {
  return group.members.every((_, rank) => isPresent(group, rank, view));
}

/**
 * Whether a report is fresh. One from before a pause of this daemon ages from
 * the end of the pause.
 */
export function isFresh(
  { seenAt }: ITimestampedReport,
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
