/** The event loop of Node. */
import type { IEventLoop } from "../../common/calls/input_barrier.ts";

/** Immediates run right after the poll of the connections. */
export class SystemEventLoop implements IEventLoop {
  afterPoll(callback: () => void): void {
    setImmediate(callback);
  }
}
