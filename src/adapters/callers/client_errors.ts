/** Answers malformed or too slow HTTP requests in the documented format. */
import type { Duplex } from "node:stream";
import { Outcome, Reason } from "../../common/types.ts";

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const BAD_REQUEST = "400 Bad Request";

/**
 * Handles the server's `clientError` event; the request was not dispatched.
 *
 * @param error - the error of the parser or the timeout
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
