/**
 * Finds the groups that engines report and a new lease holder knows nothing of.
 *
 * After a cut, engines and their entries come back one by one. A group of which
 * some members are unheard may yet be whole; given up at once, its streams
 * would be broken off for nothing, so it is waited for a little.
 */
import { MemberState } from "../calls/types.ts";
import type { IMembership, IModel } from "../calls/types.ts";
import type { MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IGroupPlan } from "./types.ts";

/**
 * How long an incomplete group waits for members not heard of, milliseconds: a
 * little longer than any engine is left unasked.
 */
const COMPLETION_TIME = 1_200;

/** A group as its members report it. */
export interface IDiscoveredGroup {
  readonly plan: IGroupPlan;
  /** In order of rank. */
  readonly members: readonly IEngineView[];
  /** Whether all members of the model's size were heard. */
  readonly isComplete: boolean;
  readonly hasHead: boolean;
  /** Whether its head takes requests. */
  readonly isOpen: boolean;
}

/** What the keeper knows of reported groups. */
export interface IKnownGroups {
  /** Whether a reported membership needs no look. */
  isKnown(membership: IMembership, askedAt: MonotonicTime): boolean;
  /** Whether a group of the name was given up before. */
  isReleased(name: string): boolean;
}

/** Remembers which incomplete groups are waited for. */
export class GroupAdoption {
  readonly #findModel: (name: string) => IModel | null;
  readonly #known: IKnownGroups;
  /** Since when members of groups that lack others were heard of. */
  readonly #incompleteSince = new Map<string, MonotonicTime>();

  constructor(model: (name: string) => IModel | null, known: IKnownGroups) {
    this.#findModel = model;
    this.#known = known;
  }

  clear(): void {
    this.#incompleteSince.clear();
  }

  /** The groups to be taken over now. */
  findAdoptable(
    views: ReadonlyMap<string, IEngineView>,
    now: MonotonicTime,
  ): readonly IDiscoveredGroup[] {
    const reported = new Map<string, IEngineView[]>();
    for (const view of views.values()) {
      const membership = view.state?.membership ?? null;
      if (membership && !this.#known.isKnown(membership, view.askedAt)) {
        const key = `${membership.group}\n${membership.epoch}`;
        reported.set(key, [...(reported.get(key) ?? []), view]);
      }
    }
    const isUnheard = [...views.values()].some(mayBeHeardOf);
    return [...reported.values()]
      .flatMap((members) => this.#discoveredGroup(members))
      .filter(
        (found) => found.isComplete || !this.#isAwaited(found, isUnheard, now),
      );
  }

  #discoveredGroup(
    members: readonly IEngineView[],
  ): readonly IDiscoveredGroup[] {
    const sorted = [...members].sort((one, other) => rank(one) - rank(other));
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
    const isWhole =
      sorted.length === (this.#findModel(model)?.size ?? 0) &&
      sorted.every((view, index) => rank(view) === index);
    return [
      {
        plan,
        members: sorted,
        isComplete: isWhole,
        hasHead: rank(first) === 0,
        isOpen: membership.state === MemberState.Open,
      },
    ];
  }

  /** Whether the members that an incomplete group lacks may yet be heard of. */
  #isAwaited(
    { plan }: IDiscoveredGroup,
    isUnheard: boolean,
    now: MonotonicTime,
  ): boolean {
    const since = this.#incompleteSince.get(plan.group) ?? now;
    this.#incompleteSince.set(plan.group, since);
    const isNew = !this.#known.isReleased(plan.group);
    const isAwaited = isNew && isUnheard && now - since < COMPLETION_TIME;
    if (!isAwaited) {
      this.#incompleteSince.delete(plan.group);
    }
    return isAwaited;
  }
}

/** One that is silent while its zone answers has ended. */
function mayBeHeardOf(view: IEngineView): boolean {
  const isUnasked = view.state === null && !view.isSilent;
  return view.isListed && (view.isUnreachable || isUnasked);
}

function rank(view: IEngineView): number {
  return view.state?.membership?.rank ?? Number.MAX_SAFE_INTEGER;
}
