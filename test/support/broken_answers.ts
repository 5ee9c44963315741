/** Answers of raw targets that end with their connection, or are broken. */
import type { Socket } from "node:net";
import type { RawDataHandler } from "./raw_target.ts";

/** Writes an answer whose head has the given fields. */
export type RawAnswer = (socket: Socket, fields: string) => void;

/** The fields of a target's answer to an attempt. */
export function fieldsOf(attempt: string, target: string): string {
  return `X-Attempt-Id: ${attempt}\r\nX-Response-Stamp: ${target}\r\n`;
}

/** Bytes of a request that no system's buffers hold as a whole. */
export const LONG_UPLOAD = 16_777_216;

/** Heads of answers that end with their connection. */
export const HEADS_WITHOUT_LENGTH: Readonly<Record<string, string>> = {
  "no length": "HTTP/1.1 200 OK\r\n",
  "no length, closing": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
  "an older protocol": "HTTP/1.0 200 OK\r\n",
  "a coding without chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n",
};

/** Lines of heads that are not valid. */
const INVALID_LINES = {
  "a name with a blank": "x odd: a",
  "a name before a blank": "x-odd : a",
  "a name after a blank": " x-odd: a",
  "a name with a tab": "x\todd: a",
  "a name with a null character": "x\0odd: a",
  "a name with a control character": "x\u0001odd: a",
  "a name with a delete character": "x\u007fodd: a",
  "a length before a blank": "Content-Length : 4",
  "a coding before a blank": "Transfer-Encoding : chunked",
  "an empty name": ": a",
} as const;

/** Heads that no answer may have. */
export const INVALID_HEADS: Readonly<Record<string, string>> = {
  "status 000": "HTTP/1.1 000 Odd\r\n",
  "status 000 without a reason": "HTTP/1.1 000\r\n",
  "status 000 before a sound head":
    "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n",
  "status 099": "HTTP/1.1 099 Odd\r\n",
  ...Object.fromEntries(
    Object.entries(INVALID_LINES).map(([name, line]) => [
      name,
      `HTTP/1.1 200 OK\r\n${line}\r\n`,
    ]),
  ),
};

/** Answers the first bytes of each connection. */
function answerOnce(answer: (socket: Socket) => void): RawDataHandler {
  const answered = new WeakSet<Socket>();
  return (_, socket) => {
    if (!answered.has(socket)) {
      answered.add(socket);
      answer(socket);
    }
  };
}

/** Milliseconds from the close of a target's own side to its reset. */
const RESET_DELAYS = [0, 5, 30];

/** What a target does that does not read the rest of a request. */
export const BREAKS: Readonly<
  Record<string, (text: string) => RawDataHandler>
> = {
  "a reset": (text) =>
    answerOnce((socket) => {
      socket.pause();
      socket.write(text, () => socket.resetAndDestroy());
    }),
  ...Object.fromEntries(
    RESET_DELAYS.map((delay) => [
      `a close and a reset after ${delay} ms`,
      (text: string) => closeAndReset(text, delay),
    ]),
  ),
};

/** @param delay - milliseconds from the close to the reset */
export function closeAndReset(text: string, delay: number): RawDataHandler {
  return answerOnce((socket) => {
    socket.pause();
    socket.end(text, () => {
      setTimeout(() => socket.resetAndDestroy(), delay);
    });
  });
}

/** Writes a text, closes its own side and reads no more of the request. */
export function closeWithoutReading(text: string): RawDataHandler {
  return answerOnce((socket) => {
    socket.pause();
    socket.end(text);
  });
}

/** Writes a text, closes its own side and reads the rest of the request. */
export function closeWhileReading(text: string): RawDataHandler {
  return answerOnce((socket) => socket.end(text));
}

/**
 * Writes a text, closes its own side and reads the rest of the request slowly.
 *
 * @param pause - milliseconds after each part
 */
export function closeWhileReadingSlowly(
  text: string,
  pause: number,
): RawDataHandler {
  const answer = closeWhileReading(text);
  return (bytes, socket) => {
    answer(bytes, socket);
    socket.pause();
    setTimeout(() => socket.resume(), pause);
  };
}
