/**
 * Tracks which groups serve: the lease holder orders them itself; other
 * processes learn them from the holder, or else from the platform's list.
 */
import type { ActiveConfiguration } from "../common/calls/active_configuration.ts";
import type { IModelDemand } from "../common/calls/model_calls.ts";
import { listedGroups } from "../common/calls/listed_groups.ts";
import type {
  IServingGroup,
  ServingGroups,
} from "../common/calls/serving_groups.ts";
import type {
  RateShares,
  TargetRateLimits,
} from "../common/calls/target_rate_limits.ts";
import type { TargetRegistry } from "../common/calls/target_registry.ts";
import { DisposableStore } from "../common/disposable.ts";
import type { IDisposable } from "../common/disposable.ts";
import { GroupNumbers } from "../common/replicas/group_numbers.ts";
import { ExchangeServer } from "../common/replicas/exchange_server.ts";
import { ExchangeClient } from "../common/replicas/exchange_client.ts";
import type { IForwardingMember } from "../common/forwarding/types.ts";
import { QuarantineRole } from "../common/quarantine/quarantine.ts";
import type { IQuarantineMember } from "../common/quarantine/types.ts";
import type { StoreRelay } from "../common/relay/store_relay.ts";
import { LeaseManager } from "../common/replicas/lease_manager.ts";
import { addressOf, processName } from "../common/replicas/process_name.ts";
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

/** Versions within one epoch of the lease. */
const VERSIONS_PER_EPOCH = 1_000_000;

/** How often the known groups are refreshed, milliseconds. */
const REFRESH_PERIOD = 100;

/** Interval at which the holder logs its replies, milliseconds. */
const VOLUME_PERIOD = 2_000;

/**
 * Groups that each waiting call adds to its model's demand: a queue of one
 * batch, about twelve calls, adds about one group.
 */
const GROUPS_PER_WAITING_CALL = 0.08;

/**
 * How often the holder updates the processes that it may forward to itself,
 * milliseconds. The others receive theirs in its replies.
 */
const OWN_PEERS_PERIOD = 250;

/** Exchanges updates of the store with other processes. */
export type IStoreRelay = Pick<
  StoreRelay,
  "versions" | "service" | "updateFor" | "applyUpdate" | "receiveService"
>;

/** Dependencies of the coordinator. */
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
  /** Demand of this process's calls for each model. */
  readonly modelDemand: () => readonly IModelDemand[];
  /** Groups that this process considers stalled. */
  readonly suspects: () => readonly string[];
  /** Whether this process has received a call. */
  readonly hasCalls: () => boolean;
  /** Relays updates of the store between this process and the holder. */
  readonly relay: IStoreRelay;
  readonly rateLimits: TargetRateLimits;
  readonly forwarding: IForwardingMember;
  readonly quarantine: IQuarantineMember;
  /** @param lost - groups that the holder has abandoned */
  readonly onGroupsChanged: (lost: readonly string[]) => void;
}

/** Options of the coordinator of one process. */
export interface IFleetCoordinatorOptions {
  /** Address at which other processes reach this one. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly isFirstStart: boolean;
  /** Processor cores that this process gets; undefined if unknown. */
  readonly cores?: number | undefined;
  readonly bounds: IReplicaBounds;
}

/** Orders the engines while it holds the lease; else follows the holder. */
export class FleetCoordinator implements IDisposable {
  readonly #parts: IFleetCoordinatorParts;
  readonly #options: IFleetCoordinatorOptions;
  readonly #owned = new DisposableStore();
  readonly #lease: LeaseManager;
  readonly #exchangeClient: ExchangeClient;
  readonly #exchangeServer: ExchangeServer;
  readonly #services = new Map<string, ReplicaService>();
  readonly #groupNumbers = new GroupNumbers();
  readonly #processCount = new ProcessCount();
  /** The lease epoch under which the services were started. */
  #servicesEpoch: number | null = null;
  /** Groups abandoned by the holder, as last reported. */
  #abandonedGroups: ReadonlySet<string> = new Set();

  constructor(
    parts: IFleetCoordinatorParts,
    options: IFleetCoordinatorOptions,
  ) {
    this.#parts = parts;
    this.#options = options;
    const runId = parts.random.identifier();
    const process = processName(options.address, runId);
    this.#lease = new LeaseManager(process, {
      store: parts.store,
      clock: parts.clock,
      log: parts.log,
      isHolderHealthy: () => this.#exchangeClient.isHolderHealthy,
      isSuccessor: () => this.#exchangeClient.isSuccessor,
      onAcquired: () => this.#startServices(),
      onLost: () => this.#stopServicesIfReplaced(),
    });
    this.#exchangeClient = new ExchangeClient({
      link: parts.link,
      clock: parts.clock,
      log: parts.log,
      holderAddress: () => this.#holderAddress(),
      report: (tableVersion) => this.#composeReport(tableVersion),
      onReply: () => this.#refresh(),
      onStoreUpdate: (update, askedAt) =>
        parts.relay.applyUpdate(update, askedAt),
      onRateLimits: (limits) => parts.rateLimits.merge(limits),
      onPeers: (peers) => parts.forwarding.updatePeers(peers),
      onQuarantine: (reply) => parts.quarantine.handleReply(reply),
      onOtherProcess: (process) => this.#handleNotHolder(process),
    });
    this.#exchangeServer = new ExchangeServer({
      clock: parts.clock,
      isActiveHolder: () => this.#isActiveHolder,
      mayOrder: () => this.#lease.mayOrder,
      leaseEpoch: () => this.#lease.epoch,
      ownReport: () => this.#composeReport(0),
      storeUpdate: (versions) => parts.relay.updateFor(versions),
      rateLimits: parts.rateLimits,
      quarantine: parts.quarantine,
      onGroupsSuspected: (groups) => this.#suspectGroups(groups),
    });
  }

  start(): void {
    this.#lease.start();
    this.#exchangeClient.start();
    this.#owned.add(this.#lease);
    this.#owned.add(this.#exchangeClient);
    this.#owned.add(
      this.#parts.clock.every(REFRESH_PERIOD, () => this.#refresh()),
    );
    this.#owned.add(
      this.#parts.clock.every(VOLUME_PERIOD, () => this.#logVolume()),
    );
    this.#owned.add(
      this.#parts.clock.every(OWN_PEERS_PERIOD, () => this.#updateOwnPeers()),
    );
  }

  dispose(): void {
    this.#stopServices();
    this.#owned.dispose();
  }

  /** Whether this process holds the lease, or may still hold it. */
  get isHolder(): boolean {
    return this.#lease.isHolding;
  }

  /** Number of processes that take calls, as far as known. */
  get processCount(): number {
    return this.#processCount.update(
      this.#reportingProcesses,
      this.#parts.clock.now(),
    );
  }

  /** Number of processes that report at present; 0 when unknown. */
  get #reportingProcesses(): number {
    if (this.#isActiveHolder) {
      return this.#exchangeServer.reports.length;
    }
    return this.#exchangeClient.isFresh ? this.#exchangeClient.processes : 0;
  }

  /** Answers the report of another process. */
  answerReport(report: IProcessReport): Promise<ExchangeAnswer> {
    if (report.storeService !== undefined) {
      this.#parts.relay.receiveService(report.storeService);
    }
    return this.#exchangeServer.answer(report);
  }

  handleTargetsChanged(): void {
    this.#refresh();
  }

  /** Passes on groups that this process considers stalled. */
  handleGroupsSuspected(): void {
    if (this.#isActiveHolder) {
      this.#suspectGroups(this.#parts.suspects());
    } else {
      this.#exchangeClient.reportNow();
    }
  }

  /** By whose evidence this process decides on crashes. */
  get quarantineRole(): QuarantineRole {
    if (this.#isActiveHolder) {
      return QuarantineRole.Holder;
    }
    return this.#exchangeClient.isConnected
      ? QuarantineRole.Follower
      : QuarantineRole.Alone;
  }

  /** The first version of what this process publishes as the holder. */
  get firstVersion(): number {
    return this.#lease.epoch * VERSIONS_PER_EPOCH;
  }

  /** Reports to the holder at once. */
  reportNow(): void {
    if (!this.#isActiveHolder) {
      this.#exchangeClient.reportNow();
    }
  }

  /** Replies to the other processes at once. */
  announce(): void {
    this.#exchangeServer.announce();
  }

  /**
   * Releases the lease, and follows the next holder from then on; its own table
   * is used for as long as a table lasts.
   */
  async releaseLease(): Promise<void> {
    if (this.#isActiveHolder) {
      const { groups, abandonedGroups, othersInFlight, reports } =
        this.#exchangeServer;
      const processes = reports.length;
      this.#exchangeClient.useTable({
        groups,
        abandonedGroups,
        othersInFlight,
        processes,
      });
    }
    this.#stopServices();
    await this.#lease.release();
  }

  get #isActiveHolder(): boolean {
    const services = [...this.#services.values()];
    return services.length > 0 && services.every((one) => one.hasReconciled);
  }

  #holderAddress(): string | null {
    const { holder, isHolding, process } = this.#lease;
    if (holder === null || isHolding || holder === process) {
      return null;
    }
    return addressOf(holder);
  }

  #composeReport(tableVersion: number): IProcessReport {
    const { cores } = this.#options;
    const { service } = this.#parts.relay;
    return {
      process: this.#lease.process,
      hasCalls: this.#parts.hasCalls(),
      inFlight: Object.fromEntries(this.#parts.groups.ownInFlight),
      work: this.#parts.modelDemand(),
      tableVersion,
      suspects: this.#parts.suspects(),
      versions: this.#parts.relay.versions,
      ...(service === null ? {} : { storeService: service }),
      rateLimits: this.#parts.rateLimits.observations,
      takesTableChanges: true,
      forwarding: this.#parts.forwarding.report,
      quarantine: this.#parts.quarantine.composeReport(),
      ...(cores === undefined ? {} : { cores }),
    };
  }

  #logVolume(): void {
    const volume = this.#exchangeServer.takeVolume();
    if (this.#isActiveHolder) {
      this.#parts.log.info("exchanges", { ...volume });
    }
  }

  #updateOwnPeers(): void {
    if (this.#lease.isHolding) {
      const { ownPeers } = this.#exchangeServer;
      this.#parts.forwarding.updatePeers(ownPeers);
    }
  }

  #suspectGroups(groups: readonly string[]): void {
    for (const service of this.#services.values()) {
      service.suspectGroups(groups);
    }
  }

  /** Another run answers at the holder's address: the holder has ended. */
  #handleNotHolder(process: string): void {
    const { holder } = this.#lease;
    const isSameAddress =
      holder !== null && addressOf(holder) === addressOf(process);
    if (isSameAddress && holder !== process) {
      this.#lease.handleHolderEnded(holder);
    }
  }

  /**
   * Starts the services for an acquired lease. A lease regained under the same
   * epoch keeps them, since no other process has ordered engines in between.
   */
  #startServices(): void {
    if (this.#servicesEpoch === this.#lease.epoch) {
      return;
    }
    this.#stopServices();
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
        nextEpoch: () => this.#groupNumbers.next(this.#lease.epoch),
        demand: () => this.#demand(name),
        isBeforeTraffic: () => this.#isBeforeFirstCall,
        onTableChanged: () => this.#publishTable(),
      },
      this.#options.bounds,
    );
    this.#services.set(name, service);
    service.start();
  }

  #stopServices(): void {
    for (const service of this.#services.values()) {
      service.dispose();
    }
    this.#services.clear();
    this.#servicesEpoch = null;
  }

  /** Keeps the services while the lease is only in doubt. */
  #stopServicesIfReplaced(): void {
    if (!this.#lease.isHolding) {
      this.#stopServices();
    }
  }

  get #isBeforeFirstCall(): boolean {
    const hasCalls = this.#exchangeServer.reports.some((one) => one.hasCalls);
    return this.#options.isFirstStart && !hasCalls;
  }

  /** Groups that the calls of all processes need, by model. */
  #demand(service: string): ReadonlyMap<string, number> {
    const demand = new Map<string, number>();
    for (const { work } of this.#exchangeServer.reports) {
      for (const { model, groups, waiting } of work.filter(
        (one) => one.service === service,
      )) {
        const extra = waiting * GROUPS_PER_WAITING_CALL;
        demand.set(model, (demand.get(model) ?? 0) + groups + extra);
      }
    }
    return demand;
  }

  #publishTable(): void {
    if (!this.#isActiveHolder) {
      return;
    }
    const serving = [...this.#services.values()].flatMap(
      (one) => one.servingGroups,
    );
    const abandoned = [...this.#services.values()].flatMap(
      (one) => one.abandonedGroups,
    );
    this.#exchangeServer.updateTable(serving, abandoned);
    this.#refresh();
  }

  #refresh(): void {
    this.#stopServicesIfReplaced();
    this.#startMissingServices();
    const { groups, rateLimits, onGroupsChanged } = this.#parts;
    const known = this.#knownGroups();
    const lost = this.#updateAbandoned();
    groups.replace(known.map((group) => this.#withReachability(group)));
    groups.setOthersInFlight(
      this.#isActiveHolder
        ? this.#exchangeServer.othersInFlight
        : this.#othersInFlight,
    );
    rateLimits.assignShares(this.#rateShares);
    onGroupsChanged(lost);
  }

  get #rateShares(): RateShares | null {
    return this.#isActiveHolder
      ? this.#exchangeServer.rateSharesOf(this.#lease.process)
      : this.#exchangeClient.rateShares;
  }

  /**
   * Groups that the holder has abandoned since the last refresh. One that is
   * only missing from a table may still serve: a new holder may not know its
   * members yet, and the table of a former holder is out of date.
   */
  #updateAbandoned(): readonly string[] {
    const before = this.#abandonedGroups;
    this.#abandonedGroups = new Set(this.#abandonedByHolder);
    const lost = [...this.#abandonedGroups].filter(
      (group) => !before.has(group),
    );
    if (lost.length > 0) {
      this.#parts.log.warn("groups_lost", {
        groups: lost.join(","),
        word: this.#isActiveHolder ? "own" : "holder",
        age_ms: this.#isActiveHolder ? 0 : Math.round(this.#exchangeClient.age),
        epoch: this.#lease.epoch,
      });
    }
    return lost;
  }

  get #abandonedByHolder(): readonly string[] {
    if (this.#isActiveHolder) {
      return this.#exchangeServer.abandonedGroups;
    }
    return this.#exchangeClient.isFresh
      ? this.#exchangeClient.abandonedGroups
      : [];
  }

  /** The lease may be acquired before the configuration is known. */
  #startMissingServices(): void {
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

  get #othersInFlight(): ReadonlyMap<string, number> | null {
    return this.#exchangeClient.isFresh
      ? this.#exchangeClient.othersInFlight
      : null;
  }

  #knownGroups(): readonly IServingGroup[] {
    if (this.#isActiveHolder) {
      return this.#exchangeServer.groups;
    }
    if (this.#exchangeClient.isFresh) {
      return this.#exchangeClient.groups;
    }
    const { configuration, targets } = this.#parts;
    return configuration.engineServices.flatMap(([name, engine]) =>
      listedGroups(targets.ofService(name), engine),
    );
  }

  /** Sends no calls to a group whose head leaves, is gone or unreachable. */
  #withReachability(group: IServingGroup): IServingGroup {
    const ready = this.#parts.targets.ready(group.service);
    const isReady = ready.some(({ id }) => id === group.head.id);
    const isReachable = !group.isZoneOnly || group.zone === this.#options.zone;
    return isReady && isReachable ? group : { ...group, takesWork: false };
  }
}
