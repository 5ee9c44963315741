/** A TCP relay on 127.0.0.1 that counts the bytes of both directions. */
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** A running relay. */
export interface ICountingRelay {
  readonly port: number;
  bytes(): number;
  close(): void;
}

/** @param targetPort - port on 127.0.0.1 that connections are relayed to */
export async function startCountingRelay(
  targetPort: number,
): Promise<ICountingRelay> {
  let bytes = 0;
  const server = createServer((client) => {
    const upstream = connect(targetPort, "127.0.0.1");
    // Otherwise small frames wait for delayed acknowledgements, 40 ms per call.
    client.setNoDelay(true);
    upstream.setNoDelay(true);
    client.on("data", (data) => {
      bytes += data.length;
      upstream.write(data);
    });
    upstream.on("data", (data) => {
      bytes += data.length;
      client.write(data);
    });
    const end = () => {
      client.destroy();
      upstream.destroy();
    };
    for (const socket of [client, upstream]) {
      socket.on("close", end);
      socket.on("error", end);
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;
  return { port, bytes: () => bytes, close: () => server.close() };
}
