/** Answers without end that one entry process passes on to another. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { ENDLESS_EVENTS, ENDLESS_PIECES } from "./support/endless_pieces.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";

/** Megabytes that the platform gives an entry process, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** The process that reaches the targets, and the one that sends through it. */
const NEAR = 0;
const FAR = 1;

/** Calls that are open at once. */
const CALLS = 20;

/** Calls to sound targets at each process, one after the other, meanwhile. */
const SOUND_CALLS = 5;

/** Milliseconds for which events are not read. */
const UNREAD_TIME = 4_000;

/** Bytes of a sound answer, and of each of its pieces. */
const SOUND_LENGTH = 1_048_576;
const SOUND_PIECE = 16;

/** Statuses of calls that a target did not answer. */
const FAILURES = [502, 503, 504];

/** Starts two processes, of which one reaches no target. */
async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  fleet.limits = { memory: MEMORY, heap: HEAP };
  await fleet.start(2);
  fleet.setLinks(FAR, LinkMode.Refuse);
  await fleet.waitUntilLost(FAR);
  return fleet;
}

async function statusOf(
  fleet: EntryFleet,
  process: number,
  path: Path,
): Promise<number> {
  const answer = await fleet.sendCall(process, path).catch(() => null);
  return answer?.status ?? 0;
}

/** Sends calls one after the other. */
async function statusesOf(
  fleet: EntryFleet,
  process: number,
  path: Path,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let call = 0; call < SOUND_CALLS; call += 1) {
    statuses.push(await statusOf(fleet, process, path));
  }
  return statuses;
}

/** Measures both processes while something is played. */
async function expectAlive(
  fleet: EntryFleet,
  play: () => Promise<void>,
): Promise<void> {
  const samplers = fleet.processes.map(
    ({ handle }) => new MemorySampler(handle, MEMORY),
  );
  try {
    await play();
  } finally {
    samplers.forEach((one) => one[Symbol.dispose]());
  }
  for (const [index, { handle }] of fleet.processes.entries()) {
    expect(handle.hasExited, `process ${index} has ended`).to.equal(false);
    expect(samplers[index]?.peak).to.be.at.most(MEMORY);
  }
}

/** Sends calls to faulty targets, and others to sound ones meanwhile. */
async function play(
  fleet: EntryFleet,
  paths: { readonly faulty: Path; readonly sound: Path },
): Promise<void> {
  const calls = Promise.all(
    Array.from({ length: CALLS }, () => statusOf(fleet, FAR, paths.faulty)),
  );
  const sound = await Promise.all(
    [NEAR, FAR].map((process) => statusesOf(fleet, process, paths.sound)),
  );
  const statuses = await calls;
  sound.push(await statusesOf(fleet, FAR, paths.sound));
  const answered = sound.flat().filter((status) => status === 200);
  expect(answered, sound.join()).to.have.length(3 * SOUND_CALLS);
  const failed = statuses.filter((status) => FAILURES.includes(status));
  expect(failed, statuses.join()).to.have.length(CALLS);
}

/** Sends a stream call on a connection from which nothing is read. */
function connectWithoutReading(address: string, id: string): Socket {
  const [host = "", port = ""] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => socket.destroy());
  socket.pause();
  const headers = [
    `POST ${Path.Stream} HTTP/1.1`,
    "host: news.example",
    "authorization: Bearer key-1",
    `x-attempt-id: ${id}`,
    "x-deadline-ms: 8000",
    "x-model: small",
    "x-token-counts: 100,150",
    "content-length: 0",
  ];
  socket.write(`${headers.join("\r\n")}\r\n\r\n`);
  return socket;
}

// Guards against two processes that end, or stand still, by one target: the
// bytes of an answer are kept by the one that passes them on and by the other.
describe("answers without end that are passed on", () => {
  for (const [name, pieces] of Object.entries(ENDLESS_PIECES)) {
    it(`by plain targets leave others served: ${name}`, async () => {
      await using fleet = await startFleet();
      fleet.plainTargets.forEach((one) => (one.pieces = pieces));
      const paths = { faulty: Path.Unsafe, sound: Path.Stream };
      await expectAlive(fleet, () => play(fleet, paths));
    });

    it(`by engines leave others served: ${name}`, async () => {
      await using fleet = await startFleet();
      const answer = { path: null, answer: pieces };
      fleet.engines.forEach((one) => (one.pieces = answer));
      const paths = { faulty: Path.Stream, sound: Path.Safe };
      await expectAlive(fleet, () => play(fleet, paths));
    });
  }

  // Guards against events of a few bytes that are kept, one by one, for a
  // process whose caller does not read.
  it("to callers that do not read leave others served", async () => {
    await using fleet = await startFleet();
    const answer = { path: null, answer: ENDLESS_EVENTS };
    fleet.engines.forEach((one) => (one.pieces = answer));
    await expectAlive(fleet, async () => {
      const address = fleet.processes[FAR]?.callers ?? "";
      const sockets = Array.from({ length: CALLS }, (_, index) =>
        connectWithoutReading(address, `unread-${index}`),
      );
      await sleep(UNREAD_TIME);
      const statuses = await Promise.all(
        [NEAR, FAR].map((process) => statusOf(fleet, process, Path.Safe)),
      );
      sockets.forEach((socket) => socket.destroy());
      expect(statuses).to.deep.equal([200, 200]);
    });
  });

  // Guards against a bound that a long sound answer meets on its second path.
  it("are told from a long sound answer in pieces", async () => {
    await using fleet = await startFleet();
    const answer = "0123456789abcdef".repeat(SOUND_LENGTH / 16);
    fleet.plainTargets.forEach((one) => {
      one.answer = answer;
      one.pieceLength = SOUND_PIECE;
    });
    const answers = await Promise.all(
      [NEAR, FAR].map((process) => fleet.sendCall(process, Path.Unsafe)),
    );
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200]);
    const areWhole = answers.every(({ text }) => text === answer);
    expect(areWhole, "both are whole").to.equal(true);
  });
});
