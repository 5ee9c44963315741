/** What the model's targets can serve at most: every batch always full. */
import { EventQueue } from "./event_queue.ts";
import { FakeTarget } from "./fake_target.ts";
import type { IFlow } from "./trace.ts";
import { makeTrace } from "./trace.ts";
import { seeded } from "./world.ts";

const WARM_UP = 30_000;
const DURATION = 90_000;
/** Starts are spread, so that answers do not all end together, ms. */
const START_EVERY = 100;
const FULL_BATCH = 64;
const SEED = 3;

/** Whole answers a second of one target that never lacks work. */
export function capacityOf(flow: IFlow): number {
  const events = new EventQueue();
  const target = new FakeTarget("target", events);
  const trace = makeTrace([flow], DURATION, seeded(SEED));
  let next = 0;
  let done = 0;
  function startNext(): void {
    const entry = trace[next % trace.length];
    next += 1;
    if (entry !== undefined) {
      target.accept(entry.work, entry.tokens, {
        token: (isLast) => {
          if (isLast) {
            done += events.now >= WARM_UP ? 1 : 0;
            events.after(0, startNext);
          }
        },
        failed: () => {},
      });
    }
  }
  for (let index = 0; index < FULL_BATCH; index++) {
    events.after(index * START_EVERY, startNext);
  }
  events.runUntil(DURATION);
  return done / ((DURATION - WARM_UP) / 1_000);
}
