/** Placing policies: the product's choice, baselines and an oracle. */
import { chooseGroup } from "../../src/common/calls/group_choice.ts";
import type { IKnownGroup, PlacingPolicy } from "./placing_simulation.ts";

/** Random share of the slots in a score, so that equal groups are all used. */
const RANDOM_SPREAD = 0.08;

/** Milliseconds of queued prefill that weigh as much as all slots. */
const PREFILL_SCALE = 100;

/** The product's own choice. */
export const productChoice: PlacingPolicy = (groups, options) =>
  chooseGroup(groups, { ...options, zone: "one" })?.group ?? null;

/** The product's choice without a bound on queued prefill. */
export const unboundedPrefill: PlacingPolicy = (groups, options) =>
  productChoice(groups, {
    ...options,
    prefillBudget: Number.POSITIVE_INFINITY,
  });

/** The lowest known count per slot; that of other processes is outdated. */
export const leastInFlight = lowestScore(
  (group) => inFlightOf(group) / group.slots,
);

/** Any group that is not known to be full. */
export const anyGroup = lowestScore(() => 0);

/** Knows the current requests and prompts of all processes. */
export const oracle = lowestScore(
  ({ trueInFlight, truePrefillTime, slots }) =>
    trueInFlight / slots + truePrefillTime / PREFILL_SCALE,
  ({ trueInFlight }) => trueInFlight,
);

function lowestScore(
  score: (group: IKnownGroup) => number,
  count = inFlightOf,
): PlacingPolicy {
  return (groups, { chance }) => {
    const scored = groups
      .filter((group) => count(group) < group.slots)
      .map(({ group, ...rest }) => ({
        group,
        score: score({ group, ...rest }) + chance() * RANDOM_SPREAD,
      }))
      .sort((one, other) => one.score - other.score);
    return scored[0]?.group ?? null;
  };
}

/** Requests in flight as far as a process knows. */
function inFlightOf({ ownInFlight, othersInFlight }: IKnownGroup): number {
  return ownInFlight + (othersInFlight ?? 0);
}
