/** Which connections are closed to accept others. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { waitFor } from "../../../test/support/process_handle.ts";
import {
  NO_METRICS,
  RecordingLog,
} from "../../../test/support/recording_services.ts";
import { LimitRecorder } from "../../common/calls/limit_recorder.ts";
import { RequestMemory } from "../../common/calls/request_memory.ts";
import { listenOn, splitAddress } from "../listen.ts";
import { CallerConnections } from "./caller_connections.ts";

const MAXIMUM = 3;

const REQUEST = "GET /one HTTP/1.1\r\nhost: a\r\n\r\n";

/** Answers each call at once, but those to /held. */
class LimitedServer implements AsyncDisposable {
  calls = 0;
  readonly #server: Server = createServer((request, response) => {
    this.#connections.recordRequest(request, response);
    this.#connections.recordCall(request, response);
    this.calls += 1;
    if (request.url !== "/held") {
      response.end("done");
    }
  });
  readonly #connections = new CallerConnections({
    server: this.#server,
    event: "connection",
    maximum: MAXIMUM,
    memory: new RequestMemory(350),
    limits: new LimitRecorder({
      clock: new ManualClock(),
      log: new RecordingLog(),
      metrics: NO_METRICS,
    }),
    unreadTimeout: () => 15_000,
  });
  #address = "";

  /** Resolves once the server has the connection. */
  async connect(): Promise<Socket> {
    this.#address ||= await listenOn(this.#server, "127.0.0.1:0");
    const { host, port } = splitAddress(this.#address);
    const accepted = once(this.#server, "connection");
    const socket = connect(port, host);
    socket.on("error", () => socket.destroy());
    await accepted;
    return socket;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#connections[Symbol.dispose]();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

async function connectAndCall(server: LimitedServer): Promise<Socket> {
  const socket = await server.connect();
  socket.write(REQUEST);
  await once(socket, "data");
  return socket;
}

function waitForClose(socket: Socket): Promise<void> {
  socket.resume();
  return waitFor("the connection is closed", () => socket.destroyed);
}

describe("CallerConnections", () => {
  // Guards against a crowd that opens connections and sends nothing, for which
  // those of ordinary callers are closed or refused.
  it("closes the oldest that had no call, and keeps those that had", async () => {
    await using server = new LimitedServer();
    const used = await connectAndCall(server);
    const unused = [await server.connect(), await server.connect()];
    const next = await connectAndCall(server);
    await waitForClose(unused[0] ?? next);
    const last = await connectAndCall(server);
    await waitForClose(unused[1] ?? next);
    for (const socket of [used, next, last]) {
      socket.write(REQUEST);
      const [bytes] = (await once(socket, "data")) as [Buffer];
      expect(bytes.toString()).to.match(/^HTTP\/1.1 200/);
    }
  });

  // Guards against calls that are cut to accept another connection.
  it("closes the new one while all others serve calls", async () => {
    await using server = new LimitedServer();
    const held: Socket[] = [];
    for (let count = 0; count < MAXIMUM; count += 1) {
      const socket = await server.connect();
      socket.write(REQUEST.replace("/one", "/held"));
      held.push(socket);
    }
    await waitFor("the calls are served", () => server.calls === MAXIMUM);
    await waitForClose(await server.connect());
    expect(held.every(({ destroyed }) => !destroyed)).to.equal(true);
  });
});
