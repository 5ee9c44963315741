/** Writes bytes without end, as fast as they are read. */
import type { Writable } from "node:stream";

/** Bytes of one write. */
const CHUNK_LENGTH = 65_536;

/**
 * Fills a stream until it is closed.
 *
 * @param limit - bytes after which it is destroyed
 */
export function writeWithoutEnd(
  stream: Writable,
  limit = Number.POSITIVE_INFINITY,
): void {
  const chunk = Buffer.alloc(CHUNK_LENGTH, "x");
  let written = 0;
  const fill = () => {
    while (!stream.destroyed && stream.write(chunk)) {
      written += CHUNK_LENGTH;
    }
    written += CHUNK_LENGTH;
    if (written >= limit) {
      stream.destroy();
    }
  };
  stream.on("drain", fill);
  stream.on("error", () => stream.destroy());
  fill();
}
