import { expect } from "chai";
import { ZoneReachability } from "./zone_reachability.ts";

describe("the reach of other zones", () => {
  // The links to a zone are cut for some seconds. Callers of this zone wait for
  // connections that cannot come about, again and again, though groups here
  // could have answered them.
  it("tries a zone only now and then once several groups were missed", () => {
    const reach = new ZoneReachability("one");
    reach.recordUnreachable("two", "a", 0);
    reach.recordUnreachable("two", "b", 100);
    expect(reach.mayTry("two", 200)).to.equal(true);
    reach.recordUnreachable("two", "c", 250);
    reach.recordSend("two", 250);
    expect(reach.mayTry("two", 300)).to.equal(false);
    expect(reach.mayTry("two", 1_000)).to.equal(true);
    expect(reach.mayTry("three", 300)).to.equal(true);
  });

  it("takes a zone back with the first event", () => {
    const reach = new ZoneReachability("one");
    ["a", "b", "c"].forEach((group) =>
      reach.recordUnreachable("two", group, 0),
    );
    reach.recordSend("two", 0);
    reach.recordEvent("two");
    expect(reach.mayTry("two", 1)).to.equal(true);
  });

  // A domain goes dark while the rest of its zone serves on: its groups are
  // missed, but events go on coming from the others.
  it("keeps a zone of which groups are heard in between", () => {
    const reach = new ZoneReachability("one");
    reach.recordUnreachable("two", "a", 0);
    reach.recordUnreachable("two", "b", 10);
    reach.recordEvent("two");
    reach.recordUnreachable("two", "c", 20);
    expect(reach.mayTry("two", 30)).to.equal(true);
  });

  it("never gives up its own zone", () => {
    const reach = new ZoneReachability("one");
    ["a", "b", "c", "d"].forEach((group) =>
      reach.recordUnreachable("one", group, 0),
    );
    expect(reach.mayTry("one", 1)).to.equal(true);
  });
});
