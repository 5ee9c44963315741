import { expect } from "chai";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { SERVING_STORE } from "../../../test/support/serving_store.ts";
import type { IStoreTimes } from "./store_availability.ts";
import { TargetRegistry } from "./target_registry.ts";
import type { IObjectChanges } from "./object_follower.ts";
import { ListedState } from "./types.ts";
import type { IListedTarget } from "./types.ts";

/** Milliseconds without a heartbeat after which an entry expires. */
const EXPIRY_TIME = 3_600;

/** Milliseconds that a missing entry is kept after an outage. */
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
    notBefore: Number.NEGATIVE_INFINITY,
    availability: SERVING_STORE,
    ...part,
  };
}

function entry(name: string, value: unknown, version = 1) {
  return { kind: "targets", name, version, value };
}

function newRegistry(): TargetRegistry {
  const log = new RecordingLog();
  return new TargetRegistry({
    decode,
    expiryTime: EXPIRY_TIME,
    reappearTime: REAPPEAR_TIME,
    log,
  });
}

/** The store served until then, after an outage that ended at 10 s. */
function availability(readAt: number): IStoreTimes {
  const times = { returnedAt: 10_000, interruptedUntil: 10_000 };
  const serves = { servesSince: () => 10_000, hasServed: () => false };
  return { ...SERVING_STORE, ...times, ...serves, readAt };
}

/** As before, but other processes have read the store meanwhile. */
function serving(readAt: number): IStoreTimes {
  return { ...availability(readAt), hasServed: () => true };
}

function registryOf(...names: readonly string[]): TargetRegistry {
  const registry = newRegistry();
  const objects = names.map((name) => entry(name, "10.0.0.1:80"));
  registry.applyStoreChanges(change({ objects, isFullList: true }), 0);
  return registry;
}

describe("TargetRegistry", () => {
  it("drops a removed target at once", () => {
    const registry = registryOf("a", "b");
    registry.applyStoreChanges(change({ removed: ["a"] }), 10_000);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against refusing every call after an outage of the store: the
  // targets are alive but could not renew their entries, so the list is short
  // or empty until two seconds after the store's return.
  it("keeps entries missing after an outage until they had time to return", () => {
    const registry = registryOf("a", "b");
    const objects = [entry("b", "10.0.0.1:80")];
    const whole = {
      objects,
      isFullList: true,
      availability: availability(10_000),
    };
    registry.applyStoreChanges(change(whole), 10_000);
    expect([...registry.all.keys()]).to.deep.equal(["a", "b"]);
    registry.update(20_000, availability(10_000 + REAPPEAR_TIME - 1));
    expect([...registry.all.keys()]).to.deep.equal(["a", "b"]);
    expect(
      registry.update(20_000, availability(10_000 + REAPPEAR_TIME)),
    ).to.equal(true);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against calls to a target that has left: one watch that was cut off
  // counts as an outage in which its entry may have expired.
  it("drops a removed target at once whose entry was just written", () => {
    const registry = registryOf("a", "b");
    const objects = [entry("a", "10.0.0.1:80", 2)];
    registry.applyStoreChanges(change({ objects, notBefore: 9_000 }), 9_400);
    const after = { availability: availability(10_000) };
    const removed = ["a", "b"];
    registry.applyStoreChanges(change({ removed, ...after }), 10_100);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against the same at a process that was told of the writes only.
  it("drops a removed target at once that others saw written", () => {
    const registry = registryOf("a", "b");
    const after = { availability: availability(10_000) };
    registry.recordRenewal(5_000);
    registry.applyStoreChanges(change({ removed: ["b"], ...after }), 10_100);
    expect([...registry.all.keys()]).to.deep.equal(["a", "b"]);
    registry.recordRenewal(8_500);
    registry.applyStoreChanges(change({ removed: ["a"], ...after }), 10_100);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against a target that is kept for good while watches fail in series.
  it("does not begin anew to keep an entry that is still missing", () => {
    const registry = registryOf("a");
    const whole = { isFullList: true, availability: availability(10_000) };
    registry.applyStoreChanges(change(whole), 10_000);
    const later = { ...availability(12_000), interruptedUntil: 12_000 };
    const again = { isFullList: true, availability: later };
    registry.applyStoreChanges(change(again), 12_000);
    expect(registry.update(12_400, { ...later, readAt: 12_400 })).to.equal(
      true,
    );
  });

  // Guards against calls to a target that has left: the process that relays the
  // store drops it, and this one puts that off for an outage of its own.
  it("drops a target at once that another process has dropped", () => {
    const registry = registryOf("a", "b");
    const objects = [entry("a", "10.0.0.1:80"), entry("b", "10.0.0.1:80")];
    const after = { isFullList: true, availability: availability(10_000) };
    registry.applyStoreChanges(change({ objects, ...after }), 10_000);
    registry.applyRelayedChanges(
      { targets: [], removed: ["a"] },
      SERVING_STORE,
      10_100,
    );
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against calls to a target that has left: another process takes its
  // own cut for an outage, and this one takes its word.
  it("drops a target at once that another process keeps if the store served", () => {
    const expiring = { a: 2_000 };
    const update = { targets: [], removed: [], expiring };
    const unsure = registryOf("a", "b");
    unsure.applyRelayedChanges(update, availability(10_000), 10_100);
    expect([...unsure.all.keys()]).to.deep.equal(["a", "b"]);
    const registry = registryOf("a", "b");
    registry.applyRelayedChanges(update, serving(10_000), 10_100);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  it("drops a removed target at once if the store served meanwhile", () => {
    const registry = registryOf("a", "b");
    const after = { availability: serving(10_000) };
    registry.applyStoreChanges(change({ removed: ["a"], ...after }), 10_100);
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against calls to a target that has left: this process missed that the
  // store served, and keeps the target although it learns of that.
  it("drops a kept target once it is known that the store served", () => {
    const registry = registryOf("a");
    const whole = { isFullList: true, availability: availability(10_000) };
    registry.applyStoreChanges(change(whole), 10_000);
    expect(registry.update(10_200, availability(10_200))).to.equal(false);
    expect(registry.update(10_400, serving(10_400))).to.equal(true);
    expect([...registry.all.keys()]).to.deep.equal([]);
  });

  // Guards against refusing every call after a series of outages: the second one
  // begins before the entries that expired in the first have returned.
  it("keeps missing entries while the store is not read", () => {
    const registry = registryOf("a");
    const whole = { isFullList: true, availability: availability(10_000) };
    registry.applyStoreChanges(change(whole), 10_000);
    expect(registry.update(15_000, availability(11_000))).to.equal(false);
    const second = {
      ...availability(16_000),
      readAt: 17_000,
      returnedAt: 16_000,
      interruptedUntil: 16_000,
    };
    registry.applyStoreChanges(
      change({ isFullList: true, availability: second }),
      16_000,
    );
    expect(registry.update(17_000, second)).to.equal(false);
    expect([...registry.all.keys()]).to.deep.equal(["a"]);
  });

  it("keeps an entry that returns soon after an outage", () => {
    const registry = registryOf("a");
    registry.applyStoreChanges(
      change({ isFullList: true, availability: availability(10_000) }),
      10_000,
    );
    registry.applyStoreChanges(
      change({ objects: [entry("a", "10.0.0.2:80")] }),
      11_000,
    );
    expect(registry.update(20_000, availability(20_000))).to.equal(false);
    expect(registry.all.get("a")?.address).to.equal("10.0.0.2:80");
  });

  // Guards against losing other targets to an unreadable entry, such as one
  // written by hand.
  it("drops the target of an unreadable entry", () => {
    const registry = registryOf("a", "b");
    registry.applyStoreChanges(
      change({ objects: [entry("a", { address: 7 })] }),
      10_000,
    );
    expect([...registry.all.keys()]).to.deep.equal(["b"]);
  });

  // Guards against calls sent to a target that leaves while the list still shows
  // it as ready, or lists it again after an outage of the store.
  it("counts a target that has said that it leaves as draining", () => {
    const registry = registryOf("a", "b");
    const startedAt = registry.startOf("a") ?? -1;
    expect(registry.recordLeaving("a", startedAt, 0)).to.equal(true);
    expect(registry.recordLeaving("a", startedAt, 0)).to.equal(false);
    const objects = [entry("a", "10.0.0.1:80")];
    registry.applyStoreChanges(change({ objects }), 1_000);
    expect(registry.ready("orders").map(({ id }) => id)).to.deep.equal(["b"]);
    const states = registry.ofService("orders").map(({ state }) => state);
    expect(states).to.deep.equal([ListedState.Draining, ListedState.Ready]);
  });

  // Guards against a target that is never used again because a former run of
  // the same id has left.
  it("uses a target that has started again under the same id", () => {
    const registry = newRegistry();
    const listAs = (startedAt: number) => {
      const target = decode("a", "10.0.0.1:80");
      const targets = target === null ? [] : [{ ...target, startedAt }];
      registry.applyRelayedChanges({ targets, removed: [] }, SERVING_STORE, 0);
    };
    listAs(1_000);
    registry.recordLeaving("a", 1_000, 0);
    listAs(1_000);
    expect(registry.ready("orders")).to.have.length(0);
    listAs(2_000);
    expect(registry.ready("orders")).to.have.length(1);
  });

  // Guards against calls to a target that has said that it leaves: its entry was
  // missing for a moment, and tells no start.
  it("uses no leaving target without a start time that is listed again", () => {
    const registry = registryOf("a");
    registry.recordLeaving("a", 0, 9_000);
    registry.applyStoreChanges(change({ removed: ["a"] }), 10_000);
    const objects = [entry("a", "10.0.0.1:80")];
    registry.applyStoreChanges(change({ objects }), 11_000);
    expect(registry.ready("orders")).to.have.length(0);
  });

  it("uses a target without a start time again after a while", () => {
    const registry = registryOf("a");
    registry.recordLeaving("a", 0, 9_000);
    const objects = [entry("a", "10.0.0.1:80")];
    registry.applyStoreChanges(change({ objects }), 10_000);
    expect(registry.update(68_900, SERVING_STORE)).to.equal(false);
    expect(registry.ready("orders")).to.have.length(0);
    expect(registry.update(69_000, SERVING_STORE)).to.equal(true);
    expect(registry.ready("orders")).to.have.length(1);
  });

  // Guards against calls to a target that has said that it leaves: another writer
  // left an entry without a start under its id, and the target writes its own.
  it("uses no leaving target whose start was not known", () => {
    const registry = newRegistry();
    const target = decode("a", "10.0.0.1:80");
    const listAs = (startedAt: number) => {
      const targets = target === null ? [] : [{ ...target, startedAt }];
      const update = { targets, removed: [] };
      registry.applyRelayedChanges(update, SERVING_STORE, 1_000);
    };
    listAs(0);
    registry.recordLeaving("a", 0, 500);
    listAs(5_000);
    expect(registry.ready("orders")).to.have.length(0);
  });
});
