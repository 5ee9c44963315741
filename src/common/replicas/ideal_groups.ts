/**
 * Computes how many groups of each model the instances should form.
 *
 * When the demand for one model grows, or instances are lost, groups of the
 * other model may be easier to form. Forming whatever fits would let the model
 * with small groups take the instances that the other needs in one place, and
 * calls for the large model would queue while groups of the small one are idle.
 *
 * The number that gives all models the same load per slot is proportional to
 * their demand, as far as the instances suffice.
 */
import type { IModel } from "../calls/types.ts";

/**
 * Busy groups added to each model's demand, multiplied by its share, so that a
 * model without calls counts as well.
 */
const BASE_DEMAND = 0.2;

/**
 * Returns the number of groups by model, not rounded, since how to round
 * depends on the caller.
 *
 * @param demand - groups that the calls keep busy, by model
 * @param instances - number of instances that may be in groups
 */
export function idealGroupCounts(
  models: readonly IModel[],
  demand: ReadonlyMap<string, number>,
  instances: number,
): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  let cost = 0;
  for (const model of models) {
    const weight = (demand.get(model.name) ?? 0) + model.share * BASE_DEMAND;
    weights.set(model.name, weight);
    cost += weight * model.size;
  }
  const groups = new Map<string, number>();
  for (const [name, weight] of weights) {
    groups.set(name, cost === 0 ? 0 : (weight * instances) / cost);
  }
  return groups;
}
