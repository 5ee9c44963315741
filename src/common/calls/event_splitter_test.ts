import { expect } from "chai";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Feeds a text cut at the given places and returns what came whole. */
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
  return { events, hasRest: splitter.hasPartialEvent };
}

describe("splitting a stream into events", () => {
  it("gives the same events wherever the bytes are cut", () => {
    const text = "id: 1\ndata: a\n\nid: 2\ndata: ü\n\nid: 3\r\ndata: c\r\n\r\n";
    fc.assert(
      fc.property(fc.array(fc.nat()), (cuts) => {
        const { events, hasRest } = split(text, cuts);
        expect(events.map(({ id }) => id)).to.deep.equal(["1", "2", "3"]);
        expect(events.map((event) => event.text).join("")).to.equal(text);
        expect(hasRest).to.equal(false);
      }),
      { seed: 20261203 },
    );
  });

  // An engine crashes while it writes an event, and the stream goes on at
  // another one. Were the half passed on, the caller would read an event made
  // of two halves, with the text of one and the id of the other.
  it("holds half an event back", () => {
    const { events, hasRest } = split("id: 1\ndata: a\n\nid: 2\nda", []);
    expect(events).to.have.length(1);
    expect(hasRest).to.equal(true);
  });

  it("passes on an event without an id", () => {
    const { events } = split(": comment\n\n", []);
    expect(events).to.deep.equal([{ id: null, text: ": comment\n\n" }]);
  });
});
