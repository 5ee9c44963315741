/** What one routing decision costs. */
import { RunTime } from "../../src/common/decisions/run_time.ts";
import { TargetBook } from "../../src/common/decisions/target_book.ts";
import type { IWork } from "../../src/common/decisions/work.ts";
import { seeded } from "./world.ts";

const DECISIONS = 100_000;
const SEED = 4;

/** Microseconds for one decision over so many targets. */
export function routingCost(targets: number): number {
  const random = seeded(SEED);
  const book = new TargetBook(new RunTime());
  const states = Array.from({ length: targets }, (_, index) => ({
    id: `target-${index}`,
    reported: Math.floor(random() * 8),
    describes: 0,
  }));
  book.report({ targets: states, daemons: 1 }, 1_000);
  const work: IWork = {
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
