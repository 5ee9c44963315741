/** Targets whose answers go on in pieces of a byte, before an entry process. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { ENDLESS_EVENTS, ENDLESS_PIECES } from "./support/endless_pieces.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { ICallAnswer, IFleetProcess } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";
import { waitFor } from "./support/process_handle.ts";

/** Megabytes that the platform gives an entry process, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** Calls that are open at once. */
const CALLS = 40;

/** Calls to sound targets, one after the other, while those are open. */
const SOUND_CALLS = 5;

/** Engines whose reports have no end. */
const ENGINES = 40;

/** Milliseconds for which events are not read. */
const UNREAD_TIME = 4_000;

/** Pieces of a sound answer, and bytes of each. */
const SOUND_PIECES = 20_000;
const SOUND_PIECE = 64;

/** Statuses of calls that a target did not answer. */
const FAILURES = [502, 503, 504];

interface IOutcome {
  readonly peak: number;
  readonly hasExited: boolean;
  /** Statuses of the calls to the faulty targets; 0 for a broken one. */
  readonly statuses: readonly number[];
  readonly soundStatuses: readonly number[];
}

async function startFleet(engines?: number): Promise<EntryFleet> {
  const fleet = new EntryFleet(engines);
  fleet.limits = { memory: MEMORY, heap: HEAP };
  // A link would keep what the process does not read.
  fleet.hasLinks = false;
  await fleet.start(1);
  return fleet;
}

function firstOf({ processes }: EntryFleet): IFleetProcess {
  const [process] = processes;
  if (process === undefined) {
    throw new Error("no process was started");
  }
  return process;
}

/** Sends calls to faulty targets, and others to sound ones meanwhile. */
async function play(
  fleet: EntryFleet,
  paths: { readonly faulty: Path; readonly sound: Path },
): Promise<IOutcome> {
  const { handle } = firstOf(fleet);
  using sampler = new MemorySampler(handle, MEMORY);
  const calls = Promise.all(
    Array.from({ length: CALLS }, () => statusOf(fleet, paths.faulty)),
  );
  const soundStatuses: number[] = [];
  for (let call = 0; call < SOUND_CALLS; call += 1) {
    soundStatuses.push(await statusOf(fleet, paths.sound));
  }
  const statuses = await calls;
  soundStatuses.push(await statusOf(fleet, paths.sound));
  const { peak } = sampler;
  return { peak, hasExited: handle.hasExited, statuses, soundStatuses };
}

async function statusOf(fleet: EntryFleet, path: Path): Promise<number> {
  const answer = await fleet.sendCall(0, path).catch(() => null);
  return answer?.status ?? 0;
}

function expectServed(outcome: IOutcome): void {
  const { peak, hasExited, statuses, soundStatuses } = outcome;
  expect(hasExited, "the process has ended").to.equal(false);
  expect(peak).to.be.at.most(MEMORY);
  const failures = statuses.filter((status) => FAILURES.includes(status));
  expect(failures, statuses.join()).to.have.length(CALLS);
  const answered = soundStatuses.filter((status) => status === 200);
  expect(answered, soundStatuses.join()).to.have.length(SOUND_CALLS + 1);
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

// Guards against a process that ends, or stands still, since each piece of what
// a target writes costs far more memory and work than its bytes.
describe("answers in pieces without end", () => {
  for (const [name, pieces] of Object.entries(ENDLESS_PIECES)) {
    it(`of plain targets leave others served: ${name}`, async () => {
      await using fleet = await startFleet();
      fleet.plainTargets.forEach((one) => (one.pieces = pieces));
      const paths = { faulty: Path.Unsafe, sound: Path.Stream };
      expectServed(await play(fleet, paths));
    });

    it(`of engines leave others served: ${name}`, async () => {
      await using fleet = await startFleet();
      const answer = { path: null, answer: pieces };
      fleet.engines.forEach((one) => (one.pieces = answer));
      const paths = { faulty: Path.Stream, sound: Path.Safe };
      expectServed(await play(fleet, paths));
    });
  }

  for (const path of ["/report", "/order"]) {
    it(`to the process itself leave others served: ${path}`, async () => {
      for (const answer of Object.values(ENDLESS_PIECES)) {
        await using fleet = await startFleet(ENGINES);
        fleet.engines.forEach((one) => (one.pieces = { path, answer }));
        const { handle } = firstOf(fleet);
        using sampler = new MemorySampler(handle, MEMORY);
        const statuses: number[] = [];
        for (let call = 0; call < CALLS; call += 1) {
          statuses.push(await statusOf(fleet, Path.Safe));
        }
        expect(handle.hasExited, "the process has ended").to.equal(false);
        expect(sampler.peak).to.be.at.most(MEMORY);
        const answered = statuses.filter((status) => status === 200);
        expect(answered, statuses.join()).to.have.length(CALLS);
      }
    });
  }

  // Guards against events that are kept one by one for callers that do not read.
  it("to callers that do not read leave others served", async () => {
    await using fleet = await startFleet();
    const answer = { path: null, answer: ENDLESS_EVENTS };
    fleet.engines.forEach((one) => (one.pieces = answer));
    const { handle, callers } = firstOf(fleet);
    using sampler = new MemorySampler(handle, MEMORY);
    const sockets = Array.from({ length: CALLS }, (_, index) =>
      connectWithoutReading(callers, `unread-${index}`),
    );
    await sleep(UNREAD_TIME);
    expect(await statusOf(fleet, Path.Safe)).to.equal(200);
    sockets.forEach((socket) => socket.destroy());
    expect(handle.hasExited, "the process has ended").to.equal(false);
    expect(sampler.peak).to.be.at.most(MEMORY);
  });

  // Guards against answers that are cut without a line that says which target
  // wrote them.
  it("are logged with their target and the bound that they met", async () => {
    await using fleet = await startFleet();
    fleet.plainTargets.forEach((one) => (one.pieces = ENDLESS_PIECES.chunks));
    const answer = { path: null, answer: ENDLESS_PIECES["provisional heads"] };
    fleet.engines.forEach((one) => (one.pieces = answer));
    const { handle } = firstOf(fleet);
    await waitFor("both bounds are logged", async () => {
      await Promise.all([
        statusOf(fleet, Path.Unsafe),
        statusOf(fleet, Path.Stream),
      ]);
      return ["length", "framing"].every((bound) =>
        new RegExp(
          `event=answer_cut .*bound=${bound} source=127\\.0\\.0\\.1:`,
        ).test(handle.output),
      );
    });
  });

  // Guards against a bound on pieces that sound answers meet.
  it("are told from a long sound answer in pieces", async () => {
    await using fleet = await startFleet();
    const piece = "x".repeat(SOUND_PIECE);
    fleet.plainTargets.forEach((one) => {
      one.answer = piece.repeat(SOUND_PIECES);
      one.pieceLength = SOUND_PIECE;
    });
    const answers: ICallAnswer[] = [];
    await waitFor("the process serves", async () => {
      answers.push(await fleet.sendCall(0, Path.Safe));
      return answers.at(-1)?.status === 200;
    });
    expect(answers.at(-1)?.text.length).to.equal(SOUND_PIECES * SOUND_PIECE);
  });
});
