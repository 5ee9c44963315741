import { expect } from "chai";
import { ZoneReach } from "./zone_reach.ts";

describe("the reach of other zones", () => {
  // The links to a zone are cut for some seconds. Callers of this zone wait for
  // connections that cannot come about, again and again, though groups here
  // could have answered them.
  it("tries a zone only now and then once several groups were missed", () => {
    const reach = new ZoneReach("one");
    reach.missed("two", "a", 0);
    reach.missed("two", "b", 100);
    expect(reach.mayTry("two", 200)).to.equal(true);
    reach.missed("two", "c", 250);
    reach.sent("two", 250);
    expect(reach.mayTry("two", 300)).to.equal(false);
    expect(reach.mayTry("two", 1_000)).to.equal(true);
    expect(reach.mayTry("three", 300)).to.equal(true);
  });

  it("takes a zone back with the first event", () => {
    const reach = new ZoneReach("one");
    ["a", "b", "c"].forEach((group) => reach.missed("two", group, 0));
    reach.sent("two", 0);
    reach.heard("two");
    expect(reach.mayTry("two", 1)).to.equal(true);
  });

  // A domain goes dark while the rest of its zone serves on: its groups are
  // missed, but events go on coming from the others.
  it("keeps a zone of which groups are heard in between", () => {
    const reach = new ZoneReach("one");
    reach.missed("two", "a", 0);
    reach.missed("two", "b", 10);
    reach.heard("two");
    reach.missed("two", "c", 20);
    expect(reach.mayTry("two", 30)).to.equal(true);
  });

  it("never gives up its own zone", () => {
    const reach = new ZoneReach("one");
    ["a", "b", "c", "d"].forEach((group) => reach.missed("one", group, 0));
    expect(reach.mayTry("one", 1)).to.equal(true);
  });
});
