import { expect } from "chai";
import fc from "fast-check";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { listedEngine } from "../../../test/support/engines.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { KeptLog } from "../../../test/support/quiet_services.ts";
import { SeededRandom } from "../../../test/support/seeded_random.ts";
import { ObjectFollower } from "../calls/object_follower.ts";
import { TargetRegistry } from "../calls/target_registry.ts";
import type { IObjectStore, IWatchResult } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type { ICallFailure } from "../types.ts";
import { StoreRelay } from "./store_relay.ts";
import type { IStoreUpdate } from "./types.ts";

const AWAY = { kind: CallFailureKind.Refused, detail: "away" };
const SEED = 20261203;
const TARGETS = "targets";

/** Milliseconds within which a change must be known to who reaches the store. */
const CHANGE_BOUND = 2_000;

/** A step of the trials, milliseconds. */
const STEP = 50;

/** Objects with their history, as the platform's store keeps them. */
class HistoryStore {
  version = 1;
  readonly #objects = new Map<string, number>();
  readonly #events: { name: string; version: number; isGone: boolean }[] = [];

  put(name: string): void {
    this.version += 1;
    this.#objects.set(name, this.version);
    this.#events.push({ name, version: this.version, isGone: false });
  }

  remove(name: string): void {
    if (this.#objects.delete(name)) {
      this.version += 1;
      this.#events.push({ name, version: this.version, isGone: true });
    }
  }

  get names(): readonly string[] {
    return [...this.#objects.keys()].sort();
  }

  /** Of a kind that nobody writes. */
  get nothing(): IWatchResult {
    return { version: this.version, objects: [], removed: [] };
  }

  list(kind: string): IWatchResult {
    const objects = [...this.#objects].map(([name, version]) =>
      objectOf(kind, name, version),
    );
    return { version: this.version, objects, removed: [] };
  }

  since(kind: string, after: number): IWatchResult {
    const later = this.#events.filter(({ version }) => version > after);
    const names = new Set(later.map(({ name }) => name));
    const objects = [...names].flatMap((name) => {
      const version = this.#objects.get(name);
      return version === undefined ? [] : [objectOf(kind, name, version)];
    });
    const removed = [...names].filter((name) => !this.#objects.has(name));
    return { version: this.version, objects, removed };
  }
}

function objectOf(kind: string, name: string, version: number) {
  return { kind, name, version, value: { version } };
}

/** One process's way to the store; counts what it asks. */
class Link implements IObjectStore {
  isCut = false;
  calls = 0;
  readonly #store: HistoryStore;
  readonly #clock: ManualClock;

  constructor(store: HistoryStore, clock: ManualClock) {
    this.#store = store;
    this.#clock = clock;
  }

  async list(kind: string): Promise<Result<IWatchResult, ICallFailure>> {
    this.calls += 1;
    if (this.isCut) {
      return Err(AWAY);
    }
    return Ok(kind === TARGETS ? this.#store.list(kind) : this.#store.nothing);
  }

  /** Waits for news in steps; one that is cut meanwhile is never answered. */
  async watch(
    kind: string,
    after: number,
    { timeout }: { readonly timeout: number },
  ): Promise<Result<IWatchResult, ICallFailure>> {
    this.calls += 1;
    let wasCut = this.isCut;
    for (let waited = 0; waited < timeout; waited += STEP) {
      wasCut ||= this.isCut;
      const isNews = kind === TARGETS && this.#store.version > after;
      if (!wasCut && isNews) {
        break;
      }
      await new Promise<void>((resolve) => {
        this.#clock.after(STEP, resolve);
      });
    }
    if (wasCut) {
      return Err(AWAY);
    }
    const { nothing } = this.#store;
    return Ok(kind === TARGETS ? this.#store.since(kind, after) : nothing);
  }

  async read() {
    return Err(AWAY);
  }

  async write() {
    return Err({ kind: "not_applied", detail: "never" } as never);
  }

  async remove() {
    return Err({ kind: "not_applied", detail: "never" } as never);
  }
}

/** The part of a process that knows the store. */
class Process {
  readonly link: Link;
  readonly relay: StoreRelay;
  readonly book = new TargetRegistry((id) => listedEngine(id), 0);
  /** Answers of the store that were the first after an outage. */
  outages = 0;
  readonly #followers: readonly ObjectFollower[];

  constructor(
    store: HistoryStore,
    parts: { readonly clock: ManualClock; readonly isHolder: () => boolean },
  ) {
    const { clock, isHolder } = parts;
    this.link = new Link(store, clock);
    const log = new KeptLog();
    const shared = { store: this.link, clock, log };
    const watchTime = () => (isHolder() ? 400 : 2_500);
    const configuration = new ObjectFollower(
      { ...shared, random: new SeededRandom(SEED) },
      {
        kind: "configuration",
        pause: () => 0,
        watchTime,
        onChanged: () => undefined,
      },
    );
    const targetList = new ObjectFollower(
      { ...shared, random: new SeededRandom(SEED) },
      {
        kind: TARGETS,
        pause: () => (isHolder() ? 200 : 900),
        watchTime,
        onChanged: (change) => {
          this.outages += change.isAfterOutage ? 1 : 0;
          this.book.applyStoreChanges(change, clock.now());
          this.relay.recordTargetChanges(change);
        },
      },
    );
    this.relay = new StoreRelay({
      configuration,
      targetList,
      targets: this.book,
      clock,
      onTargetsUpdated: () => undefined,
    });
    this.#followers = [configuration, targetList];
    this.#followers.forEach((follower) => follower.start());
  }

  get names(): readonly string[] {
    return [...this.book.all.keys()].sort();
  }

  dispose(): void {
    this.#followers.forEach((follower) => follower.dispose());
  }
}

/** Some processes of which one passes on what it knows. */
class Deployment {
  readonly store = new HistoryStore();
  readonly clock = new ManualClock();
  readonly processes: readonly Process[];
  holder = 0;
  /** Processes that neither tell nor hear. */
  readonly mute = new Set<number>();
  #word: { readonly to: number; readonly word: IStoreUpdate }[] = [];

  constructor(count: number) {
    this.processes = Array.from(
      { length: count },
      (_, index) =>
        new Process(this.store, {
          clock: this.clock,
          isHolder: () => this.holder === index,
        }),
    );
  }

  /** Time passes; words that were sent arrive a step later. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP) {
      this.clock.advance(STEP);
      for (let turn = 0; turn < 30; turn += 1) {
        await Promise.resolve();
      }
      this.#exchange();
    }
  }

  #exchange(): void {
    for (const { to, word } of this.#word) {
      this.processes[to]?.relay.applyUpdate(word);
    }
    this.#word = [];
    const holder = this.processes[this.holder];
    if (holder === undefined || this.mute.has(this.holder)) {
      return;
    }
    this.processes.forEach((process, to) => {
      const word = holder.relay.updateFor(process.relay.versions);
      if (to !== this.holder && !this.mute.has(to) && word !== null) {
        this.#word.push({ to, word });
      }
    });
  }

  dispose(): void {
    this.processes.forEach((process) => process.dispose());
  }
}

describe("passing on what the store says", () => {
  // Ten processes on a calm day, with a target that writes its heartbeat. Each
  // watching for itself, their calls to the store would grow with them.
  it("leaves the asking to one process", async () => {
    const deployment = new Deployment(10);
    const { store, processes } = deployment;
    store.put("a");
    await deployment.advance(3_000);
    const before = processes.map(({ link }) => link.calls);
    for (let second = 0; second < 20; second += 1) {
      store.put("a");
      await deployment.advance(1_000);
    }
    const calls = processes.map(
      ({ link }, at) => link.calls - (before[at] ?? 0),
    );
    const [holder = 0, ...others] = calls;
    expect(holder).to.be.above(40);
    others.forEach((count) => expect(count).to.equal(0));
    deployment.dispose();
  });

  it("brings changes to all", async () => {
    const deployment = new Deployment(3);
    deployment.store.put("a");
    await deployment.advance(3_000);
    deployment.store.put("b");
    deployment.store.remove("a");
    await deployment.advance(1_000);
    for (const { names } of deployment.processes) {
      expect(names).to.deep.equal(["b"]);
    }
    deployment.dispose();
  });

  // The holder freezes, or loses its way to the store, while a target leaves.
  // A process that went on by its word would send calls to the target for as
  // long as that lasts.
  for (const trouble of ["frozen", "cut off"]) {
    it(`asks for itself when the holder is ${trouble}`, async () => {
      const deployment = new Deployment(3);
      const { store, processes } = deployment;
      store.put("a");
      store.put("b");
      await deployment.advance(3_000);
      if (trouble === "frozen") {
        deployment.mute.add(0);
      } else if (processes[0] !== undefined) {
        processes[0].link.isCut = true;
      }
      store.remove("a");
      await deployment.advance(CHANGE_BOUND - 2 * STEP);
      expect(processes[1]?.names).to.deep.equal(["b"]);
      expect(processes[2]?.names).to.deep.equal(["b"]);
      deployment.dispose();
    });
  }

  // A process loses its way to the store for a while and goes by the holder's
  // word meanwhile. Much later it asks by itself again; were its outage taken
  // for one that has just ended, it would keep targets that have left.
  it("does not take an old outage for a new one", async () => {
    const deployment = new Deployment(2);
    const { store, processes, mute } = deployment;
    const [, other] = processes;
    store.put("a");
    await deployment.advance(3_000);
    mute.add(0);
    if (other !== undefined) {
      other.link.isCut = true;
    }
    await deployment.advance(4_000);
    mute.delete(0);
    await deployment.advance(1_000);
    if (other !== undefined) {
      other.link.isCut = false;
    }
    await deployment.advance(5_000);
    mute.add(0);
    await deployment.advance(1_500);
    store.put("b");
    await deployment.advance(500);
    expect(other?.names).to.deep.equal(["a", "b"]);
    expect(other?.outages).to.equal(0);
    deployment.dispose();
  });

  // Cuts, freezes and changes of the holder come in any order, some together.
  it("lets none who reaches the store miss a change for long", async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant("put"), at: fc.nat(4) }),
      fc.record({ kind: fc.constant("remove"), at: fc.nat(4) }),
      fc.record({ kind: fc.constant("cut"), at: fc.nat(2) }),
      fc.record({ kind: fc.constant("mute"), at: fc.nat(2) }),
      fc.record({ kind: fc.constant("holder"), at: fc.nat(2) }),
      fc.record({ kind: fc.constant("wait"), at: fc.nat(30) }),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
        const deployment = new Deployment(3);
        await deployment.advance(1_000);
        for (const { kind, at } of steps) {
          await act(deployment, kind, at);
        }
        await deployment.advance(CHANGE_BOUND);
        const { store, processes } = deployment;
        for (const { link, names } of processes) {
          if (!link.isCut) {
            expect(names).to.deep.equal(store.names);
          }
        }
        deployment.dispose();
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});

async function act(
  deployment: Deployment,
  kind: string,
  at: number,
): Promise<void> {
  const { store, processes, mute } = deployment;
  const link = processes[at]?.link;
  if (kind === "put") {
    store.put(`target-${at}`);
  } else if (kind === "remove") {
    store.remove(`target-${at}`);
  } else if (kind === "cut" && link !== undefined) {
    link.isCut = !link.isCut;
  } else if (kind === "mute") {
    if (!mute.delete(at)) {
      mute.add(at);
    }
  } else if (kind === "holder") {
    deployment.holder = at;
  } else {
    await deployment.advance(at * STEP);
  }
}
