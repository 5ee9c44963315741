/**
 * Finds groups that engines report and a new lease holder does not know.
 *
 * After a network cut, engines and their entries return one by one. A group
 * with members that have not reported yet may still be complete. If it were
 * abandoned at once, its streams would be interrupted for nothing, so it is
 * given a short time.
 */
import type { GroupMemberState } from "../calls/types.ts";
import type { IModel } from "../calls/types.ts";
import type { MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IGroupPlan } from "./types.ts";

/**
 * How long an incomplete group waits for members that have not reported,
 * milliseconds: slightly longer than any engine goes without being polled.
 */
const COMPLETION_TIME = 1_200;

/** A group as reported by its members. */
export interface IDiscoveredGroup {
  readonly plan: IGroupPlan;
  /** In order of rank. */
  readonly members: readonly IEngineView[];
  /** Whether all members that the model's size requires have reported. */
  readonly isComplete: boolean;
  readonly hasHead: boolean;
  /** As its member of the lowest rank reports, the head if that has reported. */
  readonly state: GroupMemberState;
}

/** What the controller knows of reported groups. */
export interface IKnownGroups {
  /** Whether the membership that an engine reports needs no action. */
  isKnown(view: IEngineView): boolean;
  /** Whether a group of this name was abandoned before. */
  isReleased(name: string): boolean;
}

/** Tracks incomplete groups until they are adopted. */
export class GroupAdoption {
  readonly #findModel: (name: string) => IModel | null;
  readonly #known: IKnownGroups;
  /** When members of each incomplete group first reported. */
  readonly #incompleteSince = new Map<string, MonotonicTime>();

  constructor(findModel: (name: string) => IModel | null, known: IKnownGroups) {
    this.#findModel = findModel;
    this.#known = known;
  }

  clear(): void {
    this.#incompleteSince.clear();
  }

  /** Returns the groups to adopt now. */
  findAdoptable(
    views: ReadonlyMap<string, IEngineView>,
    now: MonotonicTime,
  ): readonly IDiscoveredGroup[] {
    const reported = new Map<string, IEngineView[]>();
    for (const view of views.values()) {
      const membership = view.state?.membership ?? null;
      if (membership && view.isConfirmed && !this.#known.isKnown(view)) {
        const key = `${membership.group}\n${membership.epoch}`;
        reported.set(key, [...(reported.get(key) ?? []), view]);
      }
    }
    const isReportPending = [...views.values()].some(mayStillReport);
    return [...reported.values()]
      .flatMap((members) => this.#discoveredGroup(members))
      .filter(
        (found) =>
          found.isComplete || !this.#isAwaited(found, isReportPending, now),
      );
  }

  #discoveredGroup(
    members: readonly IEngineView[],
  ): readonly IDiscoveredGroup[] {
    const sorted = [...members].sort(
      (one, other) => rankOf(one) - rankOf(other),
    );
    const [first] = sorted;
    const membership = first?.state?.membership;
    if (first === undefined || !membership) {
      return [];
    }
    const model = sorted.find(({ state }) => state?.model)?.state?.model ?? "";
    const plan: IGroupPlan = {
      group: membership.group,
      epoch: membership.epoch,
      model,
      members: sorted.map(({ target }) => target.id),
    };
    const isComplete =
      sorted.length === (this.#findModel(model)?.size ?? 0) &&
      sorted.every((view, index) => rankOf(view) === index);
    return [
      {
        plan,
        members: sorted,
        isComplete,
        hasHead: rankOf(first) === 0,
        state: membership.state,
      },
    ];
  }

  /** Whether the missing members of an incomplete group may still report. */
  #isAwaited(
    { plan }: IDiscoveredGroup,
    isReportPending: boolean,
    now: MonotonicTime,
  ): boolean {
    const since = this.#incompleteSince.get(plan.group) ?? now;
    this.#incompleteSince.set(plan.group, since);
    const isNew = !this.#known.isReleased(plan.group);
    const isAwaited = isNew && isReportPending && now - since < COMPLETION_TIME;
    if (!isAwaited) {
      this.#incompleteSince.delete(plan.group);
    }
    return isAwaited;
  }
}

/**
 * Whether an engine may still report a membership. One that is silent while its
 * zone answers has ended.
 */
function mayStillReport(view: IEngineView): boolean {
  const isUnpolled = view.state === null && !view.isSilent;
  return view.isListed && (view.isUnreachable || isUnpolled);
}

function rankOf(view: IEngineView): number {
  return view.state?.membership?.rank ?? Number.MAX_SAFE_INTEGER;
}
