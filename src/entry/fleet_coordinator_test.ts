import { expect } from "chai";
import { Err, None, Ok, Some } from "ts-results-es";
import { engineState, LARGE, SMALL } from "../../test/support/engines.ts";
import { ManualClock } from "../../test/support/manual_clock.ts";
import { KeptLog, NO_METRICS } from "../../test/support/quiet_services.ts";
import { SeededRandom } from "../../test/support/seeded_random.ts";
import { ActiveConfiguration } from "../common/calls/active_configuration.ts";
import { ServingGroups } from "../common/calls/serving_groups.ts";
import { TargetRegistry } from "../common/calls/target_registry.ts";
import { ListedState, MemberState } from "../common/calls/types.ts";
import type {
  IConfiguration,
  IEngineState,
  IListedTarget,
} from "../common/calls/types.ts";
import type { IHolderLink, IHolderReply } from "../common/replicas/exchange.ts";
import { OrderKind, OrderOutcome } from "../common/replicas/types.ts";
import type { EngineOrder, IEngineClient } from "../common/replicas/types.ts";
import { WriteFailureKind } from "../common/services/services.ts";
import type {
  IObjectStore,
  IPlatformObject,
} from "../common/services/services.ts";
import { FleetCoordinator } from "./fleet_coordinator.ts";
import type { IStoreRelay } from "./fleet_coordinator.ts";

const ENGINES = 10;

const CONFIGURATION: IConfiguration = {
  version: 1,
  routes: [],
  services: new Map([
    [
      "summaries",
      {
        name: "summaries",
        engine: {
          models: [LARGE, SMALL],
          slots: 12,
          memoryTokens: 1_000_000,
          stepTime: 8,
          stepTimePerRequest: 0.1,
          stepTimePerThousandTokens: 0,
          promptTokensPerMillisecond: 46,
          timePerMillionPairs: 0.4,
          chunk: 2_048,
          stride: 5,
          reportLag: 0,
          loadsPerSecond: 5,
          loadsAtOnce: 7,
          openTime: 300,
        },
      },
    ],
  ]),
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeout: 3_000,
    idleTimeout: 15_000,
  },
  accountsByKey: null,
};

/** Each process asks the store for itself. */
const NO_RELAY: IStoreRelay = {
  versions: { configuration: 0, targets: 0 },
  updateFor: () => null,
  applyUpdate: () => undefined,
};

/** One object, and whether the store answers. */
class SmallStore implements IObjectStore {
  isAway = false;
  #object: IPlatformObject | null = null;

  async read() {
    return this.isAway
      ? Err(AWAY)
      : Ok(this.#object ? Some(this.#object) : None);
  }
  async list() {
    return Err(AWAY);
  }
  async watch() {
    return Err(AWAY);
  }
  async write(write: {
    readonly kind: string;
    readonly name: string;
    readonly value: unknown;
    readonly expectedVersion: number | null;
  }) {
    const { kind, name, value, expectedVersion } = write;
    if (this.isAway) {
      return Err({ kind: WriteFailureKind.NotApplied, detail: "away" });
    }
    const version = this.#object?.version ?? null;
    if (version !== expectedVersion) {
      return Err({ kind: WriteFailureKind.Conflict, detail: "newer" });
    }
    const next = (version ?? 0) + 1;
    this.#object = { kind, name, value, version: next };
    return Ok(next);
  }
  async remove() {
    return Err({ kind: WriteFailureKind.NotApplied, detail: "never" });
  }
}

const AWAY = { kind: "unknown", detail: "away" } as never;

/** Engines that do at once what they are told, and keep the orders. */
class ObedientEngines implements IEngineClient {
  readonly states = new Map<string, IEngineState>();
  /** Engines that answer nothing any more. */
  readonly dead = new Set<string>();
  readonly orders: { readonly engine: string; readonly order: EngineOrder }[] =
    [];

  async fetchReport({ id }: { readonly id: string }) {
    if (this.dead.has(id)) {
      return Err(AWAY);
    }
    const engine = this.states.get(id) ?? engineState();
    return Ok({ startedAt: 1, queued: 0, running: 0, pace: 1, engine });
  }

  async sendOrder({ id }: { readonly id: string }, order: EngineOrder) {
    if (this.dead.has(id)) {
      return OrderOutcome.Unknown;
    }
    this.orders.push({ engine: id, order });
    const state = this.states.get(id) ?? engineState();
    if (order.kind === OrderKind.Join) {
      const { group, epoch, model, members } = order.plan;
      const rank = members.indexOf(id);
      const membership = { group, epoch, rank, state: MemberState.Ready };
      this.states.set(id, { ...state, model, staged: [model], membership });
    } else if (order.kind === OrderKind.Stage) {
      this.states.set(id, { ...state, staged: [order.model] });
    } else if (order.kind === OrderKind.Open && state.membership) {
      const membership = { ...state.membership, state: MemberState.Open };
      this.states.set(id, { ...state, membership });
    } else if (order.kind === OrderKind.Leave) {
      this.states.set(id, { ...state, membership: null });
    }
    return OrderOutcome.Accepted;
  }
}

/** Ten engines of a domain, the store, and the links between processes. */
class World {
  readonly clock = new ManualClock();
  readonly store = new SmallStore();
  readonly engines = new ObedientEngines();
  /** By address; one that is not here does not answer. */
  readonly controls = new Map<string, FleetCoordinator>();
  /** Changes what the holder says on its way. */
  edit: (word: IHolderReply) => IHolderReply = (word) => word;

  readonly link: IHolderLink = {
    exchange: async (address, word) => {
      const control = this.controls.get(address);
      if (control === undefined) {
        return Err(AWAY);
      }
      const answer = await control.answerReport(word);
      return Ok(
        answer.isHolder ? { ...answer, word: this.edit(answer.word) } : answer,
      );
    },
  };

  /** Ends a member, not the head, of one open group; returns the group. */
  killMember(): string {
    for (const [id, { model, membership }] of this.engines.states) {
      if (model === "small" && membership?.rank === 1) {
        this.engines.dead.add(id);
        return membership.group;
      }
    }
    throw new Error("no group has a second member");
  }

  /** Moves on until the next group is told to open. */
  async advanceUntilOpened(): Promise<void> {
    const known = this.#opened;
    for (let passed = 0; passed < 5_000; passed += 10) {
      await this.advance(10);
      if (this.#opened > known) {
        return;
      }
    }
    throw new Error("no group was opened");
  }

  get #opened(): number {
    const { orders } = this.engines;
    return orders.filter(({ order }) => order.kind === OrderKind.Open).length;
  }

  /** Moves on in short steps, with time for answers in between. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10);
      for (let turn = 0; turn < 10; turn += 1) {
        await Promise.resolve();
      }
    }
  }
}

/** One process over the engines of a world. */
class Play {
  readonly groups = new ServingGroups();
  readonly log = new KeptLog();
  readonly control: FleetCoordinator;
  readonly lost: string[] = [];
  /** The fewest groups that calls could be sent to since it was set. */
  fewest = Number.POSITIVE_INFINITY;
  hasCalls = false;

  constructor(world: World, address = "127.0.0.1:1") {
    const configuration = new ActiveConfiguration(
      () => Ok(CONFIGURATION),
      this.log,
    );
    configuration.update({});
    const targets = new TargetRegistry(decode, 2_000);
    const objects = Array.from({ length: ENGINES }, (_, index) => ({
      kind: "targets",
      name: `engine-${index}`,
      version: 1,
      value: {},
    }));
    const whole = {
      isFullList: true,
      isAfterOutage: false,
      removed: [],
      version: 1,
    };
    targets.applyStoreChanges({ ...whole, objects }, 0);
    this.control = new FleetCoordinator(
      {
        store: world.store,
        engines: world.engines,
        clock: world.clock,
        link: world.link,
        random: new SeededRandom(20261203),
        log: this.log,
        metrics: NO_METRICS,
        configuration,
        targets,
        groups: this.groups,
        modelDemand: () => [],
        suspects: () => [],
        hasCalls: () => this.hasCalls,
        relay: NO_RELAY,
        onGroupsChanged: (lost) => {
          this.lost.push(...lost);
          this.fewest = Math.min(this.fewest, this.groups.all.length);
        },
      },
      {
        address,
        zone: "one",
        isFirstStart: true,
        bounds: { stallTime: 5_000, loads: { window: 5_000, factor: 1.1 } },
      },
    );
    world.controls.set(address, this.control);
  }

  get serving(): readonly string[] {
    return this.groups.all.map(({ group }) => group).sort();
  }
}

function decode(id: string): IListedTarget {
  return {
    id,
    startedAt: 1,
    service: "summaries",
    address: "127.0.0.1:2",
    zone: "one",
    slots: 12,
    state: ListedState.Ready,
    engine: engineState(),
  };
}

describe("ordering engines under the lease", () => {
  it("opens the groups of a domain, and keeps spares", async () => {
    const world = new World();
    const play = new Play(world);
    play.control.start();
    await world.advance(4_000);
    const models = play.groups.all.map(({ model }) => model).sort();
    expect(models).to.deep.equal(["large", "small", "small"]);
    play.control.dispose();
  });

  // The store is away for some seconds, the lease lapses, and the same process
  // regains it. Nobody else has acted; yet if it began to count its groups
  // anew, a new group would have the name of one that serves, and members of
  // an open group would be joined elsewhere.
  it("never gives two groups one name when it regains the lease", async () => {
    const world = new World();
    const play = new Play(world);
    play.control.start();
    await world.advance(4_000);
    const serving = play.groups.all.map(({ group }) => group);
    world.store.isAway = true;
    await world.advance(3_000);
    world.store.isAway = false;
    await world.advance(3_000);
    expect(play.groups.all.map(({ group }) => group)).to.deep.equal(serving);
    play.hasCalls = true;
    world.killMember();
    await world.advance(4_000);
    expect(play.groups.all).to.have.length(serving.length);
    const lists = new Map<string, string>();
    for (const { order } of world.engines.orders) {
      if (order.kind === OrderKind.Join) {
        const { group, members } = order.plan;
        const list = members.join(",");
        expect(lists.get(group) ?? list).to.equal(list);
        lists.set(group, list);
      }
    }
    play.control.dispose();
  });
});

describe("hearing which groups are lost", () => {
  /** A holder, and a process that hears from it. */
  async function startBoth(world: World): Promise<readonly [Play, Play]> {
    const holder = new Play(world, "127.0.0.1:1");
    const other = new Play(world, "127.0.0.1:3");
    holder.hasCalls = true;
    other.hasCalls = true;
    holder.control.start();
    await world.advance(4_000);
    other.control.start();
    await world.advance(500);
    expect(other.serving).to.have.length(3);
    return [holder, other];
  }

  // Guards against a new lease holder that ends the streams of groups it has
  // yet to look at.
  it("loses no group by taking over the lease", async () => {
    const world = new World();
    const [holder, other] = await startBoth(world);
    const { serving } = other;
    await holder.control.releaseLease();
    await world.advance(1_000);
    expect(other.control.isHolder).to.equal(true);
    expect(other.lost).to.deep.equal([]);
    expect(other.serving).to.deep.equal(serving);
    holder.control.dispose();
    other.control.dispose();
  });

  // Guards against calls without a group while a new lease holder has yet to
  // look at the groups.
  it("has groups all the while it takes over the lease", async () => {
    const world = new World();
    const [holder, other] = await startBoth(world);
    other.fewest = other.serving.length;
    await holder.control.releaseLease();
    await world.advance(1_000);
    expect(other.control.isHolder).to.equal(true);
    expect(other.fewest).to.equal(3);
    holder.control.dispose();
    other.control.dispose();
  });

  // Guards against streams ended because another holder's table, not yet whole
  // or long out of date, lacks their group.
  it("loses no group that a table only lacks", async () => {
    const world = new World();
    const [holder, other] = await startBoth(world);
    world.edit = (word) => ({
      ...word,
      tableVersion: word.tableVersion + 1,
      groups: holder.groups.all.slice(1),
    });
    await world.advance(1_000);
    expect(other.serving).to.have.length(2);
    expect(other.lost).to.deep.equal([]);
    holder.control.dispose();
    other.control.dispose();
  });

  // Guards against streams ended by a process that gives the lease back, in a
  // group that opened after it last heard the former holder's table.
  it("loses no group that serves by giving the lease back", async () => {
    const world = new World();
    const [holder, other] = await startBoth(world);
    const before = new Set(other.serving);
    world.killMember();
    await world.advanceUntilOpened();
    await holder.control.releaseLease();
    await world.advance(600);
    expect(other.control.isHolder).to.equal(true);
    const opened = other.serving.filter((group) => !before.has(group));
    expect(opened).to.have.length(1);
    other.lost.length = 0;
    other.fewest = other.serving.length;
    await other.control.releaseLease();
    await world.advance(1_000);
    expect(other.lost).to.deep.equal([]);
    expect(other.fewest).to.equal(3);
    expect(other.serving).to.include(opened[0]);
    holder.control.dispose();
    other.control.dispose();
  });

  it("loses a group that the holder gives up, once", async () => {
    const world = new World();
    const [holder, other] = await startBoth(world);
    const group = world.killMember();
    await world.advance(4_000);
    expect(holder.lost).to.deep.equal([group]);
    expect(other.lost).to.deep.equal([group]);
    holder.control.dispose();
    other.control.dispose();
  });
});
