/** Targets whose answers have no end, and the memory of the process. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { ICallAnswer, IFleetProcess } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";
import { EndlessAnswer } from "./support/platform_engine.ts";
import { EndlessPart } from "./support/platform_plain_target.ts";

/** Megabytes that the platform gives an entry process. */
const MEMORY = 350;

/** Calls that are open at once. */
const CALLS = 12;

/** Engines whose reports have no end. */
const ENGINES = 40;

/** Milliseconds for which reports are played. */
const CONTROL_TIME = 4_000;

interface IOutcome {
  readonly peak: number;
  /** Null for a call whose connection broke. */
  readonly answers: readonly (ICallAnswer | null)[];
}

/** Starts one process, and measures it while calls are open. */
async function play(
  prepare: (fleet: EntryFleet) => void,
  path: Path,
): Promise<IOutcome> {
  await using fleet = new EntryFleet();
  await fleet.start(1);
  prepare(fleet);
  const { handle } = firstOf(fleet);
  using sampler = new MemorySampler(handle, MEMORY);
  const answers = await Promise.all(
    Array.from({ length: CALLS }, () =>
      fleet.sendCall(0, path).catch(() => null),
    ),
  );
  return { peak: sampler.peak, answers };
}

function firstOf({ processes }: EntryFleet): IFleetProcess {
  const [process] = processes;
  if (process === undefined) {
    throw new Error("no process was started");
  }
  return process;
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

function expectBounded({ peak, answers }: IOutcome): void {
  const statuses = answers.map((answer) => answer?.status);
  expect(peak, `statuses ${statuses.join()}`).to.be.at.most(MEMORY);
  // Each caller is answered, and no call seems whole; some may not have run.
  const failures = statuses.filter((one) => one === 502 || one === 503);
  expect(failures, statuses.join()).to.have.length(CALLS);
}

describe("answers without end", () => {
  // Guards against a process that keeps what a target writes until its memory
  // is gone, and with it all calls that it serves.
  it("of plain targets end with their calls in bounded memory", async () => {
    const outcome = await play(({ plainTargets }) => {
      plainTargets.forEach((one) => (one.endless = EndlessPart.Body));
    }, Path.Unsafe);
    expectBounded(outcome);
  });

  // Guards against a head that is read for as long as it comes.
  it("in the head end with their calls in bounded memory", async () => {
    const outcome = await play(({ plainTargets }) => {
      plainTargets.forEach((one) => (one.endless = EndlessPart.Head));
    }, Path.Unsafe);
    expectBounded(outcome);
  });

  // Guards against a failure that is kept until it is complete.
  it("of engines that fail end with their calls in bounded memory", async () => {
    const outcome = await play(({ engines }) => {
      engines.forEach((one) => (one.endless = EndlessAnswer.Failure));
    }, Path.Stream);
    expectBounded(outcome);
  });

  // Guards against events that are kept until they are complete.
  it("within an event end with their calls in bounded memory", async () => {
    const outcome = await play(({ engines }) => {
      engines.forEach((one) => (one.endless = EndlessAnswer.Stream));
    }, Path.Stream);
    expectBounded(outcome);
  });

  // Guards against events that are kept for a caller that does not read them.
  it("to callers that do not read leave the memory bounded", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(1);
    fleet.engines.forEach((one) => (one.endless = EndlessAnswer.Events));
    const { handle, callers } = firstOf(fleet);
    using sampler = new MemorySampler(handle, MEMORY);
    const sockets = Array.from({ length: CALLS }, (_, index) =>
      connectWithoutReading(callers, `unread-${index}`),
    );
    await sleep(CONTROL_TIME);
    sockets.forEach((socket) => socket.destroy());
    expect(sampler.peak).to.be.at.most(MEMORY);
  });

  // Guards against reports of engines that fill the memory of the lease holder.
  it("to status checks leave the memory bounded", async () => {
    await using fleet = new EntryFleet(ENGINES);
    await fleet.start(1);
    const { handle } = firstOf(fleet);
    fleet.engines.forEach((one) => (one.endless = EndlessAnswer.Report));
    using sampler = new MemorySampler(handle, MEMORY);
    const startedAt = performance.now();
    while (performance.now() - startedAt < CONTROL_TIME && !handle.hasExited) {
      await fleet.sendCall(0, Path.Safe).catch(() => null);
    }
    expect(sampler.peak).to.be.at.most(MEMORY);
  });
});
