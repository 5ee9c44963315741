/** A process that holds the lease and answers in another form, or without end. */
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { listenOn } from "../src/adapters/listen.ts";
import { ENDLESS_PIECES, writePieces } from "./support/endless_pieces.ts";
import type { IEndlessAnswer } from "./support/endless_pieces.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { MemorySampler } from "./support/memory_sampler.ts";
import { waitFor } from "./support/process_handle.ts";

/** Megabytes that the platform gives an entry process, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

/** Replies to each process before the lease is left to it. */
const REPLIES = 40;

/** Values of a reply that is far larger once it is parsed. */
const VALUES = 2_500_000;

const WORD = {
  tableVersion: 1,
  groups: [],
  othersInFlight: {},
  isInDoubt: false,
  processes: 2,
};

/** Replies in another form. */
const ODD_REPLIES = [
  "",
  "no JSON",
  "null",
  "7",
  "[]",
  "{}",
  '{"isHolder":true}',
  '{"isHolder":true,"word":null}',
  '{"isHolder":true,"word":{}}',
  '{"isHolder":false}',
  '{"isHolder":false,"other":{}}',
  '{"isHolder":false,"other":{"process":7}}',
  ...[
    { groups: 7 },
    { groups: [null] },
    { groups: [{}] },
    { groups: null, tableChanges: { since: 1 } },
    { groups: null, tableChanges: 7 },
    { givenUp: {} },
    { othersInFlight: null },
    { othersInFlight: { a: "1" } },
    { processes: "2" },
    { rateLimits: { a: null } },
    { rateShares: 7 },
    { peers: [null] },
    { peers: {} },
    { quarantine: {} },
    { quarantine: { received: 0, suspects: {}, listVersion: 1, entries: 7 } },
    { store: {} },
    { store: { configuration: null, targets: null, targetChanges: 1 } },
  ].map((odd) => JSON.stringify({ isHolder: true, word: { ...WORD, ...odd } })),
];

const LARGE_REPLY = `[${"[],".repeat(VALUES)}[]]`;

/** Answers in turn in each of the given ways, and counts the answers. */
class FaultyHolder {
  replies = 0;
  readonly #answers: readonly (string | IEndlessAnswer)[];
  readonly #server = createServer((request, response) => {
    request.resume().on("end", () => this.#answer(response));
  });

  constructor(answers: readonly (string | IEndlessAnswer)[]) {
    this.#answers = answers;
  }

  listen(): Promise<string> {
    return listenOn(this.#server, "127.0.0.1:0");
  }

  [Symbol.dispose](): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #answer(response: ServerResponse): void {
    const answer = this.#answers[this.replies % this.#answers.length] ?? "";
    this.replies += 1;
    if (typeof answer === "string") {
      response.end(answer);
    } else if (response.socket !== null) {
      writePieces(response.socket, answer);
    }
  }
}

/** Plays a time with a faulty holder; the process serves then and after it. */
async function expectServedBeside(
  answers: readonly (string | IEndlessAnswer)[],
): Promise<void> {
  await using fleet = new EntryFleet();
  fleet.limits = { memory: MEMORY, heap: HEAP };
  fleet.hasLinks = false;
  await fleet.start(1);
  using holder = new FaultyHolder(answers);
  const name = `${await holder.listen()}/other`;
  const { store, processes } = fleet;
  const [process] = processes;
  if (process === undefined) {
    throw new Error("no process was started");
  }
  const { handle } = process;
  using sampler = new MemorySampler(handle, MEMORY);
  const statuses: number[] = [];
  const send = async () => {
    const answer = await fleet.sendCall(0, Path.Safe).catch(() => null);
    statuses.push(answer?.status ?? 0);
  };
  let attempt = 0;
  await waitFor("the replies have been read", async () => {
    const record = store.specOf("fabric_domains", "engines") as {
      readonly epoch: number;
      readonly holder: string | null;
    };
    attempt += 1;
    store.put("fabric_domains", "engines", {
      ...record,
      epoch: record.epoch + (record.holder === name ? 0 : 1),
      holder: name,
      attempt: `other-${attempt}`,
    });
    await send();
    return holder.replies >= REPLIES || handle.hasExited;
  });
  expect(handle.hasExited, "the process has ended").to.equal(false);
  await waitFor("the process takes the lease", () => {
    const record = store.specOf("fabric_domains", "engines");
    return (record as { readonly holder: string }).holder !== name;
  });
  await send();
  expect(handle.hasExited, "the process has ended").to.equal(false);
  expect(sampler.peak).to.be.at.most(MEMORY);
  const refused = statuses.filter((status) => status !== 200);
  expect(refused, statuses.join()).to.deep.equal([]);
}

describe("a faulty lease holder", () => {
  // Guards against a process that ends since a reply is used unchecked.
  it("that replies in another form leaves callers served", async () => {
    await expectServedBeside(ODD_REPLIES);
  });

  // Guards against a process that ends, or stands still, since the values of a
  // short reply take far more memory and work than its bytes.
  it("that replies with many values leaves callers served", async () => {
    await expectServedBeside([LARGE_REPLY]);
  });

  // Guards against the same by replies in pieces without end.
  it("that replies without end leaves callers served", async () => {
    await expectServedBeside(Object.values(ENDLESS_PIECES));
  });

  // Guards against a check that sound replies do not pass.
  it("is told from a sound one", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(2);
    const [, other] = fleet.processes;
    const output = () => other?.handle.output ?? "";
    await waitFor("the holder is heard", () =>
      output().includes("event=holder_heard"),
    );
    for (let call = 0; call < REPLIES; call += 1) {
      const statuses = await fleet.statusesOf(1, Path.Stream, 1);
      expect(statuses).to.deep.equal([200]);
    }
    expect(output()).not.to.include("in another form");
    expect(output()).not.to.include("event=holder_lost");
    expect(output()).not.to.include("event=answer_cut");
  });
});
