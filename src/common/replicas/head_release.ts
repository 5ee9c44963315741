/**
 * Decides when the members of a group that is dissolved may join another.
 *
 * A head takes requests until it leaves or breaks, and it breaks only some time
 * after it has lost a member. So its members are free once it is known to have
 * stopped. A head that no order can reach may still serve: then each member is
 * ordered to leave.
 */
import { GroupMemberState } from "../calls/types.ts";
import type { MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { isObserved } from "./released_groups.ts";
import { membershipIn } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";

/** What releases the members of a group from its head. */
export enum HeadRelease {
  /** It acknowledged the order to leave, which acts at once. */
  Left = "left",
  /** It reports that it is broken or no longer in the group. */
  Reported = "reported",
  /** It is not listed and never was while this process held the lease. */
  Unknown = "unknown",
  /** The platform has dropped it, and it does not answer this process. */
  Silent = "silent",
}

/**
 * Whether the head of a group has stopped for certain, so that its members are
 * free. One that has restarted since, or may have unseen, counts its orders from
 * zero: its first ones, carried out late, may open it again.
 */
export function hasStopped(
  { release, starts }: IManagedGroup,
  head: IEngineView | null,
): boolean {
  const isKnown =
    release === HeadRelease.Left || release === HeadRelease.Reported;
  return (
    isKnown && isObserved(head) && head.startedAt === starts.get(head.target.id)
  );
}

/** Milliseconds. */
export interface IReleaseTiming {
  /** How long a head that is not listed may return and serve again. */
  readonly returnTime: number;
  /** How far reports lag behind. */
  readonly reportLag: number;
}

/** State that the decision depends on. */
export interface IReleaseState {
  /** Null where no such engine is known. */
  readonly head: IEngineView | null;
  /** Whether the head acknowledged the order to leave. */
  readonly hasLeft: boolean;
  readonly now: MonotonicTime;
  readonly timing: IReleaseTiming;
}

/**
 * Returns what releases the members of a dissolving group, or null while the
 * head can be ordered to leave or is waited for.
 */
export function findHeadRelease(
  group: IManagedGroup,
  { head, hasLeft, now, timing }: IReleaseState,
): HeadRelease | null {
  if (hasLeft) {
    return HeadRelease.Left;
  }
  if (head === null) {
    const isOverdue = now - group.phaseSince > timing.returnTime;
    return isOverdue ? HeadRelease.Unknown : null;
  }
  const hasReported = head.askedAt > group.phaseSince + timing.reportLag;
  const member = membershipIn(group, head);
  const hasStopped =
    member === null || member.state === GroupMemberState.Broken;
  if (hasReported && hasStopped) {
    return HeadRelease.Reported;
  }
  const isOutOfReach = !head.isListed && head.isSilent && !head.isUnreachable;
  return isOutOfReach ? HeadRelease.Silent : null;
}
