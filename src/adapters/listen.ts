/** Listens on `host:port` addresses; port 0 selects any free port. */
import type { Server } from "node:net";

/** Splits `host:port`; a host in brackets may contain colons. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Listens and returns the bound `host:port`. */
export function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      const bound = server.address();
      const number = typeof bound === "object" && bound ? bound.port : port;
      resolve(`${host}:${number}`);
    });
  });
}
