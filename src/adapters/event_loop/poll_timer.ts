/**
 * Timers that call back after a poll of the connections. Node runs timers before
 * it reads what has arrived: a process that is behind would take an answer that
 * lies unread for one that is missing.
 */
import type { IDisposable } from "../../common/disposable.ts";

/**
 * Calls back once.
 *
 * @param delay - milliseconds
 */
export function afterDelay(delay: number, callback: () => void): IDisposable {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delay);
  return {
    dispose: () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}

/**
 * Calls back repeatedly.
 *
 * @param period - milliseconds
 */
export function everyPeriod(period: number, callback: () => void): IDisposable {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setInterval(() => {
    immediate = setImmediate(callback);
  }, period);
  return {
    dispose: () => {
      clearInterval(timer);
      clearImmediate(immediate);
    },
  };
}
