/** Answers a request before the whole of it has arrived. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** How long the rest of a body is discarded, milliseconds. */
const DISCARD_TIME = 2_000;

/** Bytes of a body that are discarded. */
const DISCARDED_LENGTH = 16_777_216;

/**
 * Ends a response whose body was written while the request is still arriving.
 * Closing immediately would reset the connection because of the unread bytes,
 * and the caller would lose the response. Incoming data is therefore discarded
 * for a while first.
 */
export function endAfterDiscardingBody(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  let length = 0;
  const end = () => response.end();
  const timer = setTimeout(end, DISCARD_TIME);
  request.on("data", (piece: Buffer) => {
    length += piece.length;
    if (length > DISCARDED_LENGTH) {
      end();
    }
  });
  request.once("end", end).once("close", end);
  response.once("close", () => clearTimeout(timer));
}
