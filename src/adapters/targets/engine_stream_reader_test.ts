/** Streams of engines that are no answer, and sound ones in any pieces. */
import { expect } from "chai";
import { AnswerBound } from "../../common/calls/answer_bounds.ts";
import { AnswerMemory } from "../../common/calls/answer_memory.ts";
import { EngineStreamReader } from "./engine_stream_reader.ts";

const CALL = {
  requestId: "call-1",
  group: "fabric/1",
  generation: 1,
  prompt: "text",
  maximumTokens: 4,
  priority: 1,
  resumeFrom: 0,
};

/** Bytes of an event that is not complete. */
const PARTIAL_LENGTH = 100_000;

const MEGABYTE = 1_048_576;

interface IReading {
  readonly reader: EngineStreamReader;
  readonly memory: AnswerMemory;
  readonly bounds: AnswerBound[];
}

function startReading(): IReading {
  const memory = new AnswerMemory();
  const bounds: AnswerBound[] = [];
  const onExceeded = (bound: AnswerBound) => bounds.push(bound);
  const reader = new EngineStreamReader(CALL, { memory, onExceeded });
  return { reader, memory, bounds };
}

function eventOf(fields: object, isEnd = false): string {
  const { requestId, group, generation } = CALL;
  const data = JSON.stringify({ requestId, group, generation, ...fields });
  return `${isEnd ? "event: end\n" : ""}data: ${data}\n\n`;
}

function feed({ reader }: IReading, text: string) {
  return reader.feed(Buffer.from(text));
}

describe("EngineStreamReader", () => {
  // Guards against bounds that a sound stream meets.
  it("reads a stream in pieces of a byte", () => {
    const reading = startReading();
    const bytes = Buffer.from(
      eventOf({ sequence: 0, text: "một " }) +
        ": a comment\n\n" +
        eventOf({ sequence: 1, text: "hai" }).replaceAll("\n", "\r\n") +
        eventOf({ sequence: 2, text: "" }, true),
    );
    const texts: string[] = [];
    for (const byte of bytes) {
      const batch = reading.reader.feed(Uint8Array.of(byte)).unwrap();
      texts.push(...batch.map(({ text, isEnd }) => (isEnd ? "END" : text)));
    }
    expect(texts).to.deep.equal(["một ", "hai", "END"]);
    reading.reader[Symbol.dispose]();
    expect(reading.memory.used).to.equal(0);
    expect(reading.bounds).to.deep.equal([]);
  });

  // Guards against fields of another form, which would reach the caller: as a
  // part of its stream, or as a fault of the process.
  it("fails a stream whose event is of another form", () => {
    const events = [
      "data: null\n\n",
      "data: 7\n\n",
      "data: [\n\n",
      eventOf({ text: "a" }),
      eventOf({ sequence: "0", text: "a" }),
      eventOf({ sequence: "0\nevent: end", text: "a" }),
      eventOf({ sequence: -1, text: "a" }),
      eventOf({ sequence: 0 }),
      eventOf({ sequence: 0, text: 7 }),
      eventOf({ sequence: 0, text: [[]] }),
    ];
    for (const event of events) {
      const batch = feed(startReading(), event);
      expect(batch.isErr(), event).to.equal(true);
    }
  });

  // Guards against the text of values that take far more memory than it.
  it("fails a stream whose event has too many values", () => {
    const lists = "[],".repeat(MEGABYTE / 4);
    const deep = "[".repeat(MEGABYTE / 4);
    for (const text of [lists, deep]) {
      const reading = startReading();
      const batch = feed(reading, `data: {"text":[${text}\n\n`);
      expect(batch.isErr()).to.equal(true);
      expect(reading.bounds).to.deep.equal([AnswerBound.Values]);
    }
  });

  // Guards against pieces of an event that are kept outside all bounds.
  it("keeps the part of an event in the memory of all answers", () => {
    const reading = startReading();
    expect(feed(reading, "x".repeat(PARTIAL_LENGTH)).isOk()).to.equal(true);
    expect(reading.memory.used).to.be.at.least(PARTIAL_LENGTH);
    reading.reader[Symbol.dispose]();
    expect(reading.memory.used).to.equal(0);
  });

  it("fails a stream whose event has no end", () => {
    const reading = startReading();
    const piece = "x".repeat(MEGABYTE / 16);
    let fed = 0;
    while (feed(reading, piece).isOk()) {
      fed += piece.length;
      expect(fed).to.be.at.most(2 * MEGABYTE);
    }
    expect(reading.bounds).to.deep.equal([AnswerBound.Event]);
  });

  // Guards against events that bring no token, for as long as the call lasts.
  for (const [name, event] of [
    ["comments", ":\n\n"],
    ["duplicates", eventOf({ sequence: 0, text: "a" })],
  ] as const) {
    it(`fails a stream of ${name} without end`, () => {
      const reading = startReading();
      expect(feed(reading, eventOf({ sequence: 0, text: "a" })).isOk());
      const piece = event.repeat(Math.ceil(MEGABYTE / 16 / event.length));
      let fed = 0;
      while (feed(reading, piece).isOk()) {
        fed += piece.length;
        expect(fed).to.be.at.most(16 * MEGABYTE);
      }
      expect(reading.bounds).to.deep.equal([AnswerBound.Length]);
    });
  }

  // Guards against tokens without end, which a buffered answer would collect.
  it("fails a stream of more tokens than were asked for", () => {
    const reading = startReading();
    for (let sequence = 0; sequence < CALL.maximumTokens; sequence += 1) {
      expect(feed(reading, eventOf({ sequence, text: "a" })).isOk());
    }
    const sequence = CALL.maximumTokens;
    const more = feed(reading, eventOf({ sequence, text: "a" }));
    expect(more.isErr()).to.equal(true);
    expect(reading.bounds).to.deep.equal([AnswerBound.Length]);
  });
});
