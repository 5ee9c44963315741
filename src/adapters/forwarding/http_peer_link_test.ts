/** Answers of other processes that are not valid, or have no end. */
import type { Socket } from "node:net";
import { expect } from "chai";
import {
  callOf,
  RecordingReceiver,
} from "../../../test/support/call_fixtures.ts";
import {
  ENDLESS_PIECES,
  writePieces,
} from "../../../test/support/endless_pieces.ts";
import { inputBarrier } from "../../../test/support/event_loop_fixtures.ts";
import { SUCCESS_HEAD } from "../../../test/support/model_calls_harness.ts";
import { waitFor } from "../../../test/support/process_handle.ts";
import { RawTarget } from "../../../test/support/raw_target.ts";
import type { AnswerBound } from "../../common/calls/answer_bounds.ts";
import { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { SendFailure } from "../../common/calls/types.ts";
import type {
  ForwardRefusal,
  IForwardReceiver,
} from "../../common/forwarding/types.ts";
import { OrderKind, OrderOutcome } from "../../common/replicas/types.ts";
import { CallFailureKind } from "../../common/types.ts";
import { HttpClients } from "../http/http_clients.ts";
import { HttpPeerLink } from "./http_peer_link.ts";

/** Milliseconds. */
const TIMEOUT = 2_000;

/** Bytes; more than any first line or refusal, and what is on its way, take. */
const MOST_BYTES = 16_777_216;

/** Characters of a header that a sound head may have. */
const LONG_VALUE = 100_000;

class Receiver extends RecordingReceiver implements IForwardReceiver {
  refusal: ForwardRefusal | null = null;

  onRefused(refusal: ForwardRefusal): void {
    this.refusal = refusal;
  }
}

/** A link to a process that writes raw bytes. */
class Harness implements AsyncDisposable {
  readonly memory = new AnswerMemory();
  readonly bounds: AnswerBound[] = [];
  readonly link: HttpPeerLink;
  readonly #sockets = new Set<Socket>();
  readonly #peer: RawTarget;
  address = "";

  constructor(write: (socket: Socket) => void) {
    this.#peer = new RawTarget((_, socket) => {
      if (!this.#sockets.has(socket)) {
        this.#sockets.add(socket);
        write(socket);
      }
    });
    const { memory, bounds } = this;
    const recorder = {
      record: (bound: AnswerBound) => void bounds.push(bound),
    };
    const clients = new HttpClients({ memory, recorder });
    this.link = new HttpPeerLink(inputBarrier(), clients);
  }

  static async start(write: (socket: Socket) => void): Promise<Harness> {
    const harness = new Harness(write);
    harness.address = await harness.#peer.listen();
    return harness;
  }

  /** Bytes that the link has read, or that are on their way. */
  get sent(): number {
    return [...this.#sockets].reduce((sum, { bytesWritten }) => {
      return sum + bytesWritten;
    }, 0);
  }

  get hasClosed(): boolean {
    return [...this.#sockets].every(({ destroyed }) => destroyed);
  }

  send(): Receiver {
    const receiver = new Receiver();
    const send = {
      target: "one-0",
      call: callOf(),
      timeLeft: TIMEOUT,
      lastEventId: null,
      needsNewConnection: false,
    };
    this.link.send(this.address, send, receiver);
    return receiver;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.link[Symbol.asyncDispose]();
    await this.#peer[Symbol.asyncDispose]();
  }
}

function answerOf(content: string, status = "200 OK"): string {
  const length = Buffer.byteLength(content);
  return `HTTP/1.1 ${status}\r\ncontent-length: ${length}\r\n\r\n${content}`;
}

function headWith(fields: object): string {
  return JSON.stringify({ head: { ...SUCCESS_HEAD, ...fields } });
}

const NO_LINES: Readonly<Record<string, string>> = {
  "no JSON": "x",
  "no object": "null",
  "a list": "[]",
  "neither a head nor a failure": "{}",
  "an empty head": '{"head":null}',
  "a status that no response has": headWith({ status: 99 }),
  "a status of four digits": headWith({ status: 1_000 }),
  "a status with a fraction": headWith({ status: 200.5 }),
  "a provisional status": headWith({ status: 103 }),
  "headers that are no list": headWith({ headers: "x" }),
  "a header that is no text": headWith({ headers: ["x", 1] }),
  "a header without a value": headWith({ headers: ["x"] }),
  "a header with a line end": headWith({ headers: ["x", "a\r\nb"] }),
  "a header beyond one byte": headWith({ headers: ["x", "\u65e5"] }),
  "a header without a name": headWith({ headers: ["", "x"] }),
  "a load that is no number": headWith({ load: { running: "x" } }),
  "a failure that is not known": '{"failure":"x","detail":"x"}',
  "a detail that is no text": '{"failure":"broken","detail":{"a":1}}',
};

// Guards against a process that ends, or a call that is never answered, since a
// peer's line is used as if it had the expected form.
describe("a peer's first line", () => {
  for (const [name, line] of Object.entries(NO_LINES)) {
    it(`that is not valid loses the path: ${name}`, async () => {
      await using harness = await Harness.start((socket) =>
        socket.write(answerOf(`${line}\n`)),
      );
      const receiver = harness.send();
      await receiver.finished;
      expect(receiver.failure).to.equal(SendFailure.PathLost);
      expect(receiver.answerHead).to.equal(null);
    });
  }

  // Guards against a process of an older build whose answers are not taken.
  it("may lack what a target does not report", async () => {
    const { status, headers, isNotRun, isForOtherRequest } = SUCCESS_HEAD;
    const head = { status, headers, isNotRun, isForOtherRequest };
    await using harness = await Harness.start((socket) =>
      socket.write(answerOf(`${JSON.stringify({ head })}\n`)),
    );
    const receiver = harness.send();
    await receiver.finished;
    expect(receiver.answerHead).to.deep.equal(SUCCESS_HEAD);
  });

  // Guards against a long sound head that is cut, or read with the square of
  // its length as work.
  it("arrives whole in chunks of a byte", async () => {
    const headers = ["x-long", "v".repeat(LONG_VALUE), "x-odd", "\u00e9"];
    const line = Buffer.from(`${headWith({ headers })}\nrest`);
    await using harness = await Harness.start((socket) => {
      socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
      for (const byte of line) {
        socket.write(Buffer.from([0x31, 13, 10, byte, 13, 10]));
      }
      socket.write("0\r\nforward-end: whole\r\n\r\n");
    });
    const receiver = harness.send();
    await receiver.finished;
    expect(receiver.failure).to.equal(null);
    expect(receiver.answerHead?.headers).to.deep.equal(headers);
    expect(receiver.text).to.equal("rest");
    expect(harness.memory.used).to.equal(0);
  });
});

// Guards against a peer, or another program at its address, that writes without
// end what is kept until it ends.
describe("a peer's response without end", () => {
  for (const [name, pieces] of Object.entries(ENDLESS_PIECES)) {
    it(`is cut within its bounds: ${name}`, async () => {
      await using harness = await Harness.start((socket) =>
        writePieces(socket, pieces),
      );
      const receiver = harness.send();
      if (pieces.repeated !== "") {
        await receiver.finished;
        expect(receiver.failure).to.equal(SendFailure.PathLost);
        expect(harness.bounds).to.have.length(1);
      }
      expect(harness.sent).to.be.at.most(MOST_BYTES);
      await harness.link[Symbol.asyncDispose]();
      await waitFor("the connection is closed", () => harness.hasClosed);
      expect(harness.memory.used).to.equal(0);
    });
  }
});

// Guards against a process that ends with an answer whose form is not checked.
describe("a peer's answer to an exchange", () => {
  const engine = "one-0";
  const contents = [
    "x",
    "null",
    "[]",
    "{}",
    '{"report":null}',
    '{"report":{"engine":null}}',
    '{"kind":"x"}',
    '{"outcome":"x"}',
    '{"outOfReach":5}',
    '{"outOfReach":[5]}',
    '{"crashes":{}}',
    '{"crashes":[null]}',
    `{"crashes":[],"x":[${"[],".repeat(1_000_000)}[]]}`,
  ];
  for (const content of contents) {
    const name = content.slice(0, 40);
    it(`counts as none if it is not valid: ${name}`, async () => {
      await using harness = await Harness.start((socket) => {
        socket.write(answerOf(content));
      });
      const { link, address } = harness;
      const exchange = { engine, timeout: TIMEOUT };
      const report = await link.fetchReport(address, exchange);
      expect(report.isErr() && report.error.kind).to.equal(
        CallFailureKind.NoPath,
      );
    });

    it(`leaves its sender without an outcome: ${name}`, async () => {
      await using harness = await Harness.start((socket) => {
        socket.on("data", () => socket.write(answerOf(content)));
        socket.write(answerOf(content));
      });
      const { link, address } = harness;
      const order = {
        kind: OrderKind.Leave,
        group: "group-1",
        epoch: 1,
      } as const;
      const exchange = { engine, timeout: TIMEOUT, order };
      expect(await link.sendOrder(address, exchange)).to.equal(
        OrderOutcome.Unknown,
      );
      expect(await link.ping(address, TIMEOUT)).to.equal(null);
      const news = { crashes: [], wantsAll: true };
      expect(await link.tellCrashes(address, news, TIMEOUT)).to.equal(null);
    });
  }
});
