/** What the model's targets can serve at most: every batch always full. */
import { EventQueue } from "./event_queue.ts";
import { SimulatedTarget } from "./simulated_target.ts";
import type { IFlow } from "./trace.ts";
import { generateTrace } from "./trace.ts";
import { seededRandom } from "./simulation.ts";

const WARM_UP = 30_000;
const DURATION = 90_000;
/** Starts are spread, so that answers do not all end together, ms. */
const START_INTERVAL = 100;
const FULL_BATCH = 64;
const SEED = 3;

/** Whole answers a second of one target that never lacks work. */
export function measureCapacity(flow: IFlow): number {
  const events = new EventQueue();
  const target = new SimulatedTarget("target", events);
  const trace = generateTrace([flow], DURATION, seededRandom(SEED));
  let next = 0;
  let completed = 0;
  function startNext(): void {
    const entry = trace[next % trace.length];
    next += 1;
    if (entry !== undefined) {
      target.accept(entry.work, entry.tokens, {
        onToken: (isLast) => {
          if (isLast) {
            completed += events.now >= WARM_UP ? 1 : 0;
            events.scheduleAfter(0, startNext);
          }
        },
        onFailure: () => {},
      });
    }
  }
  for (let index = 0; index < FULL_BATCH; index++) {
    events.scheduleAfter(index * START_INTERVAL, startNext);
  }
  events.runUntil(DURATION);
  return completed / ((DURATION - WARM_UP) / 1_000);
}
