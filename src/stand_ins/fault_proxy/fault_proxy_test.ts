/** Links whose readers are slower than their writers. */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { waitFor } from "../../../test/support/process_handle.ts";
import { listenOn, splitAddress } from "../../adapters/listen.ts";
import { FaultProxy, LinkMode } from "./fault_proxy.ts";

/** Bytes that one end writes, and those that a link and its sockets may hold. */
const LENGTH = 67_108_864;
const MOST_HELD = 33_554_432;

/** Bytes of each write. */
const WRITE_LENGTH = 1_048_576;

/** Milliseconds after which a count that has not changed is taken for final. */
const STILL_TIME = 300;

/** A link with its two ends. */
class Harness implements AsyncDisposable {
  readonly link: FaultProxy;
  readonly client: Socket;
  readonly target: Socket;
  readonly #server: Server;

  constructor(parts: {
    readonly link: FaultProxy;
    readonly client: Socket;
    readonly target: Socket;
    readonly server: Server;
  }) {
    this.link = parts.link;
    this.client = parts.client;
    this.target = parts.target;
    this.#server = parts.server;
  }

  static async start(): Promise<Harness> {
    const server = createServer({ pauseOnConnect: true });
    const address = await listenOn(server, "127.0.0.1:0");
    const link = new FaultProxy(address);
    const own = splitAddress(await link.listen("127.0.0.1:0"));
    const client = connect(own.port, own.host);
    client.pause();
    const [target] = (await once(server, "connection")) as [Socket];
    for (const socket of [client, target]) {
      socket.on("error", () => socket.destroy());
    }
    return new Harness({ link, client, target, server });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.client.destroy();
    this.target.destroy();
    await this.link[Symbol.asyncDispose]();
    this.#server.close();
  }
}

function writeAll(socket: Socket): void {
  const bytes = Buffer.alloc(LENGTH, PATTERN);
  for (let start = 0; start < LENGTH; start += WRITE_LENGTH) {
    socket.write(bytes.subarray(start, start + WRITE_LENGTH));
  }
}

/** Waits until a socket writes nothing more; returns the bytes that wait. */
async function waitUntilStill(socket: Socket): Promise<number> {
  let before = -1;
  while (socket.writableLength !== before) {
    before = socket.writableLength;
    await sleep(STILL_TIME);
  }
  return before;
}

/** Whether a socket receives so many bytes, each as it was written. */
async function readWhole(socket: Socket, length: number): Promise<boolean> {
  let read = 0;
  let isSame = true;
  socket.on("data", (bytes: Buffer) => {
    const start = read % PATTERN.length;
    const expected = REPEATED.subarray(start, start + bytes.length);
    isSame &&= bytes.equals(expected);
    read += bytes.length;
  });
  socket.resume();
  await waitFor("everything has arrived", () => read >= length);
  return isSame && read === length;
}

/** Bytes whose place in the sequence can be told. */
const PATTERN = Buffer.from(Array.from({ length: 251 }, (_, index) => index));
const REPEATED = Buffer.alloc(1_048_576, PATTERN);

// Guards against a link that keeps what its reader does not read, until the
// memory of the test is gone.
describe("a link to a reader that is slower than its writer", () => {
  for (const delay of [0, 5]) {
    for (const writer of ["client", "target"] as const) {
      const reader = writer === "client" ? "target" : "client";

      it(`has the ${writer} wait: delay ${delay}`, async () => {
        await using harness = await Harness.start();
        harness.link.setMode(LinkMode.Pass, delay);
        writeAll(harness[writer]);
        const left = await waitUntilStill(harness[writer]);
        expect(LENGTH - left).to.be.at.most(MOST_HELD);
        const isWhole = await readWhole(harness[reader], LENGTH);
        expect(isWhole, "the bytes are whole").to.equal(true);
      });

      it(`is closed when the ${reader} leaves: delay ${delay}`, async () => {
        await using harness = await Harness.start();
        harness.link.setMode(LinkMode.Pass, delay);
        writeAll(harness[writer]);
        await waitUntilStill(harness[writer]);
        harness[writer].resume();
        harness[reader].resetAndDestroy();
        await waitFor("it is closed", () => harness[writer].destroyed);
        expect(harness.link.connectionCount).to.equal(0);
      });
    }
  }
});
