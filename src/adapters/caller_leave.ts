/** When the caller of an HTTP request leaves. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Calls back once if the caller leaves before its response is written. The end
 * or the error of its connection tells it turns of the event loop earlier than
 * the response does, which closes only when the connection has.
 */
export function onCallerLeft(
  request: IncomingMessage,
  response: ServerResponse,
  callback: () => void,
): void {
  const { socket } = request;
  const handle = () => {
    socket.off("end", handle);
    socket.off("error", handle);
    response.off("close", handle);
    if (!response.writableFinished) {
      callback();
    }
  };
  socket.once("end", handle);
  socket.once("error", handle);
  response.once("close", handle);
}

/** Whether a caller has left already, so that nothing would be reported. */
export function hasCallerLeft(
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  return request.socket.readableEnded || response.destroyed;
}
