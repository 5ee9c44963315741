import { expect } from "chai";
import { EngineRegistry } from "./engine_registry.ts";
import { engineState, listedEngine } from "../../../test/support/engines.ts";

const REPORT = {
  startedAt: 1,
  queued: 0,
  running: 0,
  pace: 1,
  engine: engineState(),
};

function bookOf(count: number): {
  book: EngineRegistry;
  ids: readonly string[];
} {
  const ids = Array.from({ length: count }, (_, index) => `engine-${index}`);
  const book = new EngineRegistry(15_000);
  book.updateTargets(
    ids.map((id) => listedEngine(id)),
    0,
  );
  ids.forEach((id) => book.recordReport(id, REPORT, { askedAt: 0, now: 1 }));
  return { book, ids };
}

describe("what is known of the engines", () => {
  it("takes an engine for silent at its second missed report", () => {
    const { book } = bookOf(4);
    book.recordMiss("engine-0", 1);
    expect(book.views.get("engine-0")?.isSilent).to.equal(false);
    expect(book.needsRecheck("engine-0")).to.equal(true);
    book.recordMiss("engine-0", 2);
    expect(book.views.get("engine-0")?.isSilent).to.equal(true);
    book.recordReport("engine-0", REPORT, { askedAt: 5, now: 6 });
    expect(book.views.get("engine-0")?.isSilent).to.equal(false);
  });

  // The holder's own link is cut. All engines look dead to it at once, and it
  // would give up every group of the deployment.
  it("suspects its own link when many fall silent together", () => {
    const { book, ids } = bookOf(10);
    for (const id of ids.slice(0, 5)) {
      book.recordMiss(id, 1);
      book.recordMiss(id, 2);
    }
    expect(book.isOwnLinkSuspect).to.equal(true);
  });

  it("does not for one domain of six", () => {
    const { book, ids } = bookOf(12);
    for (const id of ids.slice(0, 2)) {
      book.recordMiss(id, 1);
      book.recordMiss(id, 2);
    }
    expect(book.isOwnLinkSuspect).to.equal(false);
  });

  // A zone is cut off from the holder's. Its engines go on serving their own
  // callers; were they given up, the zone would be without a group when the
  // cut heals.
  it("concludes nothing when a whole zone is silent", () => {
    const book = new EngineRegistry(15_000);
    const engines = ["a", "b", "c", "d", "e", "f"].map((name, index) => {
      const domain = `domain-${index % 2}`;
      const zone = index < 4 ? "cut" : "near";
      const state = engineState({ domain: `${zone}-${domain}` });
      return { ...listedEngine(name, state), zone };
    });
    book.updateTargets(engines, 0);
    function report(id: string, askedAt: number): void {
      const state = engines.find((one) => one.id === id)?.engine;
      const engine = state ?? engineState();
      book.recordReport(
        id,
        { ...REPORT, engine },
        { askedAt, now: askedAt + 1 },
      );
    }
    engines.forEach(({ id }) => report(id, 0));
    function miss(...ids: readonly string[]): void {
      ids.forEach((id) => {
        book.recordMiss(id, 1);
        book.recordMiss(id, 2);
      });
    }
    // One domain of the zone alone may have lost its power: the other one
    // answers.
    miss("a", "c");
    report("b", 2);
    book.updateTargets(engines, 1);
    expect(book.views.get("a")?.isUnreachable).to.equal(false);
    miss("b", "d");
    book.updateTargets(engines, 2);
    expect(book.views.get("a")?.isUnreachable).to.equal(true);
    expect(book.views.get("e")?.isUnreachable).to.equal(false);
    // The cut heals and the first engines answer. The others have not been
    // asked since; taken for dead now, their groups' members would be joined
    // elsewhere while their heads are open.
    report("a", 3);
    report("b", 3);
    book.updateTargets(engines, 5);
    expect(book.views.get("c")?.isSilent).to.equal(false);
    expect(book.views.get("d")?.isSilent).to.equal(false);
  });

  // A zone is cut off while one of its groups is suspected, so its members are
  // asked often and the rest of the zone is not. Given up on that evidence, the
  // groups that its callers still reach would be lost to them.
  it("asks the rest of a zone before it believes in a silence", () => {
    const { book } = bookOf(10);
    ["engine-0", "engine-1"].forEach((id) => {
      book.recordMiss(id, 10);
      book.recordMiss(id, 20);
    });
    expect(book.views.get("engine-0")?.isUnreachable).to.equal(true);
    expect(book.needsRecheck("engine-2")).to.equal(true);
    expect(book.needsRecheck("engine-0")).to.equal(false);
    // An answer to what was asked before the silence proves nothing.
    book.recordReport("engine-2", REPORT, { askedAt: 15, now: 21 });
    expect(book.views.get("engine-0")?.isUnreachable).to.equal(true);
    book.recordReport("engine-2", REPORT, { askedAt: 22, now: 23 });
    expect(book.views.get("engine-0")?.isUnreachable).to.equal(false);
    expect(book.needsRecheck("engine-2")).to.equal(false);
  });

  // The only domain of a zone goes dark. Nothing of the zone will ever answer,
  // and a group of it that was kept would hold its callers' requests.
  it("believes in the silence of a zone of which nothing is left", () => {
    const { book, ids } = bookOf(3);
    ids.forEach((id) => {
      book.recordMiss(id, 10);
      book.recordMiss(id, 20);
    });
    expect(book.views.get("engine-0")?.isUnreachable).to.equal(false);
  });

  it("does not let an older report replace a newer one", () => {
    const { book } = bookOf(1);
    const newer = { ...REPORT, engine: engineState({ model: "large" }) };
    book.recordReport("engine-0", newer, { askedAt: 10, now: 12 });
    book.recordReport("engine-0", REPORT, { askedAt: 5, now: 15 });
    expect(book.views.get("engine-0")?.state?.model).to.equal("large");
  });
});
