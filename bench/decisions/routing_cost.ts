/** What one routing decision costs. */
import { RunTimeEstimator } from "../../src/common/decisions/run_time_estimator.ts";
import { TargetTracker } from "../../src/common/decisions/target_tracker.ts";
import type { IWorkItem } from "../../src/common/decisions/work_item.ts";
import { seeded } from "./world.ts";

const DECISIONS = 100_000;
const SEED = 4;

/** Microseconds for one decision over so many targets. */
export function routingCost(targets: number): number {
  const random = seeded(SEED);
  const book = new TargetTracker(new RunTimeEstimator());
  const states = Array.from({ length: targets }, (_, index) => ({
    id: `target-${index}`,
    reported: Math.floor(random() * 8),
    describes: 0,
  }));
  book.update({ targets: states, daemons: 1 }, 1_000);
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
  const decide = () => book.choose({ work, avoid }, random);
  for (let index = 0; index < DECISIONS; index++) {
    decide();
  }
  const from = performance.now();
  for (let index = 0; index < DECISIONS; index++) {
    decide();
  }
  return ((performance.now() - from) * 1_000) / DECISIONS;
}
