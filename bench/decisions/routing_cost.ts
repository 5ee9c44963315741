/** Processor cost of a routing decision. */
import { RunTimeEstimator } from "../../src/common/decisions/run_time_estimator.ts";
import { TargetTracker } from "../../src/common/decisions/target_tracker.ts";
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import { seededRandom } from "./simulation.ts";

const DECISIONS = 100_000;
const SEED = 4;

/** Microseconds per decision among a number of targets. */
export function measureRoutingCost(targets: number): number {
  const random = seededRandom(SEED);
  const tracker = new TargetTracker(new RunTimeEstimator());
  const states = Array.from({ length: targets }, (_, index) => ({
    id: `target-${index}`,
    reported: Math.floor(random() * 8),
    describes: 0,
  }));
  tracker.update({ targets: states, daemons: 1 }, 1_000);
  const work: IWorkItem = {
    id: "request",
    account: "desk",
    priority: 5,
    promptTokens: 300,
    askedTokens: 50,
    isCall: false,
    prefix: "prefix",
    arrivedAt: 0,
    deadline: 8_000,
  };
  const avoid = new Set<string>();
  const decide = () => tracker.choose({ work, avoid }, random);
  for (let index = 0; index < DECISIONS; index++) {
    decide();
  }
  const startedAt = performance.now();
  for (let index = 0; index < DECISIONS; index++) {
    decide();
  }
  return ((performance.now() - startedAt) * 1_000) / DECISIONS;
}
