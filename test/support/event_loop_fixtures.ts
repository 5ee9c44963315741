/** The event loop of this process, for adapters under test. */
import { SystemClock } from "../../src/adapters/clock/system_clock.ts";
import { SystemEventLoop } from "../../src/adapters/event_loop/system_event_loop.ts";
import { InputBarrier } from "../../src/common/calls/input_barrier.ts";

export function inputBarrier(): InputBarrier {
  const clock = new SystemClock();
  return new InputBarrier({ eventLoop: new SystemEventLoop(), clock });
}
