/** Requests that a caller sends ahead on one connection. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { waitFor } from "../../../test/support/process_handle.ts";
import { splitAddress, listenOn } from "../listen.ts";
import { ConnectionInput } from "./connection_input.ts";
import { InputSchedule } from "../input_schedule.ts";

const REQUEST = "GET /one HTTP/1.1\r\nhost: a\r\n\r\n";

/** How a body is sent, its headers, and what follows the head. */
const BODIES = [
  ["with a length", "content-length: 9000", "x".repeat(9_000)],
  [
    "in chunks",
    "transfer-encoding: chunked",
    `2328\r\n${"x".repeat(9_000)}\r\n0\r\n\r\n`,
  ],
] as const;

/** Answers requests only when told. */
class HoldingServer implements AsyncDisposable {
  readonly requests: IncomingMessage[] = [];
  readonly waiting: ServerResponse[] = [];
  /** Largest number of bytes that were charged, and the last one. */
  size = 0;
  lastSize = 0;
  readonly #server: Server;
  readonly #inputs = new WeakMap<Socket, ConnectionInput>();
  #address = "";

  constructor() {
    this.#server = createServer((request, response) => {
      this.#inputs.get(request.socket)?.recordRequest(request, response);
      this.requests.push(request);
      this.waiting.push(response);
      request.resume();
    });
    const schedule = new InputSchedule();
    this.#server.on("connection", (socket) => {
      const onSizeChanged = (bytes: number) => {
        this.size = Math.max(this.size, bytes);
        this.lastSize = bytes;
      };
      const parts = { schedule, onSizeChanged };
      this.#inputs.set(socket, new ConnectionInput(socket, parts));
    });
  }

  async connect(): Promise<Socket> {
    this.#address ||= await listenOn(this.#server, "127.0.0.1:0");
    const { host, port } = splitAddress(this.#address);
    const socket = connect(port, host);
    await once(socket, "connect");
    return socket;
  }

  /** Answers what waits until a number of requests has been answered. */
  async answer(count: number): Promise<void> {
    for (let answered = 0; answered < count; answered += 1) {
      await waitFor("a request waits", () => this.waiting.length > 0);
      this.waiting.shift()?.end(`${answered}`);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

describe("ConnectionInput", () => {
  // Guards against any number of requests that are taken from one connection
  // while none of them is answered.
  it("takes two requests at once, and the others in their order", async () => {
    await using server = new HoldingServer();
    const socket = await server.connect();
    let received = "";
    socket.on("data", (bytes: Buffer) => (received += bytes.toString()));
    socket.write(REQUEST.repeat(100));
    await waitFor("requests wait", () => server.waiting.length === 2);
    expect(server.size).to.be.greaterThan(0);
    await server.answer(100);
    await waitFor("the last answer is read", () => received.endsWith("99"));
    expect(server.requests).to.have.length(100);
    const bodies = received.split("\r\n\r\n").slice(1);
    expect(bodies.map((body) => Number.parseInt(body, 10))).to.deep.equal(
      Array.from({ length: 100 }, (_, index) => index),
    );
    socket.destroy();
  });

  // Guards against a caller whose leave is not noticed while its call runs.
  it("notices that a caller has left while its request waits", async () => {
    await using server = new HoldingServer();
    const socket = await server.connect();
    socket.write(REQUEST);
    await waitFor("a request waits", () => server.waiting.length === 1);
    socket.end();
    await waitFor("its connection has ended", () =>
      Boolean(server.requests[0]?.socket.readableEnded),
    );
  });

  // Guards against work for requests whose connection is closed already.
  it("parses nothing more once the connection is closed", async () => {
    await using server = new HoldingServer();
    const socket = await server.connect();
    socket.on("error", () => socket.destroy());
    socket.write(REQUEST.repeat(100));
    await waitFor("requests wait", () => server.waiting.length === 2);
    server.waiting.forEach((response) => response.destroy());
    await waitFor("the connection is closed", () =>
      Boolean(server.requests[0]?.socket.closed),
    );
    expect(server.requests).to.have.length(2);
  });

  // Guards against connections that are charged for bodies which were taken
  // already, so that ordinary callers seem to fill the memory.
  for (const [kind, headers, body] of BODIES) {
    it(`charges nothing once a body ${kind} is complete`, async () => {
      await using server = new HoldingServer();
      const socket = await server.connect();
      const head = `POST / HTTP/1.1\r\nhost: a\r\n${headers}\r\n\r\n`;
      socket.write(head + body);
      await server.answer(1);
      socket.write(head);
      await waitFor("the head is read", () => server.waiting.length === 1);
      socket.write(body);
      await waitFor("the body is read", () =>
        Boolean(server.requests[1]?.complete),
      );
      await server.answer(1);
      expect(server.lastSize).to.equal(0);
      socket.write("GET /next");
      await waitFor("a head is charged", () => server.lastSize > 0);
      expect(server.lastSize).to.equal(9 * 8);
      socket.destroy();
    });
  }

  // Guards against bodies that are cut or changed where pieces begin.
  it("passes on a long body in tiny chunks", async () => {
    await using server = new HoldingServer();
    const socket = await server.connect();
    socket.write("POST / HTTP/1.1\r\nhost: a\r\n");
    socket.write("transfer-encoding: chunked\r\n\r\n");
    await waitFor("a request waits", () => server.waiting.length === 1);
    let length = 0;
    server.requests[0]?.on("data", (bytes: Buffer) => (length += bytes.length));
    socket.write("1\r\nx\r\n".repeat(100_000));
    socket.write("0\r\n\r\n");
    await waitFor("it is complete", () =>
      Boolean(server.requests[0]?.complete),
    );
    expect(length).to.equal(100_000);
    socket.destroy();
  });
});
