/** Answers without a length that targets break off, on each path to a caller. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import {
  BREAKS,
  closeAndReset,
  closeWhileReading,
  HEADS_WITHOUT_LENGTH,
} from "./support/broken_answers.ts";
import type { RawAnswer } from "./support/broken_answers.ts";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import type { RawDataHandler } from "./support/raw_target.ts";

/** The process that reaches the targets, and the one that sends through it. */
const NEAR = 0;
const FAR = 1;

/** An event, so that a stream that ends after it looks whole. */
const PART = "id: 1\ndata: part\n\n";

const STATUS_OK = 200;

/** Bytes of requests, of which the system buffers each. */
const LENGTHS = [10, 200_000, 3_000_000];

/** Starts two processes without links, of which one reaches no target. */
async function startFleet(): Promise<EntryFleet> {
  const fleet = new EntryFleet();
  await fleet.start(2);
  // A link would report a target's reset as an orderly end.
  fleet.hasLinks = false;
  await fleet.restartProcess(NEAR);
  fleet.setLinks(FAR, LinkMode.Refuse);
  await fleet.waitUntilLost(FAR);
  return fleet;
}

function setAnswers(
  { plainTargets, engines }: EntryFleet,
  answer: ((text: string) => RawDataHandler) | null,
): void {
  const heads = Object.values(HEADS_WITHOUT_LENGTH);
  let count = 0;
  const answerRaw: RawAnswer | null =
    answer &&
    ((socket, fields) => {
      const head = heads[count % heads.length];
      count += 1;
      answer(`${head}${fields}\r\n${PART}`)("", socket);
    });
  [...plainTargets, ...engines].forEach((one) => (one.answerRaw = answerRaw));
}

/** What a caller takes for a whole answer; null if it gets none. */
async function answerOf(
  fleet: EntryFleet,
  call: { process: number; path: Path; length: number },
): Promise<string | null> {
  const body = new Uint8Array(call.length);
  const answer = await fleet
    .sendCall(call.process, call.path, { body })
    .catch(() => null);
  return answer?.status === STATUS_OK ? answer.text : null;
}

/** Sends calls of each kind and length, one after the other. */
async function play(fleet: EntryFleet) {
  const seen: { call: string; text: string | null }[] = [];
  for (const process of [NEAR, FAR]) {
    for (const path of Object.values(Path)) {
      for (const length of LENGTHS) {
        const text = await answerOf(fleet, { process, path, length });
        seen.push({ call: `${length} bytes, ${path} at ${process}`, text });
      }
    }
  }
  return seen;
}

describe("answers without a length", () => {
  let fleet: EntryFleet;

  before(async () => {
    fleet = await startFleet();
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
  });

  afterEach(() => setAnswers(fleet, null));

  for (const [end, breakOff] of Object.entries(BREAKS)) {
    // Guards against a part of an answer that a caller gets as a whole one: its
    // target closed the connection, and reset it without reading the request.
    it(`are given to no caller once they are broken by ${end}`, async () => {
      setAnswers(fleet, breakOff);
      for (const { call, text } of await play(fleet)) {
        expect(text, call).to.equal(null);
      }
    });
  }

  // Guards against a broken answer of which an operator sees nothing.
  it("are logged if they are broken off", async () => {
    setAnswers(fleet, (text) => closeAndReset(text, 0));
    await play(fleet);
    const output = fleet.processes[NEAR]?.handle.output ?? "";
    const line =
      /event=answer_broken_off .*end=reset source=\S+ has_length=false/;
    expect(output).to.match(line);
  });

  // Guards against a check for broken answers that sound ones fail.
  it("reach callers whole if the request is read", async () => {
    setAnswers(fleet, closeWhileReading);
    for (const { call, text } of await play(fleet)) {
      expect(text, call).to.equal(PART);
    }
  });
});
