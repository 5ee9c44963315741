/** Connections that fail soon if they are not made. */
import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { afterDelay } from "./event_loop/poll_timer.ts";

/**
 * A connector for undici, whose own timeout is up to half a second late.
 *
 * @param timeout - milliseconds
 */
export function timedConnector(timeout: number): buildConnector.connector {
  const connect = buildConnector({ timeout: 0 });
  // The typings omit that the connector returns the socket.
  const connectWithSocket = connect as (
    ...call: Parameters<typeof connect>
  ) => Socket | undefined;
  return (target, callback) => {
    const timer = afterDelay(timeout, () => {
      connecting?.destroy(new Error(`no connection in ${timeout} ms`));
    });
    const connecting = connectWithSocket(target, (...result) => {
      timer.dispose();
      callback(...result);
    });
  };
}
