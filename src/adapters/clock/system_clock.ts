/** Time and timers of the host. */
import { performance } from "node:perf_hooks";
import type { IDisposable } from "../../common/disposable.ts";
import type { IClock } from "../../common/services/services.ts";
import { afterDelay, everyPeriod } from "../event_loop/poll_timer.ts";

/** The host's monotonic clock, wall clock and timers. */
export class SystemClock implements IClock {
  now(): number {
    return performance.now();
  }

  calendar(): number {
    return Date.now();
  }

  after(delay: number, callback: () => void): IDisposable {
    return afterDelay(delay, callback);
  }

  every(period: number, callback: () => void): IDisposable {
    return everyPeriod(period, callback);
  }
}
