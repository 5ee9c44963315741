/**
 * One replica group from the first order to join until its members are free:
 * what is known of its members, and what is wrong with them.
 */
import { GroupMemberState } from "../calls/types.ts";
import type { IMembership } from "../calls/types.ts";
import type { DomainName, InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { HeadRelease } from "./head_release.ts";
import type { IGroupPlan } from "./types.ts";

/** Lifecycle phase of a group. */
export enum GroupPhase {
  /** Its members join and load. */
  Forming = "forming",
  /** All members are ready; the head is ordered to open. */
  Opening = "opening",
  Serving = "serving",
  /**
   * Its head was closed without an order of this process: it finishes its
   * requests and is ordered to open.
   */
  Reopening = "reopening",
  /**
   * A member leaves: the head takes no new requests and finishes its running
   * ones.
   */
  Closing = "closing",
  /** The head is ordered to leave; then the members are free. */
  Dissolving = "dissolving",
}

/** Whether a group in this phase takes requests, or may still run some. */
export function hasRequests(phase: GroupPhase): boolean {
  return (
    phase === GroupPhase.Serving ||
    phase === GroupPhase.Reopening ||
    phase === GroupPhase.Closing
  );
}

/** Why a group cannot continue as it is. */
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
  /** A member far slower than its peers holds the others back. */
  MemberSlow = "member_slow",
  /** Not a fault: its members are needed for another model. */
  Reassigned = "turned_over",
}

/** A group as managed by the lease holder. */
export interface IManagedGroup {
  readonly plan: IGroupPlan;
  readonly domain: DomainName;
  /** Start of each member's process, calendar milliseconds, as of the plan. */
  readonly starts: ReadonlyMap<InstanceId, number>;
  phase: GroupPhase;
  phaseSince: MonotonicTime;
  /** When each member accepted the order to join. */
  readonly joined: Map<InstanceId, MonotonicTime>;
  trouble: GroupTrouble | null;
  /** Null if the head was never seen. */
  readonly head: InstanceId | null;
  /** When the head acknowledged the order to open; null before. */
  openedAt: MonotonicTime | null;
  /** What releases its members while it is dissolved; null before. */
  release: HeadRelease | null;
}

/** Returns the membership that an engine reports, if it is of this group. */
export function membershipIn(
  group: IManagedGroup,
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

/** Whether a report requested after a member joined shows it as ready. */
export function isReady(
  group: IManagedGroup,
  member: InstanceId,
  view: IEngineView | undefined,
): boolean {
  const joinedAt = group.joined.get(member);
  const state = membershipIn(group, view)?.state;
  return (
    view?.isConfirmed === true &&
    joinedAt !== undefined &&
    view.askedAt >= joinedAt &&
    (state === GroupMemberState.Ready || state === GroupMemberState.Open)
  );
}

/**
 * Returns what is wrong with a member; null if nothing is.
 *
 * @param reportLag - milliseconds by which reports lag behind: one requested
 *   just after the order to join may not show it yet
 */
export function troubleOf(
  group: IManagedGroup,
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
  if (membershipIn(group, view)?.state === GroupMemberState.Broken) {
    return GroupTrouble.HeadBroken;
  }
  // A member that leaves the list but answers keeps serving for a while. If its
  // group were abandoned at once, streams that it could finish would be
  // interrupted.
  const isLeaving = view.isDraining || !view.isListed;
  return isLeaving ? GroupTrouble.MemberDraining : null;
}
