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
  writeChunks(stream, () => {
    written += CHUNK_LENGTH;
    if (written >= limit) {
      stream.destroy();
    }
    return chunk;
  });
}

/** Writes complete events of a stream until it is closed. */
export function writeEventsWithoutEnd(stream: Writable): void {
  const data = "x".repeat(CHUNK_LENGTH);
  let id = 0;
  writeChunks(stream, () => {
    id += 1;
    return Buffer.from(`id: ${id}\ndata: ${data}\n\n`);
  });
}

function writeChunks(stream: Writable, next: () => Buffer): void {
  const fill = () => {
    while (!stream.destroyed && stream.write(next())) {
      // Continues until the buffer is full.
    }
  };
  stream.on("drain", fill);
  stream.on("error", () => stream.destroy());
  fill();
}
