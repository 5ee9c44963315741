/** Answers that meet the bounds of a connection, and sound ones that do not. */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { request } from "undici";
import type { Agent } from "undici";
import { RawTarget } from "../../../test/support/raw_target.ts";
import {
  ENDLESS_PIECES,
  writePieces,
} from "../../../test/support/endless_pieces.ts";
import type { IEndlessAnswer } from "../../../test/support/endless_pieces.ts";
import { waitFor } from "../../../test/support/process_handle.ts";
import { AnswerBound } from "../../common/calls/answer_bounds.ts";
import {
  AnswerMemory,
  LONGEST_ANSWER,
} from "../../common/calls/answer_memory.ts";
import { HttpClients } from "./http_clients.ts";

const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** Bytes of the longest body that is read. */
const LIMIT = 65_536;

/** Bytes; more than any answer, and what is on its way, may take. */
const MOST_BYTES = 16_777_216;

/** Connections of a flood. */
const FLOODS = 10;

/** Fields of a head that is not complete. */
const FIELDS = 4_000;

/** An agent of some clients, for the time of a test. */
class TestAgent implements AsyncDisposable {
  readonly dispatcher: Agent;

  constructor(clients: HttpClients, options: Agent.Options = {}) {
    this.dispatcher = clients.createAgent(options);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.dispatcher.destroy();
  }
}

interface IPlayed {
  readonly bounds: readonly AnswerBound[];
  readonly text: string | null;
  /** Bytes that the client has read, or that are on their way. */
  readonly sent: number;
}

/** Reads an answer that a target writes. */
async function read(write: (socket: Socket) => void): Promise<IPlayed> {
  const bounds: AnswerBound[] = [];
  const sockets = new Set<Socket>();
  await using target = new RawTarget((_, socket) => {
    if (!sockets.has(socket)) {
      sockets.add(socket);
      write(socket);
    }
  });
  const clients = new HttpClients({
    recorder: { record: (bound) => bounds.push(bound) },
  });
  const source = await target.listen();
  await using agent = new TestAgent(clients);
  const text = await request(`http://${source}/`, agent)
    .then(({ body }) => clients.readText(body, { limit: LIMIT, source }))
    .catch(() => null);
  const sent = [...sockets].reduce(
    (sum, { bytesWritten, writableLength }) =>
      sum + bytesWritten - writableLength,
    0,
  );
  return { bounds, text, sent };
}

function answerOf(content: string): string {
  const length = content.length;
  return `HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n${content}`;
}

/** The longest answer in chunks of a length. */
function chunksOf(length: number): string {
  const chunk = `${length.toString(16)}\r\n${"x".repeat(length)}\r\n`;
  return `${HEAD}${chunk.repeat(LONGEST_ANSWER / length)}0\r\n\r\n`;
}

/** Writes a text a few bytes at a time. */
function writeSlowly(socket: Socket, text: string, length: number): void {
  const [part, rest] = [text.slice(0, length), text.slice(length)];
  socket.write(part);
  if (rest !== "") {
    setImmediate(() => writeSlowly(socket, rest, length));
  }
}

/** Connections whose answers in pieces go on while others are read. */
class Flood implements AsyncDisposable {
  readonly #target: RawTarget;
  readonly #agent: TestAgent;
  readonly #clients: HttpClients;
  readonly #open = new Set<Socket>();

  constructor(clients: HttpClients) {
    const open = this.#open;
    this.#target = new RawTarget((_, socket) => {
      if (!open.has(socket)) {
        open.add(socket);
        writePieces(socket, ENDLESS_PIECES.chunks);
      }
    });
    this.#clients = clients;
    this.#agent = new TestAgent(clients);
  }

  get #isRead(): boolean {
    const open = [...this.#open];
    return open.length === FLOODS && open.every((one) => one.bytesWritten > 0);
  }

  async start(): Promise<void> {
    const source = await this.#target.listen();
    const failures: string[] = [];
    for (let connection = 0; connection < FLOODS; connection += 1) {
      void request(`http://${source}/`, this.#agent)
        .then(({ body }) =>
          this.#clients.readText(body, { limit: LONGEST_ANSWER, source }),
        )
        .catch((error: unknown) => failures.push(String(error)));
    }
    await waitFor("answers in pieces arrive", () => this.#isRead).catch(
      (error: unknown) => {
        const seen = `${this.#open.size} connections, ${failures.join()}`;
        throw new Error(`${String(error)}: ${seen}`);
      },
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent[Symbol.asyncDispose]();
    await this.#target[Symbol.asyncDispose]();
  }
}

describe("HttpClients", () => {
  // Guards against bytes beside any answer that are read for as long as their
  // sender likes.
  for (const name of [
    "fields",
    "provisional heads",
    "chunks with extensions",
  ] as const) {
    it(`closes a connection for its framing: ${name}`, async () => {
      const pieces: IEndlessAnswer = ENDLESS_PIECES[name];
      const { bounds, text, sent } = await read((socket) =>
        writePieces(socket, pieces),
      );
      expect(text).to.equal(null);
      expect(sent).to.be.at.most(MOST_BYTES);
      expect(bounds).to.deep.equal([AnswerBound.Framing]);
    });
  }

  it("closes a connection for the length of its answer", async () => {
    const { bounds, text, sent } = await read((socket) =>
      writePieces(socket, ENDLESS_PIECES.chunks),
    );
    expect(text).to.equal(null);
    expect(sent).to.be.at.most(MOST_BYTES);
    expect(bounds).to.deep.equal([AnswerBound.Length]);
  });

  // Guards against heads with so many fields that a few of them fill the heap.
  it("closes a connection for the fields of its head", async () => {
    const head = HEAD.replace("\r\n\r\n", `\r\n${"a:b\r\n".repeat(1_100)}\r\n`);
    const { bounds, text } = await read((socket) =>
      socket.write(`${head}2\r\nok\r\n0\r\n\r\n`),
    );
    expect(text).to.equal(null);
    expect(bounds).to.deep.equal([AnswerBound.Fields]);
  });

  // Guards against a bound of the HTTP client that nobody is told of.
  it("reports a field that is too long", async () => {
    const head = HEAD.replace(
      "\r\n\r\n",
      `\r\na: ${"b".repeat(20_000)}\r\n\r\n`,
    );
    const { bounds, text } = await read((socket) =>
      socket.write(`${head}0\r\n\r\n`),
    );
    expect(text).to.equal(null);
    expect(bounds).to.deep.equal([AnswerBound.Framing]);
  });

  // Guards against the memory of many heads that are not complete.
  it("closes connections for the memory of their heads", async () => {
    const bounds: AnswerBound[] = [];
    await using target = new RawTarget((_, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${"a:b\r\n".repeat(FIELDS)}`);
    });
    const memory = new AnswerMemory(50);
    const clients = new HttpClients({
      controlMemory: memory,
      recorder: { record: (bound) => bounds.push(bound) },
    });
    const origin = `http://${await target.listen()}`;
    await using agent = new TestAgent(clients);
    const calls = Array.from({ length: 30 }, () =>
      request(origin, agent).catch(() => null),
    );
    await waitFor("heads are discarded", () => bounds.length > 0);
    expect(new Set(bounds)).to.deep.equal(new Set([AnswerBound.Memory]));
    await agent.dispatcher.destroy();
    await Promise.all(calls);
    expect(memory.used).to.equal(0);
  });

  // Guards against bounds that sound answers meet.
  it("reads a long answer in chunks of a byte", async () => {
    const chunks = "1\r\nx\r\n".repeat(LIMIT);
    const { bounds, text } = await read((socket) =>
      socket.write(`${HEAD}${chunks}0\r\n\r\n`),
    );
    expect(text?.length).to.equal(LIMIT);
    expect(bounds).to.deep.equal([]);
  });

  it("reads an answer that arrives a few bytes at a time", async () => {
    const hint = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
    const answer = `${hint}${HEAD}5\r\nhello\r\n0\r\nx: y\r\n\r\n`;
    const { bounds, text } = await read((socket) =>
      writeSlowly(socket, answer, 3),
    );
    expect(text).to.equal("hello");
    expect(bounds).to.deep.equal([]);
  });

  // Guards against an answer that was written before the request, and is taken
  // for the answer to it because reading was put off.
  it("takes nothing that came before a request for its answer", async () => {
    const clients = new HttpClients();
    await using flood = new Flood(clients);
    await flood.start();
    const answered = new Set<Socket>();
    await using target = new RawTarget((_, socket) => {
      socket.write(answerOf("sound"));
      if (!answered.has(socket)) {
        answered.add(socket);
        setTimeout(() => socket.write(answerOf("stale")), 1);
      }
    });
    const origin = `http://${await target.listen()}`;
    await using agent = new TestAgent(clients, { connections: 1 });
    for (let answer = 0; answer < 60; answer += 1) {
      const text = await request(origin, agent)
        .then(({ body }) => body.text())
        .catch(() => null);
      // A connection with a stale answer is closed, and its request may fail.
      expect(text).to.be.oneOf(["sound", null]);
      await sleep(answer % 5);
    }
  });

  // Guards against sound answers that are cut, or starved, beside others.
  for (const [name, chunk] of [
    ["with a length", null],
    ["in chunks", 64],
  ] as const) {
    it(`reads the longest answer beside a flood: ${name}`, async () => {
      const clients = new HttpClients();
      await using flood = new Flood(clients);
      await flood.start();
      await using target = new RawTarget((_, socket) => {
        const content = "x".repeat(LONGEST_ANSWER);
        socket.write(chunk === null ? answerOf(content) : chunksOf(chunk));
      });
      const source = await target.listen();
      await using agent = new TestAgent(clients);
      const { body } = await request(`http://${source}/`, agent);
      const limit = LONGEST_ANSWER;
      const text = await clients.readText(body, { limit, source });
      expect(text.length).to.equal(LONGEST_ANSWER);
    });
  }

  // Guards against an end that the parser meets while it is paused: its failed
  // assertion would end the process.
  it("holds the end of an answer until its content is read", async () => {
    for (let length = 64_000; length < 75_000; length += 480) {
      await using target = new RawTarget((_, socket) =>
        socket.end(`HTTP/1.1 200 OK\r\n\r\n${"x".repeat(length)}`),
      );
      const clients = new HttpClients();
      await using agent = new TestAgent(clients);
      const { body } = await request(`http://${await target.listen()}`, agent);
      await sleep(5);
      expect((await body.text()).length).to.equal(length);
    }
  });

  it("reports a reset while the content is not read", async () => {
    for (let length = 64_000; length < 100_000; length += 4_800) {
      await using target = new RawTarget((_, socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${"x".repeat(length)}`);
        setTimeout(() => socket.resetAndDestroy(), 5);
      });
      const clients = new HttpClients();
      await using agent = new TestAgent(clients);
      const { body } = await request(`http://${await target.listen()}`, agent);
      body.on("error", () => undefined);
      await sleep(20);
      const text = await body.text().catch(() => null);
      expect(text).to.equal(null);
    }
  });

  it("reads many answers on one connection", async () => {
    await using target = new RawTarget((_, socket) =>
      socket.write(`${HEAD}1\r\nx\r\n0\r\n\r\n`),
    );
    const clients = new HttpClients();
    const source = await target.listen();
    await using agent = new TestAgent(clients, { connections: 1 });
    for (let answer = 0; answer < 1_000; answer += 1) {
      const { body } = await request(`http://${source}/`, agent);
      const text = await clients.readText(body, { limit: LIMIT, source });
      expect(text).to.equal("x");
    }
    expect(target.connections).to.equal(1);
  });
});
