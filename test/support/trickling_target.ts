/** A target whose answers begin at once and never end. */
import { RawTarget } from "./raw_target.ts";

/** Time between two bytes of an answer, milliseconds. */
const BYTE_TIME = 100;

const HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 10000\r\n\r\n";

/** Answers each request a byte at a time. */
export class TricklingTarget extends RawTarget {
  constructor() {
    super((_, socket) => {
      socket.write(HEAD);
      const timer = setInterval(() => socket.write(" "), BYTE_TIME);
      socket.on("close", () => clearInterval(timer));
    });
  }
}
