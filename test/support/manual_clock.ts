/** A clock that only a test advances. */
import type { IDisposable } from "../../src/common/disposable.ts";
import type { IClock } from "../../src/common/services/services.ts";

interface ITimer {
  at: number;
  readonly period: number | null;
  readonly callback: () => void;
}

/** Runs timers in time order as it is advanced. */
export class ManualClock implements IClock {
  readonly #timers = new Set<ITimer>();
  #now = 0;

  now(): number {
    return this.#now;
  }

  calendar(): number {
    return this.#now;
  }

  /** Number of timers that have not run. */
  get pending(): number {
    return this.#timers.size;
  }

  after(delay: number, callback: () => void): IDisposable {
    return this.#add({ at: this.#now + delay, period: null, callback });
  }

  every(period: number, callback: () => void): IDisposable {
    return this.#add({ at: this.#now + period, period, callback });
  }

  /** Advances by so many milliseconds and runs the timers that become due. */
  advance(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (;;) {
      const next = [...this.#timers]
        .filter(({ at }) => at <= end)
        .sort((one, other) => one.at - other.at)[0];
      if (next === undefined) {
        break;
      }
      this.#now = Math.max(this.#now, next.at);
      if (next.period === null) {
        this.#timers.delete(next);
      } else {
        next.at += next.period;
      }
      next.callback();
    }
    this.#now = end;
  }

  /** Passes time without running timers, then runs those due, once each. */
  pause(milliseconds: number): void {
    this.#now += milliseconds;
    const due = [...this.#timers].filter(({ at }) => at <= this.#now);
    for (const timer of due) {
      if (timer.period === null) {
        this.#timers.delete(timer);
      } else {
        timer.at = this.#now + timer.period;
      }
      timer.callback();
    }
  }

  #add(timer: ITimer): IDisposable {
    this.#timers.add(timer);
    return { dispose: () => void this.#timers.delete(timer) };
  }
}
