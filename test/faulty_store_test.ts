/** A store whose answers cost far more than their bytes, or have no end. */
import type { IncomingMessage } from "node:http";
import { expect } from "chai";
import { ENDLESS_PIECES } from "./support/endless_pieces.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { IFleetProcess } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";
import type { IFaultyAnswer } from "./support/platform_store.ts";
import { waitFor } from "./support/process_handle.ts";

/** Megabytes that the platform gives an entry process, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** Bytes of a text; somewhat less than what is read of an answer. */
const TEXT_LENGTH = 8_000_000;

/** Answers of the faulty store in each test. */
const FAULTY_ANSWERS = 12;

/** Calls to a process before the store is sound again, and after. */
const CALLS = 20;

/** Objects of a list at the target size, and bytes of its chunks. */
const TARGETS = 2_300;
const PIECE = 16;

/** Each with few bytes and many values, or deeply nested. */
const TEXTS = {
  arrays: repeated("[],"),
  objects: repeated('{"a":0},'),
  "empty objects in items": `{"asOf":5,"items":${repeated("{},")}}`,
  "empty objects in events": `{"asOf":5,"events":${repeated("{},")}}`,
  numbers: repeated("0,"),
  nested: `${"[".repeat(TEXT_LENGTH / 2)}${"]".repeat(TEXT_LENGTH / 2)}`,
  keys: `{${keys()}}`,
} as const;

function repeated(element: string): string {
  const count = Math.floor(TEXT_LENGTH / element.length);
  return `[${element.repeat(count).slice(0, -1)}]`;
}

function keys(): string {
  const all: string[] = [];
  for (let length = 0; length < TEXT_LENGTH; length += 10) {
    all.push(`"${(1_000_000 + all.length).toString(36)}":0`);
  }
  return all.join();
}

/** Which of the store's requests are answered in a faulty way. */
const REQUESTS: Readonly<Record<string, IFaultyAnswer["matches"]>> = {
  "lists and watches": ({ method, url = "" }) =>
    method === "GET" && !isOfObject(url),
  watches: ({ url = "" }) => url.includes("watch="),
  // The lease is read again soon only where it could not be written.
  "reads and writes": ({ method, url = "" }) =>
    method !== "GET" || isOfObject(url),
};

function isOfObject(url: string): boolean {
  return /^\/objects\/[^/?]+\/[^/?]/.test(url);
}

function isAny(_request: IncomingMessage): boolean {
  return true;
}

async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  fleet.limits = { memory: MEMORY, heap: HEAP };
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

async function statusOf(fleet: EntryFleet, path: Path): Promise<number> {
  const answer = await fleet.sendCall(0, path).catch(() => null);
  return answer?.status ?? 0;
}

/** Plays a time with a faulty store; the process serves then and after it. */
async function expectServedBeside(
  fleet: EntryFleet,
  faulty: IFaultyAnswer,
): Promise<void> {
  const { store } = fleet;
  const { handle } = firstOf(fleet);
  using sampler = new MemorySampler(handle, MEMORY);
  store.faultyAnswers = 0;
  store.faultyAnswer = faulty;
  // Watches that wait are answered, so that others follow at once.
  store.put("servers", "none", {});
  store.put("config", "none", {});
  const statuses: number[] = [];
  const isPlayed = () =>
    store.faultyAnswers >= FAULTY_ANSWERS && statuses.length >= CALLS;
  await waitFor("the faulty answers have been read", async () => {
    for (const path of [Path.Stream, Path.Safe]) {
      statuses.push(await statusOf(fleet, path));
    }
    return isPlayed() || handle.hasExited;
  });
  store.faultyAnswer = null;
  expect(handle.hasExited, "the process has ended").to.equal(false);
  expect(sampler.peak).to.be.at.most(MEMORY);
  const refused = statuses.filter((status) => status !== 200);
  expect(refused, statuses.join()).to.deep.equal([]);
  await expectFollowed(fleet);
}

/** Waits until a process follows the store again: it drops a removed target. */
async function expectFollowed(fleet: EntryFleet): Promise<void> {
  const { store } = fleet;
  const { handle } = firstOf(fleet);
  const [target] = fleet.plainTargets;
  const id = target?.id ?? "";
  const entry = store.specOf("servers", id);
  store.remove("servers", id);
  await waitFor("a removed target is dropped", () =>
    new RegExp(`event=targets_dropped .*targets=${id}`).test(handle.output),
  );
  store.put("servers", id, entry);
  const epoch = () =>
    (store.specOf("fabric_domains", "engines") as { attempt: string }).attempt;
  const before = epoch();
  await waitFor("the lease is renewed", () => epoch() !== before);
  expect(await statusOf(fleet, Path.Stream)).to.equal(200);
  expect(await statusOf(fleet, Path.Safe)).to.equal(200);
  expect(handle.hasExited, "the process has ended").to.equal(false);
}

describe("a faulty store", () => {
  for (const [name, text] of Object.entries(TEXTS)) {
    // Guards against a process that ends, or stands still, since the values of
    // a short text take far more memory and work than its bytes.
    it(`that answers many values leaves callers served: ${name}`, async () => {
      await using fleet = await startFleet();
      const faulty = { matches: isAny, answers: [text] };
      await expectServedBeside(fleet, faulty);
    });
  }

  for (const [name, matches] of Object.entries(REQUESTS)) {
    // Guards against the same by answers in pieces without end.
    it(`that answers ${name} without end leaves callers served`, async () => {
      await using fleet = await startFleet();
      const answers = Object.values(ENDLESS_PIECES);
      await expectServedBeside(fleet, { matches, answers });
    });
  }

  // Guards against bounds that a sound list meets.
  it("is told from one that lists in many chunks", async () => {
    await using fleet = await startFleet();
    const { store } = fleet;
    const [target] = fleet.plainTargets;
    const entry = store.specOf("servers", target?.id ?? "") as object;
    store.pieceLength = PIECE;
    for (let index = 0; index < TARGETS; index += 1) {
      store.put("servers", `idle-${index}`, { ...entry, service: "idle" });
    }
    await fleet.restartProcess(0);
    await waitFor("the process serves", async () => {
      return (await statusOf(fleet, Path.Safe)) === 200;
    });
    await expectFollowed(fleet);
    expect(firstOf(fleet).handle.output).not.to.include("event=answer_cut");
  });
});
