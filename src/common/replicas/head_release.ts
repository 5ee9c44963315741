/** Decides when the head of a group that is dissolved serves it no more. */
import { GroupMemberState } from "../calls/types.ts";
import type { MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import { membershipIn } from "./replica_group.ts";
import type { IManagedGroup } from "./replica_group.ts";

/** Why the head of a group is considered to serve it no more. */
export enum HeadRelease {
  /** It acknowledged the order to leave, which acts at once. */
  Left = "left",
  /** It reports that it is broken or no longer in the group. */
  Reported = "reported",
  /** It has not been listed for so long that it is dead or broken. */
  Unknown = "unknown",
  /** The platform has dropped it, and it does not answer this process. */
  Ended = "ended",
}

/** Milliseconds. */
export interface IReleaseTiming {
  /** Time after which a head that is not listed counts as broken. */
  readonly brokenAfter: number;
  /** How far reports lag behind. */
  readonly reportLag: number;
}

/**
 * Returns why the head of a dissolving group serves it no more, or null while
 * it may.
 *
 * @param head - null where no such engine is known
 */
export function findHeadRelease(
  group: IManagedGroup,
  head: IEngineView | null,
  at: { readonly now: MonotonicTime; readonly timing: IReleaseTiming },
): HeadRelease | null {
  const { now, timing } = at;
  if (group.hasLeft) {
    return HeadRelease.Left;
  }
  if (head === null) {
    // It may be alive and return to the list at any moment.
    const isOverdue = now - group.phaseSince > timing.brokenAfter;
    return isOverdue ? HeadRelease.Unknown : null;
  }
  if (head.askedAt > group.phaseSince + timing.reportLag) {
    const member = membershipIn(group, head);
    const isStopped =
      member === null || member.state === GroupMemberState.Broken;
    return isStopped ? HeadRelease.Reported : null;
  }
  const hasEnded = !head.isListed && head.isSilent && !head.isUnreachable;
  return hasEnded ? HeadRelease.Ended : null;
}
