/** Listening on addresses given as `host:port`, where port 0 takes any. */
import type { Server } from "node:net";

/** Splits `host:port`; a host in brackets may hold colons. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Listens and returns the `host:port` taken. */
export function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      const taken = server.address();
      const number = typeof taken === "object" && taken ? taken.port : port;
      resolve(`${host}:${number}`);
    });
  });
}
