/** Ways to place, to compare with. */
import { chooseGroup } from "../../src/common/calls/group_choice.ts";
import type { IKnownGroup, PlacingPolicy } from "./placing_simulation.ts";

/** Share of the slots that chance adds, so that equals are all taken. */
const RANDOM_SPREAD = 0.08;

/** Milliseconds of unread prompts that weigh as much as all slots. */
const PREFILL_SCALE = 100;

/** The product's own choice. */
export const productChoice: PlacingPolicy = (groups, options) =>
  chooseGroup(groups, { ...options, zone: "one" })?.group ?? null;

/** The same, however many prompts are unread. */
export const unboundedPrefill: PlacingPolicy = (groups, options) =>
  productChoice(groups, {
    ...options,
    prefillBudget: Number.POSITIVE_INFINITY,
  });

/** The lowest of all known counts, the others' some time old. */
export const leastInFlight = lowestScore(
  (group) => inFlightOf(group) / group.slots,
);

/** Any group that is not known to be full. */
export const anyGroup = lowestScore(() => 0);

/** Knows all requests and prompts of all processes at each moment. */
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

/** Requests by the counts that a process has. */
function inFlightOf({ ownInFlight, othersInFlight }: IKnownGroup): number {
  return ownInFlight + (othersInFlight ?? 0);
}
