import { expect } from "chai";
import { Err, None, Ok, Some } from "ts-results-es";
import {
  engineState,
  LARGE,
  SMALL,
} from "../../test/support/engine_fixtures.ts";
import { ManualClock } from "../../test/support/manual_clock.ts";
import {
  RecordingLog,
  NO_METRICS,
} from "../../test/support/recording_services.ts";
import { SeededRandom } from "../../test/support/seeded_random.ts";
import { ActiveConfiguration } from "../common/calls/active_configuration.ts";
import type { IModelDemand } from "../common/calls/model_calls.ts";
import { ServingGroups } from "../common/calls/serving_groups.ts";
import { TargetRegistry } from "../common/calls/target_registry.ts";
import { ListedState, GroupMemberState } from "../common/calls/types.ts";
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

/** Relays nothing: each process reads the store itself. */
const NO_RELAY: IStoreRelay = {
  versions: { configuration: 0, targets: 0 },
  updateFor: () => null,
  applyUpdate: () => undefined,
};

/** A store of one object that can be made unavailable. */
class InMemoryStore implements IObjectStore {
  isUnavailable = false;
  #object: IPlatformObject | null = null;

  async read() {
    return this.isUnavailable
      ? Err(UNAVAILABLE)
      : Ok(this.#object ? Some(this.#object) : None);
  }
  async list() {
    return Err(UNAVAILABLE);
  }
  async watch() {
    return Err(UNAVAILABLE);
  }
  async write(write: {
    readonly kind: string;
    readonly name: string;
    readonly value: unknown;
    readonly expectedVersion: number | null;
  }) {
    const { kind, name, value, expectedVersion } = write;
    if (this.isUnavailable) {
      return Err({ kind: WriteFailureKind.NotApplied, detail: "unavailable" });
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
    return Err({ kind: WriteFailureKind.NotApplied, detail: "not supported" });
  }
}

const UNAVAILABLE = { kind: "unknown", detail: "unavailable" } as never;

/** Engines that carry out orders at once and record them. */
class FakeEngines implements IEngineClient {
  readonly states = new Map<string, IEngineState>();
  /** Engines that no longer answer. */
  readonly dead = new Set<string>();
  /** Engines that were joined to a group while the head of another was open. */
  readonly taken: string[] = [];
  readonly orders: { readonly engine: string; readonly order: EngineOrder }[] =
    [];

  async fetchReport({ id }: { readonly id: string }) {
    if (this.dead.has(id)) {
      return Err(UNAVAILABLE);
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
      if (state.membership?.group !== group && this.#hasOpenHead(state)) {
        this.taken.push(id);
      }
      const rank = members.indexOf(id);
      const membership = { group, epoch, rank, state: GroupMemberState.Ready };
      this.states.set(id, { ...state, model, staged: [model], membership });
    } else if (order.kind === OrderKind.Stage) {
      this.states.set(id, { ...state, staged: [order.model] });
    } else if (order.kind === OrderKind.Open && state.membership) {
      const membership = { ...state.membership, state: GroupMemberState.Open };
      this.states.set(id, { ...state, membership });
    } else if (order.kind === OrderKind.Leave) {
      this.states.set(id, { ...state, membership: null });
    }
    return OrderOutcome.Accepted;
  }

  #hasOpenHead({ membership }: IEngineState): boolean {
    return [...this.states.values()].some(
      ({ membership: other }) =>
        other?.group === membership?.group &&
        other?.state === GroupMemberState.Open,
    );
  }
}

/** Ten engines of a domain, the store, and the links between processes. */
class TestDeployment {
  readonly clock = new ManualClock();
  readonly store = new InMemoryStore();
  readonly engines = new FakeEngines();
  /** By address; without an entry, an address does not answer. */
  readonly coordinators = new Map<string, FleetCoordinator>();
  /** Modifies the holder's replies in transit. */
  editReply: (reply: IHolderReply) => IHolderReply = (reply) => reply;

  readonly link: IHolderLink = {
    exchange: async (address, report) => {
      const coordinator = this.coordinators.get(address);
      if (coordinator === undefined) {
        return Err(UNAVAILABLE);
      }
      const answer = await coordinator.answerReport(report);
      return Ok(
        answer.isHolder
          ? { ...answer, word: this.editReply(answer.word) }
          : answer,
      );
    },
  };

  /** Returns the head of a serving group of the large model. */
  get largeHead(): string {
    for (const [id, { model, membership }] of this.engines.states) {
      if (model === "large" && membership?.state === GroupMemberState.Open) {
        return id;
      }
    }
    throw new Error("no group of the large model is open");
  }

  /** Kills a member other than the head of an open group; returns the group. */
  killMember(): string {
    for (const [id, { model, membership }] of this.engines.states) {
      if (model === "small" && membership?.rank === 1) {
        this.engines.dead.add(id);
        return membership.group;
      }
    }
    throw new Error("no group has a second member");
  }

  /** Advances until the next group is ordered to open. */
  async advanceUntilOpened(): Promise<void> {
    const known = this.#openOrders;
    for (let passed = 0; passed < 5_000; passed += 10) {
      await this.advance(10);
      if (this.#openOrders > known) {
        return;
      }
    }
    throw new Error("no group was opened");
  }

  get #openOrders(): number {
    const { orders } = this.engines;
    return orders.filter(({ order }) => order.kind === OrderKind.Open).length;
  }

  /** Advances in short steps, with time for answers in between. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 10) {
      this.clock.advance(10);
      for (let turn = 0; turn < 10; turn += 1) {
        await Promise.resolve();
      }
    }
  }
}

/** One process in a test deployment. */
class TestProcess {
  readonly groups = new ServingGroups();
  readonly log = new RecordingLog();
  readonly coordinator: FleetCoordinator;
  readonly lost: string[] = [];
  /** The fewest known groups since it was set. */
  fewestGroups = Number.POSITIVE_INFINITY;
  hasCalls = false;
  demand: readonly IModelDemand[] = [];

  /** @param unlisted - an engine that the platform has dropped */
  constructor(
    deployment: TestDeployment,
    address = "127.0.0.1:1",
    unlisted: string | null = null,
  ) {
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
    })).filter(({ name }) => name !== unlisted);
    const fullList = {
      isFullList: true,
      isAfterOutage: false,
      removed: [],
      version: 1,
    };
    targets.applyStoreChanges({ ...fullList, objects }, 0);
    this.coordinator = new FleetCoordinator(
      {
        store: deployment.store,
        engines: deployment.engines,
        clock: deployment.clock,
        link: deployment.link,
        random: new SeededRandom(20261203),
        log: this.log,
        metrics: NO_METRICS,
        configuration,
        targets,
        groups: this.groups,
        modelDemand: () => this.demand,
        suspects: () => [],
        hasCalls: () => this.hasCalls,
        relay: NO_RELAY,
        onGroupsChanged: (lost) => {
          this.lost.push(...lost);
          this.fewestGroups = Math.min(
            this.fewestGroups,
            this.groups.all.length,
          );
        },
      },
      {
        address,
        zone: "one",
        isFirstStart: true,
        bounds: { stallTime: 5_000, loads: { window: 5_000, factor: 1.1 } },
      },
    );
    deployment.coordinators.set(address, this.coordinator);
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
    const deployment = new TestDeployment();
    const process = new TestProcess(deployment);
    process.coordinator.start();
    await deployment.advance(4_000);
    const models = process.groups.all.map(({ model }) => model).sort();
    expect(models).to.deep.equal(["large", "small", "small"]);
    process.coordinator.dispose();
  });

  // Guards against requests that stall in a group whose head serves on without
  // its members: the platform has dropped the head, which a new holder does not
  // know.
  it("takes no member from a group whose head is not listed", async () => {
    const deployment = new TestDeployment();
    const first = new TestProcess(deployment);
    first.coordinator.start();
    await deployment.advance(4_000);
    const head = deployment.largeHead;
    await first.coordinator.releaseLease();
    first.coordinator.dispose();
    const second = new TestProcess(deployment, "127.0.0.1:2", head);
    second.hasCalls = true;
    const demand = { service: "summaries", waiting: 0 };
    second.demand = [{ ...demand, model: "large", groups: 9 }];
    second.coordinator.start();
    await deployment.advance(12_000);
    const joins = deployment.engines.orders.filter(
      ({ order }) =>
        order.kind === OrderKind.Join && order.plan.epoch > 2_000_000,
    );
    expect(joins).to.not.have.length(0);
    expect(deployment.engines.taken).to.deep.equal([]);
    second.coordinator.dispose();
  });

  // Guards against group numbers that restart when a process regains its lease
  // after a store outage: a new group would take the name of a serving one, and
  // members of an open group would be ordered to join another.
  it("never reuses a group name after it regains the lease", async () => {
    const deployment = new TestDeployment();
    const process = new TestProcess(deployment);
    process.coordinator.start();
    await deployment.advance(4_000);
    const serving = process.groups.all.map(({ group }) => group);
    deployment.store.isUnavailable = true;
    await deployment.advance(3_000);
    deployment.store.isUnavailable = false;
    await deployment.advance(3_000);
    expect(process.groups.all.map(({ group }) => group)).to.deep.equal(serving);
    process.hasCalls = true;
    deployment.killMember();
    await deployment.advance(4_000);
    expect(process.groups.all).to.have.length(serving.length);
    const lists = new Map<string, string>();
    for (const { order } of deployment.engines.orders) {
      if (order.kind === OrderKind.Join) {
        const { group, members } = order.plan;
        const list = members.join(",");
        expect(lists.get(group) ?? list).to.equal(list);
        lists.set(group, list);
      }
    }
    process.coordinator.dispose();
  });
});

describe("learning which groups are lost", () => {
  /** Starts a holder, and a process that learns the groups from it. */
  async function startBoth(
    deployment: TestDeployment,
  ): Promise<readonly [TestProcess, TestProcess]> {
    const holder = new TestProcess(deployment, "127.0.0.1:1");
    const other = new TestProcess(deployment, "127.0.0.1:3");
    holder.hasCalls = true;
    other.hasCalls = true;
    holder.coordinator.start();
    await deployment.advance(4_000);
    other.coordinator.start();
    await deployment.advance(500);
    expect(other.serving).to.have.length(3);
    return [holder, other];
  }

  // Guards against a new lease holder that ends the streams of groups that it
  // has not surveyed yet.
  it("loses no group by taking over the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const { serving } = other;
    await holder.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.coordinator.isHolder).to.equal(true);
    expect(other.lost).to.deep.equal([]);
    expect(other.serving).to.deep.equal(serving);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against calls without a group while a new lease holder has not
  // surveyed the groups yet.
  it("keeps its groups while it takes over the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    other.fewestGroups = other.serving.length;
    await holder.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.coordinator.isHolder).to.equal(true);
    expect(other.fewestGroups).to.equal(3);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against streams ended because their group is missing from another
  // holder's table that is incomplete or out of date.
  it("loses no group that is only missing from a table", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    deployment.editReply = (reply) => ({
      ...reply,
      tableVersion: reply.tableVersion + 1,
      groups: holder.groups.all.slice(1),
    });
    await deployment.advance(1_000);
    expect(other.serving).to.have.length(2);
    expect(other.lost).to.deep.equal([]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against streams ended by a process that releases the lease, in a
  // group that opened after it last received the former holder's table.
  it("loses no serving group by releasing the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const before = new Set(other.serving);
    deployment.killMember();
    await deployment.advanceUntilOpened();
    await holder.coordinator.releaseLease();
    await deployment.advance(600);
    expect(other.coordinator.isHolder).to.equal(true);
    const opened = other.serving.filter((group) => !before.has(group));
    expect(opened).to.have.length(1);
    other.lost.length = 0;
    other.fewestGroups = other.serving.length;
    await other.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.lost).to.deep.equal([]);
    expect(other.fewestGroups).to.equal(3);
    expect(other.serving).to.include(opened[0]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  it("loses a group that the holder abandons, once", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const group = deployment.killMember();
    await deployment.advance(4_000);
    expect(holder.lost).to.deep.equal([group]);
    expect(other.lost).to.deep.equal([group]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });
});
