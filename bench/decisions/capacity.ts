/** The highest throughput of a simulated target, whose batch is always full. */
import { EventQueue } from "./event_queue.ts";
import { SimulatedTarget } from "./simulated_target.ts";
import type { IFlow } from "./trace.ts";
import { generateTrace } from "./trace.ts";
import { seededRandom } from "./simulation.ts";

/** Milliseconds before responses are counted. */
const WARM_UP = 30_000;
/** Milliseconds. */
const DURATION = 90_000;
/** Milliseconds between starts, so that responses do not all end at once. */
const START_INTERVAL = 100;
const FULL_BATCH = 64;
const SEED = 3;

/** Complete responses per second of one target that always has work. */
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
