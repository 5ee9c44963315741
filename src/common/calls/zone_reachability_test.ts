import { expect } from "chai";
import { ZoneReachability } from "./zone_reachability.ts";

describe("ZoneReachability", () => {
  // Guards against callers that wait again and again for connections to a zone
  // whose links are cut for some seconds, although groups of their own zone
  // could have answered.
  it("sends only trial calls to a zone once several groups have failed", () => {
    const reachability = new ZoneReachability("one");
    reachability.recordUnreachable("two", "a", 0);
    reachability.recordUnreachable("two", "b", 100);
    expect(reachability.mayTry("two", 200)).to.equal(true);
    reachability.recordUnreachable("two", "c", 250);
    reachability.recordSend("two", 250);
    expect(reachability.mayTry("two", 300)).to.equal(false);
    expect(reachability.mayTry("two", 1_000)).to.equal(true);
    expect(reachability.mayTry("three", 300)).to.equal(true);
  });

  it("restores a zone with the first event", () => {
    const reachability = new ZoneReachability("one");
    ["a", "b", "c"].forEach((group) =>
      reachability.recordUnreachable("two", group, 0),
    );
    reachability.recordSend("two", 0);
    reachability.recordEvent("two");
    expect(reachability.mayTry("two", 1)).to.equal(true);
  });

  // Guards against excluding a whole zone when one domain fails: its groups do
  // not respond, but events keep arriving from the others.
  it("keeps a zone whose groups send events in between", () => {
    const reachability = new ZoneReachability("one");
    reachability.recordUnreachable("two", "a", 0);
    reachability.recordUnreachable("two", "b", 10);
    reachability.recordEvent("two");
    reachability.recordUnreachable("two", "c", 20);
    expect(reachability.mayTry("two", 30)).to.equal(true);
  });

  it("never excludes its own zone", () => {
    const reachability = new ZoneReachability("one");
    ["a", "b", "c", "d"].forEach((group) =>
      reachability.recordUnreachable("one", group, 0),
    );
    expect(reachability.mayTry("one", 1)).to.equal(true);
  });
});
