/**
 * How many groups of each model the instances should make.
 *
 * Pattern of load: the demand for one model grows, or instances are lost,
 * while the other model's groups are easier to form. A rule that forms
 * whatever fits lets the model with the small groups eat the instances that
 * the other needs in one place; one would notice by a queue for the large
 * model beside idle groups of the small one.
 *
 * The number that gives all models the same load a slot is proportional to
 * their demand, as far as the instances go.
 */
import type { IModel } from "../calls/types.ts";

/** Busy groups that each model counts for without calls, by its share. */
const STANDING_DEMAND = 0.2;

/**
 * Groups by model; fractions, since rounding depends on what is asked.
 *
 * @param demand - groups that the calls keep busy, by model
 * @param instances - how many may be in groups
 */
export function idealGroupCounts(
  models: readonly IModel[],
  demand: ReadonlyMap<string, number>,
  instances: number,
): ReadonlyMap<string, number> {
  const weights = new Map<string, number>();
  let cost = 0;
  for (const model of models) {
    const weight =
      (demand.get(model.name) ?? 0) + model.share * STANDING_DEMAND;
    weights.set(model.name, weight);
    cost += weight * model.size;
  }
  const groups = new Map<string, number>();
  for (const [name, weight] of weights) {
    groups.set(name, cost === 0 ? 0 : (weight * instances) / cost);
  }
  return groups;
}
