/** Time and timers of the host. */
import { performance } from "node:perf_hooks";
import type { IDisposable } from "../../common/disposable.ts";
import type { IClock } from "../../common/services/services.ts";

/** The host's monotonic clock, wall clock and timers. */
export class SystemClock implements IClock {
  now(): number {
    return performance.now();
  }

  calendar(): number {
    return Date.now();
  }

  after(delay: number, callback: () => void): IDisposable {
    const timer = setTimeout(callback, delay);
    return { dispose: () => clearTimeout(timer) };
  }

  every(period: number, callback: () => void): IDisposable {
    const timer = setInterval(callback, period);
    return { dispose: () => clearInterval(timer) };
  }
}
