/** Requests on the inner port that are no sound ones of another process. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { request } from "undici";
import {
  ENDLESS_PIECES,
  writePieces,
} from "../../../test/support/endless_pieces.ts";
import { waitFor } from "../../../test/support/process_handle.ts";
import { splitAddress } from "../listen.ts";
import { EXCHANGE_PATH, InnerServer } from "./inner_server.ts";
import type { IInnerServerHandler } from "./inner_server.ts";

/** Bytes; more than what is discarded of a request, and is on its way. */
const MOST_BYTES = 67_108_864;

/** Connections that send without end, at once. */
const CONNECTIONS = 8;

const REPORT = {
  process: "entry-1",
  hasCalls: false,
  inFlight: {},
  work: [],
  tableVersion: 1,
  suspects: [],
};

/** A server on the inner port, and connections to it. */
class Harness implements AsyncDisposable {
  readonly #server: InnerServer;
  readonly #sockets: Socket[] = [];
  address = "";

  constructor(handler: Partial<IInnerServerHandler> = {}) {
    this.#server = new InnerServer({
      exchange: () => Promise.reject(new Error("no such exchange")),
      metrics: () => Promise.resolve("up 1\n"),
      forward: () => false,
      ...handler,
    });
  }

  static async start(
    handler: Partial<IInnerServerHandler> = {},
  ): Promise<Harness> {
    const harness = new Harness(handler);
    harness.address = await harness.#server.listen("127.0.0.1:0");
    return harness;
  }

  connect(): Socket {
    const { host, port } = splitAddress(this.address);
    const socket = connect(port, host);
    socket.on("error", () => socket.destroy());
    socket.resume();
    this.#sockets.push(socket);
    return socket;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await this.#server[Symbol.asyncDispose]();
  }
}

async function fetchText(address: string, path: string): Promise<string> {
  const { body } = await request(`http://${address}${path}`);
  return body.text();
}

// Guards against a process that ends with a request that cannot be answered.
describe("an inner server whose handler fails", () => {
  it("closes the connection and serves others", async () => {
    await using harness = await Harness.start();
    const url = `http://${harness.address}${EXCHANGE_PATH}`;
    const body = JSON.stringify(REPORT);
    const answer = await request(url, { method: "POST", body }).catch(
      () => null,
    );
    expect(answer).to.equal(null);
    expect(await fetchText(harness.address, "/metrics")).to.equal("up 1\n");
  });
});

// Guards against a process that is kept busy, for as long as somebody sends, by
// requests that it has answered or does not know.
describe("a request on the inner port without end", () => {
  for (const path of ["/metrics", "/nothing", EXCHANGE_PATH]) {
    it(`is cut, and others are answered: ${path}`, async () => {
      await using harness = await Harness.start();
      const beginning =
        `POST ${path} HTTP/1.1\r\nhost: here\r\n` +
        "transfer-encoding: chunked\r\n\r\n";
      const { repeated } = ENDLESS_PIECES.chunks;
      const sockets = Array.from({ length: CONNECTIONS }, () => {
        const socket = harness.connect();
        writePieces(socket, { beginning, repeated });
        return socket;
      });
      await waitFor("others are answered", async () => {
        return (await fetchText(harness.address, "/metrics")) === "up 1\n";
      });
      await waitFor("they are closed, or have sent too much", () =>
        sockets.every(
          ({ destroyed, bytesWritten }) =>
            destroyed || bytesWritten > MOST_BYTES,
        ),
      );
      for (const { bytesWritten } of sockets) {
        expect(bytesWritten).to.be.at.most(MOST_BYTES);
      }
    });
  }
});
