/** Connections that are used when the news on callers is fresh. */
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { TURNS_AFTER_CONNECT } from "../common/calls/input_barrier.ts";
import type { IInputBarrier } from "../common/calls/input_barrier.ts";

/**
 * A connector for undici, which writes its request as soon as it has the
 * connection: long after the request was decided on, if the process is behind.
 */
export function barrierConnector(
  connect: buildConnector.connector,
  barrier: IInputBarrier,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...[error, socket]) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      let failure: Error | null = null;
      const recordFailure = (cause: Error) => (failure = cause);
      socket.on("error", recordFailure);
      barrier.wait(() => {
        socket.off("error", recordFailure);
        if (isClosed(socket)) {
          callback(failure ?? new Error("closed before it was used"), null);
        } else {
          callback(null, socket);
        }
      }, TURNS_AFTER_CONNECT);
    });
  };
}

function isClosed(socket: Socket): boolean {
  return socket.destroyed || socket.closed;
}
