import { expect } from "chai";
import fc from "fast-check";
import { EventSplitter, LONGEST_EVENT } from "./event_splitter.ts";

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Pushes a text cut at the given places and returns the complete events. */
function split(text: string, cuts: readonly number[]) {
  const splitter = new EventSplitter();
  const bytes = encoder.encode(text);
  const places = [...cuts.map((cut) => cut % bytes.length), bytes.length];
  places.sort((one, other) => one - other);
  const events: { readonly id: string | null; readonly text: string }[] = [];
  let start = 0;
  for (const place of places) {
    for (const event of splitter.push(bytes.subarray(start, place))) {
      events.push({ id: event.id, text: decoder.decode(event.bytes) });
    }
    start = place;
  }
  return { events, hasPartialEvent: splitter.hasPartialEvent };
}

describe("EventSplitter", () => {
  it("gives the same events wherever the bytes are cut", () => {
    const text = "id: 1\ndata: a\n\nid: 2\ndata: ü\n\nid: 3\r\ndata: c\r\n\r\n";
    fc.assert(
      fc.property(fc.array(fc.nat()), (cuts) => {
        const { events, hasPartialEvent } = split(text, cuts);
        expect(events.map(({ id }) => id)).to.deep.equal(["1", "2", "3"]);
        expect(events.map((event) => event.text).join("")).to.equal(text);
        expect(hasPartialEvent).to.equal(false);
      }),
      { seed: 20261203 },
    );
  });

  // Guards against an event made of two: an engine crashes while it writes an
  // event, and the stream continues at another one. If the first half were
  // passed on, the caller would read the text of one event with the id of the
  // other.
  it("buffers an incomplete event", () => {
    const { events, hasPartialEvent } = split(
      "id: 1\ndata: a\n\nid: 2\nda",
      [],
    );
    expect(events).to.have.length(1);
    expect(hasPartialEvent).to.equal(true);
  });

  // Guards against work that grows with the square of an event's length: the
  // process would stand still for minutes.
  it("looks once at each byte of an event in pieces of a byte", () => {
    const splitter = new EventSplitter();
    const piece = encoder.encode("x");
    for (let length = 0; length < LONGEST_EVENT; length += 1) {
      splitter.push(piece);
    }
    expect(splitter.isTooLong).to.equal(false);
    expect(splitter.push(encoder.encode("\n\n"))).to.have.length(1);
  });

  // Guards against an event that changes after it was passed on, while the
  // next one arrives.
  it("leaves complete events as they are", () => {
    const splitter = new EventSplitter();
    splitter.push(encoder.encode("id: 1\nda"));
    const [event] = splitter.push(encoder.encode("ta: a\n\nid"));
    splitter.push(encoder.encode(": 2\ndata: b\n\n"));
    expect(decoder.decode(event?.bytes)).to.equal("id: 1\ndata: a\n\n");
  });

  it("passes on an event without an id", () => {
    const { events } = split(": comment\n\n", []);
    expect(events).to.deep.equal([{ id: null, text: ": comment\n\n" }]);
  });
});
