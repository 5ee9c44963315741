/** A target whose responses start immediately and never complete. */
import { RawTarget } from "./raw_target.ts";

/** Interval between two bytes of a response, milliseconds. */
const BYTE_TIME = 100;

const HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 10000\r\n\r\n";

/** Writes each response one byte at a time. */
export class TricklingTarget extends RawTarget {
  constructor() {
    super((_, socket) => {
      socket.write(HEAD);
      const timer = setInterval(() => socket.write(" "), BYTE_TIME);
      socket.on("close", () => clearInterval(timer));
    });
  }
}
