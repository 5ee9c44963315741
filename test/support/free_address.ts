/** Finds addresses for processes whose port must be known before they start. */
import { createServer } from "node:net";
import type { Server } from "node:net";

/**
 * Ports below the ephemeral range of common systems: an outgoing connection
 * could take an ephemeral port before the process starts to listen on it.
 */
export const FIRST_PORT = 15_000;
export const PORT_COUNT = 15_000;

/** Offset between processes, so that concurrent ones try different ports. */
const PORTS_PER_PROCESS = 37;

let lastOffset = process.pid * PORTS_PER_PROCESS;

/** Returns a loopback address on which nothing listens. */
export async function freeAddress(): Promise<string> {
  for (let tried = 0; tried < PORT_COUNT; tried += 1) {
    lastOffset += 1;
    const port = FIRST_PORT + (lastOffset % PORT_COUNT);
    if (await isFree(port)) {
      return `127.0.0.1:${port}`;
    }
  }
  throw new Error("no port is free");
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await tryListen(server, port);
  if (isListening) {
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }
  return isListening;
}

function tryListen(server: Server, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
}
