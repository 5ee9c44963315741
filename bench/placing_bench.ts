/**
 * Share of late first events by placing policy: the product's choice, the same
 * without a bound on queued prefill, the least in flight by outdated counts,
 * any group, and an oracle.
 */
import { prefillBoundCase, largeCase, smallCase } from "./placing/cases.ts";
import {
  anyGroup,
  leastInFlight,
  oracle,
  productChoice,
  unboundedPrefill,
} from "./placing/policies.ts";
import { simulatePlacing } from "./placing/placing_simulation.ts";
import type {
  IPlacingCase,
  PlacingPolicy,
} from "./placing/placing_simulation.ts";

const LOADS = [0.5, 0.7, 0.85, 0.9];
const SEEDS = [1, 2, 3, 4];
const PERCENT = 100;

const POLICIES: readonly [string, PlacingPolicy][] = [
  ["spread_own", productChoice],
  ["unbounded_reading", unboundedPrefill],
  ["least_in_flight", leastInFlight],
  ["any_group", anyGroup],
  ["oracle", oracle],
];

/** Prints the late share of every policy, and its ratio to the baseline's. */
export function run(): Promise<void> {
  const calm = LOADS.flatMap((load) => [smallCase(load), largeCase(load)]);
  for (const scenario of [...calm, prefillBoundCase()]) {
    const late = POLICIES.map(([name, policy]) => ({
      name,
      share: lateShare(scenario, policy),
    }));
    const [own, , baseline] = late;
    const ratio = (own?.share ?? 0) / (baseline?.share ?? 1);
    console.log(
      `${scenario.name}: late, of the baseline's ${ratio.toFixed(2)}`,
    );
    for (const { name, share } of late) {
      console.log(`  ${name} ${(share * PERCENT).toFixed(1)} % late`);
    }
  }
  return Promise.resolve();
}

function lateShare(scenario: IPlacingCase, policy: PlacingPolicy): number {
  const shares = SEEDS.map((seed) => simulatePlacing(scenario, policy, seed));
  return shares.reduce((sum, share) => sum + share, 0) / SEEDS.length;
}
