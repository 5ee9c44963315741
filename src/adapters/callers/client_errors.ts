/** Answers what is no HTTP request, or comes too slowly, in the one shape. */
import type { Duplex } from "node:stream";
import { Outcome, Reason } from "../../common/types.ts";

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const BAD_REQUEST = "400 Bad Request";

/**
 * For the server's `clientError`: the request was not passed on to anyone.
 *
 * @param error - what the parser or the timeout reported
 */
export function answerBadRequest(error: Error, socket: Duplex): void {
  const code = "code" in error ? String(error.code) : "";
  if (code === "ECONNRESET" || !socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify({
    request_id: null,
    outcome: Outcome.NotRun,
    reason: Reason.BadRequest,
    detail: `no request could be read: ${code}`,
    retry_after_ms: 0,
  });
  const head = [
    `HTTP/1.1 ${STATUS_LINES[code] ?? BAD_REQUEST}`,
    "connection: close",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${head.join("\r\n")}\r\n\r\n${body}`);
}
