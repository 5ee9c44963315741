import { expect } from "chai";
import { TargetRegistry } from "./target_registry.ts";
import type { IObjectChanges } from "./object_follower.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

const REAPPEAR_TIME = 2_300;

function decode(id: string, value: unknown): IListedTarget | null {
  if (typeof value !== "string") {
    return null;
  }
  return {
    id,
    startedAt: 0,
    service: "orders",
    address: value,
    zone: "one",
    slots: 6,
    state: ListedState.Ready,
    engine: { staged: [], model: null, membership: null, domain: "" },
  };
}

function change(part: Partial<IObjectChanges>): IObjectChanges {
  return {
    objects: [],
    removed: [],
    version: 1,
    isFullList: false,
    isAfterOutage: false,
    ...part,
  };
}

function entry(name: string, value: unknown) {
  return { kind: "targets", name, version: 1, value };
}

function bookOf(...names: readonly string[]): TargetRegistry {
  const book = new TargetRegistry(decode, REAPPEAR_TIME);
  const objects = names.map((name) => entry(name, "10.0.0.1:80"));
  book.applyStoreChanges(change({ objects, isFullList: true }), 0);
  return book;
}

describe("the list of targets", () => {
  it("drops a removed target at once", () => {
    const book = bookOf("a", "b");
    book.applyStoreChanges(change({ removed: ["a"] }), 10_000);
    expect([...book.all.keys()]).to.deep.equal(["b"]);
  });

  // The store is away for some seconds, in which the targets cannot renew
  // their entries. They live on, and their entries are back two seconds after
  // the store is; until then the list is short or empty, and a process that
  // took it at its word would refuse every call.
  it("keeps what is missing after an outage until it had time to return", () => {
    const book = bookOf("a", "b");
    const objects = [entry("b", "10.0.0.1:80")];
    const whole = { objects, isFullList: true, isAfterOutage: true };
    book.applyStoreChanges(change(whole), 10_000);
    expect([...book.all.keys()]).to.deep.equal(["a", "b"]);
    book.removeExpired(10_000 + REAPPEAR_TIME - 1);
    expect([...book.all.keys()]).to.deep.equal(["a", "b"]);
    expect(book.removeExpired(10_000 + REAPPEAR_TIME)).to.equal(true);
    expect([...book.all.keys()]).to.deep.equal(["b"]);
  });

  it("keeps one that is back by then", () => {
    const book = bookOf("a");
    book.applyStoreChanges(
      change({ isFullList: true, isAfterOutage: true }),
      10_000,
    );
    book.applyStoreChanges(
      change({ objects: [entry("a", "10.0.0.2:80")] }),
      11_000,
    );
    expect(book.removeExpired(20_000)).to.equal(false);
    expect(book.all.get("a")?.address).to.equal("10.0.0.2:80");
  });

  // Somebody writes an entry by hand, and it cannot be read. It names no
  // target to use; the others must not suffer for it.
  it("takes an unreadable entry for no target", () => {
    const book = bookOf("a", "b");
    book.applyStoreChanges(
      change({ objects: [entry("a", { address: 7 })] }),
      10_000,
    );
    expect([...book.all.keys()]).to.deep.equal(["b"]);
  });
});
