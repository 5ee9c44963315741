/** Small helpers for servers on loopback addresses. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";

/** Listens on a free port; returns `host:port`. */
export function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

/**
 * Ports below the ephemeral range: an outgoing connection could take another
 * one before the process that it is meant for listens there.
 */
const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;

/** Ports tried until one is free. */
const MAXIMUM_TRIES = 100;

/** Ports given out, so that two processes of a case get different ones. */
const given = new Set<number>();

/** Returns a loopback address on which nothing listens now. */
export async function freeAddress(): Promise<string> {
  for (let tried = 0; tried < MAXIMUM_TRIES; tried += 1) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!given.has(port) && (await isFree(port))) {
      given.add(port);
      return `127.0.0.1:${port}`;
    }
  }
  throw new Error("no port is free");
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse(await readText(request)) as unknown;
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
