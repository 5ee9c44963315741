/**
 * One replica group from the first order to join until its members are free:
 * what is known of its members, and the next orders.
 */
import { MemberState } from "../calls/types.ts";
import type { IMembership } from "../calls/types.ts";
import type { DomainName, InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IGroupPlan } from "./types.ts";

/** Where a group stands. */
export enum GroupPhase {
  /** Its members join and load. */
  Forming = "forming",
  /** All members are ready; the head is told to open. */
  Opening = "opening",
  Serving = "serving",
  /** A member leaves: the head takes nothing new and finishes. */
  Closing = "closing",
  /** The head is told to leave; then the members are free. */
  Dissolving = "dissolving",
}

/** Why a group does not stay as it is. */
export enum GroupTrouble {
  MemberSilent = "member_silent",
  MemberGone = "member_gone",
  MemberRestarted = "member_restarted",
  MemberElsewhere = "member_elsewhere",
  MemberDraining = "member_draining",
  HeadBroken = "head_broken",
  Incomplete = "incomplete",
  TooSlow = "too_slow",
  OrderRefused = "order_refused",
  /** One far slower than its peers holds the others back. */
  MemberSlow = "member_slow",
  /** Nothing is wrong: its members are needed for another model. */
  Reassigned = "turned_over",
}

/** A group as the lease holder keeps it. */
export interface IReplicaGroup {
  readonly plan: IGroupPlan;
  readonly domain: DomainName;
  /** Start of each member's process when it was planned. */
  readonly starts: ReadonlyMap<InstanceId, number>;
  phase: GroupPhase;
  phaseSince: MonotonicTime;
  /** Members that have accepted the order to join, and when. */
  readonly joined: Map<InstanceId, MonotonicTime>;
  trouble: GroupTrouble | null;
  /** Null where the head was never seen. */
  readonly head: InstanceId | null;
  /** When the head acknowledged the order to open; null before. */
  openedAt: MonotonicTime | null;
  /** Whether the head acknowledged the order to leave, which acts at once. */
  hasLeft: boolean;
}

/** The membership that an engine reports, if it is of this group. */
export function membershipIn(
  group: IReplicaGroup,
  view: IEngineView | undefined,
): IMembership | null {
  const membership = view?.state?.membership ?? null;
  const { plan } = group;
  const isSame =
    membership !== null &&
    membership.group === plan.group &&
    membership.epoch === plan.epoch;
  return isSame ? membership : null;
}

/** Whether a report shows a member as ready, asked for after it had joined. */
export function isReady(
  group: IReplicaGroup,
  member: InstanceId,
  view: IEngineView | undefined,
): boolean {
  const joinedAt = group.joined.get(member);
  const state = membershipIn(group, view)?.state;
  return (
    view !== undefined &&
    joinedAt !== undefined &&
    view.askedAt >= joinedAt &&
    (state === MemberState.Ready || state === MemberState.Open)
  );
}

/**
 * What is wrong with a member; null when nothing is.
 *
 * @param reportLag - milliseconds by which a report describes the past: one
 *   asked for just after the order to join may not show it yet
 */
export function troubleOf(
  group: IReplicaGroup,
  member: InstanceId,
  seen: {
    readonly view: IEngineView | undefined;
    readonly reportLag: number;
  },
): GroupTrouble | null {
  const { view, reportLag } = seen;
  if (view?.isUnreachable) {
    return null;
  }
  if (view === undefined || (!view.isListed && view.isSilent)) {
    return GroupTrouble.MemberGone;
  }
  if (view.isSilent) {
    return GroupTrouble.MemberSilent;
  }
  if (view.startedAt !== group.starts.get(member)) {
    return GroupTrouble.MemberRestarted;
  }
  const joinedAt = group.joined.get(member);
  const hasReported =
    joinedAt !== undefined && view.askedAt > joinedAt + reportLag;
  if (hasReported && membershipIn(group, view) === null) {
    return GroupTrouble.MemberElsewhere;
  }
  if (membershipIn(group, view)?.state === MemberState.Broken) {
    return GroupTrouble.HeadBroken;
  }
  // One that leaves the list but answers goes on serving for a while: given up
  // at once, its group would break off streams that it could finish.
  const isLeaving = view.isDraining || !view.isListed;
  return isLeaving ? GroupTrouble.MemberDraining : null;
}
