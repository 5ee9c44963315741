/**
 * The part of a process that knows which groups serve: by ordering them while
 * it holds the lease, else from the holder, else from the platform's list.
 */
import type { ActiveConfiguration } from "../common/calls/active_configuration.ts";
import type { IModelDemand } from "../common/calls/model_calls.ts";
import { listedGroups } from "../common/calls/listed_groups.ts";
import type {
  IServingGroup,
  ServingGroups,
} from "../common/calls/serving_groups.ts";
import type { TargetRegistry } from "../common/calls/target_registry.ts";
import { DisposableStore } from "../common/disposable.ts";
import type { IDisposable } from "../common/disposable.ts";
import { GroupNumbers } from "../common/replicas/group_numbers.ts";
import { ExchangeServer } from "../common/replicas/exchange_server.ts";
import { ExchangeClient } from "../common/replicas/exchange_client.ts";
import type { StoreRelay } from "../common/relay/store_relay.ts";
import { LeaseManager } from "../common/replicas/lease_manager.ts";
import { ProcessCount } from "../common/replicas/process_count.ts";
import { ReplicaService } from "../common/replicas/replica_service.ts";
import type { IReplicaBounds } from "../common/replicas/replica_service.ts";
import type {
  ExchangeAnswer,
  IHolderLink,
  IProcessReport,
} from "../common/replicas/exchange.ts";
import type { IEngineClient } from "../common/replicas/types.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IObjectStore,
  IRandom,
} from "../common/services/services.ts";
import type { ZoneName } from "../common/types.ts";

/** How often the belief about groups is renewed, milliseconds. */
const REFRESH_PERIOD = 100;

/**
 * What a waiting call adds to its model's demand: a queue of one batch of
 * twelve or so is to be worked off by about one group more.
 */
const GROUPS_PER_WAITING_CALL = 0.08;

/** Separates a process's address from its run in its name. */
const NAME_SEPARATOR = "/";

/** What is told and heard of the store. */
export type IStoreRelay = Pick<
  StoreRelay,
  "versions" | "updateFor" | "applyUpdate"
>;

/** What the control needs. */
export interface IFleetCoordinatorParts {
  readonly store: IObjectStore;
  readonly engines: IEngineClient;
  readonly link: IHolderLink;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly configuration: ActiveConfiguration;
  readonly targets: TargetRegistry;
  readonly groups: ServingGroups;
  /** What this process's calls ask of each model. */
  readonly modelDemand: () => readonly IModelDemand[];
  /** Groups that this process found standing still. */
  readonly suspects: () => readonly string[];
  /** Whether this process has had a call. */
  readonly hasCalls: () => boolean;
  /** Passes on what the store says, between this process and the holder. */
  readonly relay: IStoreRelay;
  /** @param lost - groups that the holder has given up */
  readonly onGroupsChanged: (lost: readonly string[]) => void;
}

/** How this process takes part. */
export interface IFleetCoordinatorOptions {
  /** Where the other processes reach this one. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly isFirstStart: boolean;
  readonly bounds: IReplicaBounds;
}

/** One process's part in ordering the engines. */
export class FleetCoordinator implements IDisposable {
  readonly #parts: IFleetCoordinatorParts;
  readonly #options: IFleetCoordinatorOptions;
  readonly #owned = new DisposableStore();
  readonly #lease: LeaseManager;
  readonly #listener: ExchangeClient;
  readonly #desk: ExchangeServer;
  readonly #services = new Map<string, ReplicaService>();
  readonly #numbers = new GroupNumbers();
  readonly #processes = new ProcessCount();
  /** The lease epoch under which the services were started. */
  #servicesEpoch: number | null = null;
  /** Groups given up by the holder, as last heard. */
  #givenUp: ReadonlySet<string> = new Set();

  constructor(
    parts: IFleetCoordinatorParts,
    options: IFleetCoordinatorOptions,
  ) {
    this.#parts = parts;
    this.#options = options;
    const run = parts.random.identifier();
    const process = `${options.address}${NAME_SEPARATOR}${run}`;
    this.#lease = new LeaseManager(process, {
      store: parts.store,
      clock: parts.clock,
      log: parts.log,
      isHolderHealthy: () => this.#listener.isHolderHealthy,
      onAcquired: () => this.#take(),
      onLost: () => this.#releaseIfReplaced(),
    });
    this.#listener = new ExchangeClient({
      link: parts.link,
      clock: parts.clock,
      log: parts.log,
      holderAddress: () => this.#holderAddress(),
      report: (tableVersion) => this.#word(tableVersion),
      onReply: () => this.#refresh(),
      onStoreUpdate: (word) => parts.relay.applyUpdate(word),
      onOtherProcess: (process) => this.#otherAnswers(process),
    });
    this.#desk = new ExchangeServer({
      clock: parts.clock,
      isActiveHolder: () => this.#isInOffice,
      mayOrder: () => this.#lease.mayOrder,
      leaseEpoch: () => this.#lease.epoch,
      ownReport: () => this.#word(0),
      storeUpdate: (versions) => parts.relay.updateFor(versions),
      onGroupsSuspected: (groups) => this.#suspect(groups),
    });
  }

  start(): void {
    this.#lease.start();
    this.#listener.start();
    this.#owned.add(this.#lease);
    this.#owned.add(this.#listener);
    this.#owned.add(
      this.#parts.clock.every(REFRESH_PERIOD, () => this.#refresh()),
    );
  }

  dispose(): void {
    this.#release();
    this.#owned.dispose();
  }

  /** Whether this process holds the lease, or may still hold it. */
  get isHolder(): boolean {
    return this.#lease.isHolding;
  }

  /** Processes that take calls, as far as is known. */
  get processCount(): number {
    return this.#processes.update(
      this.#processesHeard,
      this.#parts.clock.now(),
    );
  }

  /** Processes heard of at this moment; 0 when nothing is known of them. */
  get #processesHeard(): number {
    if (this.#isInOffice) {
      return this.#desk.reports.length;
    }
    return this.#listener.isFresh ? this.#listener.processes : 0;
  }

  /** Answers another process. */
  answerReport(word: IProcessReport): Promise<ExchangeAnswer> {
    return this.#desk.answer(word);
  }

  handleTargetsChanged(): void {
    this.#refresh();
  }

  /** Groups were found standing still here. */
  handleGroupsSuspected(): void {
    if (this.#isInOffice) {
      this.#suspect(this.#parts.suspects());
    } else {
      this.#listener.reportNow();
    }
  }

  async releaseLease(): Promise<void> {
    if (this.#isInOffice) {
      const { groups, abandonedGroups, othersInFlight, reports } = this.#desk;
      const processes = reports.length;
      this.#listener.useTable({
        groups,
        abandonedGroups: abandonedGroups,
        othersInFlight: othersInFlight,
        processes,
      });
    }
    this.#release();
    await this.#lease.release();
  }

  get #isInOffice(): boolean {
    const services = [...this.#services.values()];
    return services.length > 0 && services.every((one) => one.hasReconciled);
  }

  #holderAddress(): string | null {
    const holder = this.#lease.holder;
    if (holder === null || this.#lease.isHolding) {
      return null;
    }
    return holder.split(NAME_SEPARATOR)[0] ?? null;
  }

  #word(tableVersion: number): IProcessReport {
    return {
      process: this.#lease.process,
      hasCalls: this.#parts.hasCalls(),
      inFlight: Object.fromEntries(this.#parts.groups.ownInFlight),
      work: this.#parts.modelDemand(),
      tableVersion,
      suspects: this.#parts.suspects(),
      versions: this.#parts.relay.versions,
    };
  }

  #suspect(groups: readonly string[]): void {
    for (const service of this.#services.values()) {
      service.suspectGroups(groups);
    }
  }

  /** Where the holder was, another run of the process answers: it has ended. */
  #otherAnswers(process: string): void {
    const { holder } = this.#lease;
    const [address] = process.split(NAME_SEPARATOR);
    const isSamePlace = holder?.split(NAME_SEPARATOR)[0] === address;
    if (holder !== null && isSamePlace && holder !== process) {
      this.#lease.handleHolderEnded(holder);
    }
  }

  /**
   * The lease was acquired. Regained under the same epoch, nobody else has
   * acted in between, and what is known of the groups still holds.
   */
  #take(): void {
    if (this.#servicesEpoch === this.#lease.epoch) {
      return;
    }
    this.#release();
    this.#servicesEpoch = this.#lease.epoch;
    for (const [service] of this.#parts.configuration.engineServices) {
      this.#startService(service);
    }
  }

  #startService(name: string): void {
    const { configuration, targets } = this.#parts;
    const service = new ReplicaService(
      name,
      {
        engines: this.#parts.engines,
        clock: this.#parts.clock,
        log: this.#parts.log,
        metrics: this.#parts.metrics,
        listedTargets: () => targets.ofService(name),
        engine: () => configuration.service(name)?.engine ?? null,
        mayOrder: () => this.#lease.mayOrder,
        nextEpoch: () => this.#numbers.next(this.#lease.epoch),
        demand: () => this.#demand(name),
        isBeforeTraffic: () => this.#isBeforeTraffic,
        onTableChanged: () => this.#tableChanged(),
      },
      this.#options.bounds,
    );
    this.#services.set(name, service);
    service.start();
  }

  #release(): void {
    for (const service of this.#services.values()) {
      service.dispose();
    }
    this.#services.clear();
    this.#servicesEpoch = null;
  }

  /** While the lease is only in doubt, what is known is kept. */
  #releaseIfReplaced(): void {
    if (!this.#lease.isHolding) {
      this.#release();
    }
  }

  get #isBeforeTraffic(): boolean {
    const hasCalls = this.#desk.reports.some((word) => word.hasCalls);
    return this.#options.isFirstStart && !hasCalls;
  }

  /** Groups that the calls of all processes keep busy, by model. */
  #demand(service: string): ReadonlyMap<string, number> {
    const demand = new Map<string, number>();
    for (const { work } of this.#desk.reports) {
      for (const { model, groups, waiting } of work.filter(
        (one) => one.service === service,
      )) {
        const extra = waiting * GROUPS_PER_WAITING_CALL;
        demand.set(model, (demand.get(model) ?? 0) + groups + extra);
      }
    }
    return demand;
  }

  #tableChanged(): void {
    if (!this.#isInOffice) {
      return;
    }
    const serving = [...this.#services.values()].flatMap(
      (one) => one.servingGroups,
    );
    const givenUp = [...this.#services.values()].flatMap(
      (one) => one.abandonedGroups,
    );
    this.#desk.updateTable(serving, givenUp);
    this.#refresh();
  }

  #refresh(): void {
    this.#releaseIfReplaced();
    this.#startMissing();
    const { groups, onGroupsChanged } = this.#parts;
    const believed = this.#believed();
    const lost = this.#lostGroups();
    groups.replace(believed.map((group) => this.#asListed(group)));
    groups.setOthersInFlight(
      this.#isInOffice ? this.#desk.othersInFlight : this.#others,
    );
    onGroupsChanged(lost);
  }

  /**
   * Groups that the holder has given up since the last look. One that a table
   * only lacks may well serve: a new holder may yet have to hear of its members,
   * and the table of a former one is out of date.
   */
  #lostGroups(): readonly string[] {
    const before = this.#givenUp;
    this.#givenUp = new Set(this.#givenUpByHolder);
    const lost = [...this.#givenUp].filter((group) => !before.has(group));
    if (lost.length > 0) {
      this.#parts.log.warn("groups_lost", {
        groups: lost.join(","),
        word: this.#isInOffice ? "own" : "holder",
        age_ms: this.#isInOffice ? 0 : Math.round(this.#listener.age),
        epoch: this.#lease.epoch,
      });
    }
    return lost;
  }

  get #givenUpByHolder(): readonly string[] {
    if (this.#isInOffice) {
      return this.#desk.abandonedGroups;
    }
    return this.#listener.isFresh ? this.#listener.abandonedGroups : [];
  }

  /** The lease may be had before the configuration is known. */
  #startMissing(): void {
    if (!this.#lease.isHolding) {
      return;
    }
    this.#servicesEpoch ??= this.#lease.epoch;
    for (const [name] of this.#parts.configuration.engineServices) {
      if (!this.#services.has(name)) {
        this.#startService(name);
      }
    }
  }

  get #others(): ReadonlyMap<string, number> | null {
    return this.#listener.isFresh ? this.#listener.othersInFlight : null;
  }

  #believed(): readonly IServingGroup[] {
    if (this.#isInOffice) {
      return this.#desk.groups;
    }
    if (this.#listener.isFresh) {
      return this.#listener.groups;
    }
    const { configuration, targets } = this.#parts;
    return configuration.engineServices.flatMap(([name, engine]) =>
      listedGroups(targets.ofService(name), engine),
    );
  }

  /** A head that leaves, or that this process knows to be gone, gets nothing. */
  #asListed(group: IServingGroup): IServingGroup {
    const ready = this.#parts.targets.ready(group.service);
    const isReady = ready.some(({ id }) => id === group.head.id);
    const isInReach = !group.isZoneOnly || group.zone === this.#options.zone;
    return isReady && isInReach ? group : { ...group, takesWork: false };
  }
}
