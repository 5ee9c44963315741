/** Forwarded requests over HTTP, from one process's link to another's server. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { connect } from "node:net";
import { expect } from "chai";
import { RequestMemory } from "../../common/calls/request_memory.ts";
import { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { request } from "undici";
import {
  callOf,
  RecordingReceiver,
} from "../../../test/support/call_fixtures.ts";
import {
  RecordingSender,
  SERVICE,
  targetsOf,
} from "../../../test/support/forwarding_fixtures.ts";
import { SUCCESS_HEAD } from "../../../test/support/model_calls_harness.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SystemClock } from "../clock/system_clock.ts";
import { listenOn } from "../listen.ts";
import { waitFor } from "../../../test/support/process_handle.ts";
import { ListedState, SendFailure } from "../../common/calls/types.ts";
import { ForwardedRequests } from "../../common/forwarding/forwarded_requests.ts";
import { ForwardRefusal } from "../../common/forwarding/types.ts";
import type { IForwardReceiver } from "../../common/forwarding/types.ts";
import { OrderKind, OrderOutcome } from "../../common/replicas/types.ts";
import { encodeLine, ForwardPath } from "./forwarding_protocol.ts";
import { ForwardingHandlers } from "./forwarding_handlers.ts";
import { HttpPeerLink } from "./http_peer_link.ts";
import { inputBarrier } from "../../../test/support/event_loop_fixtures.ts";

const TARGETS = targetsOf(["one"], 1);

class Receiver extends RecordingReceiver implements IForwardReceiver {
  refusal: ForwardRefusal | null = null;

  onRefused(refusal: ForwardRefusal): void {
    this.refusal = refusal;
  }
}

/** A process that takes forwarded requests, and a link to it. */
class Harness {
  readonly sender = new RecordingSender();
  readonly link = new HttpPeerLink(inputBarrier());
  outOfReach: readonly string[] = [];
  /** Orders carried out. */
  orders = 0;
  /** Listed state of all targets. */
  state = ListedState.Ready;
  readonly requests = new ForwardedRequests({
    sender: this.sender,
    engines: {
      fetchReport: () => Promise.reject(new Error("unexpected report")),
      sendOrder: () => {
        this.orders += 1;
        return Promise.resolve(OrderOutcome.Accepted);
      },
    },
    findTarget: (id) => {
      const listed = TARGETS.find((target) => target.id === id);
      return listed ? { ...listed, state: this.state } : null;
    },
    reach: {
      isOutOfReach: (service) => this.outOfReach.includes(service),
      outOfReach: [],
    },
    clock: new SystemClock(),
    log: new RecordingLog(),
    lag: () => 0,
    maximumCalls: 1_000,
  });
  readonly #server: Server;
  address = "";

  constructor() {
    const handlers = new ForwardingHandlers({
      received: new RequestMemory(350),
      log: new RecordingLog(),
      requests: this.requests,
      crashes: { handle: () => [] },
      barrier: inputBarrier(),
      memory: new AnswerMemory(),
    });
    this.#server = createServer((received, response) => {
      handlers.handle(received, response);
    });
  }

  async listen(): Promise<void> {
    this.address = await listenOn(this.#server, "127.0.0.1:0");
  }

  send(receiver: Receiver, target = "one-0", service = SERVICE) {
    return this.link.send(
      this.address,
      {
        target,
        call: callOf({ service }),
        timeLeft: 5_000,
        lastEventId: "7",
        needsNewConnection: false,
      },
      receiver,
    );
  }

  async waitForSend() {
    await waitFor("the call is sent on", () => this.sender.sends.length > 0);
    const [send] = this.sender.sends;
    if (send === undefined) {
      throw new Error("no call was sent on");
    }
    return send;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.link[Symbol.asyncDispose]();
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

async function startHarness(): Promise<Harness> {
  const harness = new Harness();
  await harness.listen();
  return harness;
}

describe("a forwarded call", () => {
  it("arrives unchanged, and its response comes back whole", async () => {
    await using harness = await startHarness();
    const receiver = new Receiver();
    harness.send(receiver);
    const { options } = await harness.waitForSend();
    expect(options).to.include({ timeLeft: 5_000, lastEventId: "7" });
    const text = `${"x".repeat(100_000)}\né\n`;
    options.receiver.onHead(SUCCESS_HEAD);
    options.receiver.onData(new TextEncoder().encode(text));
    options.receiver.onEnd();
    await receiver.finished;
    expect(receiver.answerHead).to.deep.equal(SUCCESS_HEAD);
    expect(receiver.text).to.equal(text);
    expect(receiver.failure).to.equal(null);
  });

  // Guards against half an answer that looks complete after two hops.
  it("fails when its target breaks off", async () => {
    await using harness = await startHarness();
    const receiver = new Receiver();
    harness.send(receiver);
    const { options } = await harness.waitForSend();
    options.receiver.onHead(SUCCESS_HEAD);
    options.receiver.onData(new TextEncoder().encode("half"));
    options.receiver.onFailure(SendFailure.Broken, "reset\r\nby peer é");
    await receiver.finished;
    expect(receiver.failure).to.equal(SendFailure.Broken);
  });

  it("tells that nothing was written to the target", async () => {
    await using harness = await startHarness();
    const receiver = new Receiver();
    harness.send(receiver);
    const { options } = await harness.waitForSend();
    options.receiver.onFailure(SendFailure.NotSent, "refused");
    await receiver.finished;
    expect(receiver).to.include({
      failure: SendFailure.NotSent,
      detail: "refused",
    });
  });

  // Guards against a target that works on for a caller that has left.
  it("is aborted at the target with its sender", async () => {
    await using harness = await startHarness();
    const handle = harness.send(new Receiver());
    const send = await harness.waitForSend();
    handle.abort();
    await waitFor("it is aborted", () => send.isAborted);
    expect(harness.requests.inFlight).to.equal(0);
  });

  // Guards against calls that are passed round, or sent to an address that this
  // process does not list as the target's.
  it("is not taken without a path, for unknown targets, or late", async () => {
    await using harness = await startHarness();
    const refusals: (ForwardRefusal | null)[] = [];
    const offer = async (target?: string) => {
      const receiver = new Receiver();
      harness.send(receiver, target);
      await waitFor("it is refused", () => receiver.refusal !== null);
      refusals.push(receiver.refusal);
    };
    await offer("10.0.0.9:80");
    harness.outOfReach = [SERVICE];
    await offer();
    harness.requests.stopAt(0);
    await offer();
    expect(refusals).to.deep.equal([
      ForwardRefusal.UnknownTarget,
      ForwardRefusal.OutOfReach,
      ForwardRefusal.Stopping,
    ]);
    expect(harness.sender.sends).to.deep.equal([]);
  });

  // Guards against a call that is sent to an address which another service has
  // been given meanwhile.
  it("is not taken for a target of another service", async () => {
    await using harness = await startHarness();
    const receiver = new Receiver();
    harness.send(receiver, "one-0", "other-service");
    await waitFor("it is refused", () => receiver.refusal !== null);
    expect(receiver.refusal).to.equal(ForwardRefusal.UnknownTarget);
    expect(harness.sender.sends).to.deep.equal([]);
  });

  // Guards against a call that reaches a target which takes no more calls.
  it("is withheld from a target that is no longer ready", async () => {
    await using harness = await startHarness();
    harness.state = ListedState.Draining;
    const receiver = new Receiver();
    harness.send(receiver);
    await receiver.finished;
    expect(receiver.failure).to.equal(SendFailure.Withheld);
    expect(harness.sender.sends).to.deep.equal([]);
  });

  // Guards against a sound target that is taken for broken since the process
  // that forwarded the call has ended.
  it("that ends without a trailer has lost its path", async () => {
    const server = createServer((received, response) => {
      received.resume();
      response.end(encodeLine({ head: SUCCESS_HEAD }));
    });
    const address = await listenOn(server, "127.0.0.1:0");
    await using link = new HttpPeerLink(inputBarrier());
    const receiver = new Receiver();
    link.send(
      address,
      {
        target: "one-0",
        call: callOf({ service: SERVICE }),
        timeLeft: 5_000,
        lastEventId: null,
        needsNewConnection: false,
      },
      receiver,
    );
    await receiver.finished;
    server.closeAllConnections();
    server.close();
    expect(receiver.failure).to.equal(SendFailure.PathLost);
  });

  // Guards against orders that are carried out late, for a lease holder that has
  // given them up.
  it("that is an order is not carried out once its sender has left", async () => {
    await using harness = await startHarness();
    const content = JSON.stringify({
      engine: "one-0",
      order: { kind: OrderKind.Leave, group: "group-1", epoch: 1 },
      timeout: 1_000,
    });
    const length = Buffer.byteLength(content);
    const message = `POST ${ForwardPath.Order} HTTP/1.1\r\nhost: here\r\ncontent-length: ${length}\r\n\r\n${content}`;
    const [host, port] = harness.address.split(":");
    const socket = connect(Number(port), host);
    await once(socket, "connect");
    socket.write(message);
    socket.destroy();
    const answer = await request(
      `http://${harness.address}${ForwardPath.Order}`,
      { method: "POST", body: content },
    );
    await answer.body.dump();
    expect(answer.statusCode).to.equal(200);
    expect(harness.orders).to.equal(1);
  });

  it("is refused where no process listens", async () => {
    const receiver = new Receiver();
    const harness = await startHarness();
    await harness[Symbol.asyncDispose]();
    harness.send(receiver);
    await waitFor("it is refused", () => receiver.refusal !== null);
    expect(receiver.refusal).to.equal(ForwardRefusal.NotConnected);
  });

  // Guards against a process that ends by a malformed request on its inner
  // port.
  it("that is malformed is rejected", async () => {
    await using harness = await startHarness();
    const paths = [ForwardPath.Send, ForwardPath.Report, ForwardPath.Order];
    for (const path of paths) {
      for (const body of ["", "no json\n", '{"target":1}\n', "{}"]) {
        const url = `http://${harness.address}${path}`;
        const answer = await request(url, { method: "POST", body });
        await answer.body.dump();
        expect(answer.statusCode, `${path} ${body}`).to.equal(400);
      }
    }
  });
});
