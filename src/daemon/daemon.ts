/** Connects a daemon's adapters and services, and starts and stops them. */
import {
  HttpCallerServer,
  sha256Hex,
} from "../adapters/callers/http_caller_server.ts";
import { SystemEventLoop } from "../adapters/event_loop/system_event_loop.ts";
import { SystemClock } from "../adapters/clock/system_clock.ts";
import { XxhashHash } from "../adapters/hash/xxhash_hash.ts";
import { LogfmtLog } from "../adapters/log/logfmt_log.ts";
import { PrometheusMetrics } from "../adapters/metrics/prometheus_metrics.ts";
import { GrpcPeerServer } from "../adapters/peers/grpc_peer_server.ts";
import { GrpcForwarder } from "../adapters/peers/grpc_forwarder.ts";
import { GrpcPeers } from "../adapters/peers/grpc_peers.ts";
import { HttpClients } from "../adapters/http/http_clients.ts";
import { JsonAnswers } from "../adapters/json_answers.ts";
import { MemoryMonitor } from "../adapters/memory_monitor.ts";
import { HttpPlatform } from "../adapters/platform/http_platform.ts";
import {
  MutualTlsPeerCredentials,
  InsecurePeerCredentials,
} from "../adapters/tls/peer_credentials.ts";
import type { IPeerCredentials } from "../adapters/tls/peer_credentials.ts";
import { SystemRandom } from "../adapters/random/system_random.ts";
import { HttpTargets } from "../adapters/targets/http_targets.ts";
import { splitAddress } from "../adapters/listen.ts";
import { AnswerBoundRecorder } from "../common/calls/answer_bounds.ts";
import { AnswerBreakRecorder } from "../common/calls/answer_breaks.ts";
import { AnswerMemory } from "../common/calls/answer_memory.ts";
import { divideDescriptors } from "../common/calls/descriptor_limits.ts";
import { LimitRecorder, ProcessLimit } from "../common/calls/limit_recorder.ts";
import { RequestMemory } from "../common/calls/request_memory.ts";
import { InputBarrier } from "../common/calls/input_barrier.ts";
import type { IPeerRequestHandler } from "../common/membership/peers.ts";
import { LiveDaemons } from "../common/membership/live_daemons.ts";
import { BurnRecorder } from "../common/reports/burn_recorder.ts";
import type { IDaemonBurn } from "../common/reports/burn_types.ts";
import { Alarms } from "../common/services/alarms.ts";
import { CooldownObservingTargets } from "../common/services/cooldown_observing_targets.ts";
import type { IDaemonStatus } from "../common/services/daemon_status.ts";
import { CrashingRequests } from "../common/quarantine/crashing_requests.ts";
import { Quarantine, QuarantineRole } from "../common/quarantine/quarantine.ts";
import { DigestService } from "../common/services/digest_service.ts";
import { EngineStarts } from "../common/services/engine_starts.ts";
import { GroupDirectory } from "../common/services/group_directory.ts";
import { GroupHealth } from "../common/services/group_health.ts";
import { MeteredPlatform } from "../common/services/metered_platform.ts";
import { PromptParts } from "../common/services/prompt_parts.ts";
import { RequestQuarantine } from "../common/services/request_quarantine.ts";
import { PeerService } from "../common/services/peer_service.ts";
import { PlanListService } from "../common/services/plan_list_service.ts";
import { RunRecordSweeper } from "../common/services/run_record_sweeper.ts";
import { TargetDirectory } from "../common/services/target_directory.ts";
import { ZoneDomains } from "../common/services/zone_domains.ts";
import { zoneLoads } from "../common/services/zone_loads.ts";
import { formatFinding } from "../common/plans/findings.ts";
import type {
  IDaemonEntry,
  IPlatform,
  ITargets,
} from "../common/services/services.ts";
import { TargetCooldowns } from "../common/target_cooldowns.ts";
import { OperationsServer } from "./operations_server.ts";
import type { IStatusSource } from "./operations_server.ts";
import { RequestPipeline } from "./request_pipeline.ts";
import { burnObjectives, serviceDefinitions } from "./settings.ts";
import type { Settings } from "./settings.ts";
import { domainOptions } from "./domain_options.ts";

/** Name of the duty to watch the plan lists for the zone. */
const WATCH_DUTY = "plan_lists";

/** Name of the duty to remove old run records for the zone. */
const SWEEP_DUTY = "run_records";

/**
 * A poll that is late by more than this share of the freshness limit indicates
 * that the process was paused.
 */
const POLL_PAUSE_SHARE = 0.2;

/**
 * Memory of answers of the platform and to reports, as a share of that of
 * answers to calls.
 */
const SHARE_OF_CONTROL_ANSWERS = 0.3;

/** The addresses on which a daemon listens. */
export interface IDaemonAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly operations: string;
}

/** One running daemon. */
export class Daemon implements IStatusSource {
  readonly #settings: Settings;
  readonly #log: LogfmtLog;
  readonly #clock = new SystemClock();
  readonly #random = new SystemRandom();
  readonly #metrics = new PrometheusMetrics();
  readonly #id: string;
  readonly #httpPlatform: HttpPlatform;
  readonly #platform: IPlatform;
  readonly #barrier = new InputBarrier({
    eventLoop: new SystemEventLoop(),
    clock: this.#clock,
  });
  readonly #limits: LimitRecorder;
  readonly #answers: AnswerMemory;
  readonly #recorder: AnswerBoundRecorder;
  readonly #requests: RequestMemory;
  readonly #memoryMonitor: MemoryMonitor;
  readonly #httpTargets: HttpTargets;
  /** By address of the target. */
  readonly #cooldowns: TargetCooldowns;
  readonly #targets: ITargets;
  readonly #hash: XxhashHash;
  readonly #credentials: IPeerCredentials;
  readonly #peers: GrpcPeers;
  readonly #liveDaemons: LiveDaemons;
  readonly #alarms: Alarms;
  readonly #burn: BurnRecorder;
  readonly #planLists: PlanListService;
  readonly #targetDirectory: TargetDirectory;
  readonly #domains: ZoneDomains;
  readonly #groupDirectory: GroupDirectory;
  readonly #health: GroupHealth;
  readonly #sweeper: RunRecordSweeper;
  readonly #forwarder: GrpcForwarder;
  readonly #quarantine: Quarantine;
  readonly #pipeline: RequestPipeline;
  readonly #callerServer: HttpCallerServer;
  readonly #operationsServer: OperationsServer;
  readonly #peerServer: GrpcPeerServer;
  readonly #digests: DigestService;
  #peerService: PeerService | null = null;
  #isStopping = false;
  /** Resolves once the daemon has stopped; null before it begins to. */
  #stopped: Promise<void> | null = null;

  private constructor(settings: Settings, log: LogfmtLog, hash: XxhashHash) {
    this.#settings = settings;
    this.#log = log;
    this.#limits = new LimitRecorder({
      ...{ clock: this.#clock, log, metrics: this.#metrics },
    });
    this.#answers = new AnswerMemory(settings.limits.memory_mb, () =>
      this.#limits.record(ProcessLimit.UnreadAnswers),
    );
    this.#requests = new RequestMemory(settings.limits.memory_mb, () =>
      this.#limits.record(ProcessLimit.RequestMemory),
    );
    this.#memoryMonitor = new MemoryMonitor({
      clock: this.#clock,
      log,
      memory: settings.limits.memory_mb,
      kept: () => ({
        answers: this.#answers.used,
        answerPieces: this.#answers.pieces,
        requests: this.#requests.used,
      }),
    });
    const services = { clock: this.#clock, log, metrics: this.#metrics };
    const recorder = new AnswerBoundRecorder(services);
    this.#recorder = recorder;
    const clients = new HttpClients({
      memory: this.#answers,
      controlMemory: new AnswerMemory(
        settings.limits.memory_mb * SHARE_OF_CONTROL_ANSWERS,
      ),
      recorder,
      breaks: new AnswerBreakRecorder(services),
    });
    const jsonAnswers = new JsonAnswers({ clients, recorder });
    this.#httpTargets = new HttpTargets(this.#barrier, jsonAnswers);
    this.#id = `${settings.daemon.name}/${this.#random.identifier()}`;
    this.#hash = hash;
    this.#credentials = settings.tls.peers
      ? new MutualTlsPeerCredentials(settings.tls.peers)
      : new InsecurePeerCredentials();
    this.#peers = new GrpcPeers(this.#credentials);
    this.#liveDaemons = new LiveDaemons(this.#id, hash);
    this.#httpPlatform = new HttpPlatform(
      `http://${settings.platform.address}`,
      jsonAnswers,
    );
    this.#platform = new MeteredPlatform(this.#httpPlatform, this.#metrics);
    this.#cooldowns = new TargetCooldowns({ clock: this.#clock, log });
    this.#targets = new CooldownObservingTargets(
      this.#httpTargets,
      this.#cooldowns,
    );
    this.#alarms = new Alarms(this.#clock, log, { metrics: this.#metrics });
    this.#burn = new BurnRecorder(this.#clock, burnObjectives(settings));
    this.#planLists = this.#createPlanLists();
    this.#targetDirectory = this.#createTargetDirectory();
    this.#domains = this.#createDomains();
    this.#groupDirectory = new GroupDirectory(
      {
        targets: this.#targetDirectory,
        domains: () => this.#domains.all,
        clock: this.#clock,
        random: this.#random,
        live: this.#liveDaemons,
        cooldowns: this.#cooldowns,
      },
      settings.groups.freshness,
    );
    this.#health = this.#createHealth();
    this.#sweeper = this.#createSweeper();
    this.#forwarder = new GrpcForwarder(this.#credentials, {
      barrier: this.#barrier,
      recorder,
    });
    this.#quarantine = this.#createQuarantine();
    this.#pipeline = this.#createPipeline();
    this.#callerServer = this.#createCallerServer();
    this.#operationsServer = new OperationsServer(this, this.#metrics);
    this.#digests = this.#createDigests();
    this.#peerServer = this.#createPeerServer();
  }

  /** Starts a daemon and logs the addresses on which it listens. */
  static async start(settings: Settings): Promise<Daemon> {
    const { name, zone } = settings.daemon;
    const log = await LogfmtLog.create({ daemon: name, zone });
    const daemon = new Daemon(settings, log, await XxhashHash.create());
    await daemon.#start();
    return daemon;
  }

  get isReady(): boolean {
    return !this.#isStopping && this.#planLists.isReady;
  }

  /** Whether at least one replica group of the zone is complete. */
  get canServe(): boolean {
    const groups = this.#groupDirectory.groups();
    return this.isReady && groups.some(({ isComplete }) => isComplete);
  }

  /** The daemon's status, for `cranberryledge status`. */
  status(): IDaemonStatus {
    const { name, zone } = this.#settings.daemon;
    return {
      daemon: name,
      id: this.#id,
      zone,
      ready: this.isReady,
      stopping: this.#isStopping,
      in_flight: this.#pipeline.dispatcher.inFlight,
      lists: this.#planLists.versions,
      lists_age_ms: this.#planLists.age,
      live_daemons: this.#liveDaemons.inZone,
      zones: this.#peerService?.zones ?? [],
      alarms: this.#alarms.raised,
      findings: [
        ...this.#planLists.findings,
        ...(this.#peerService?.findings ?? []),
      ].map(formatFinding),
      domains: this.#domains.all.map((domain) => ({
        domain: domain.domain,
        holder: domain.record?.holder ?? null,
        epoch: domain.record?.epoch ?? 0,
        holding: domain.isHolding,
      })),
      spares: this.#health.spares,
      groups: this.#groupDirectory.groups().map(({ group, isComplete }) => ({
        ...group,
        complete: isComplete,
        down_ms: Math.round(this.#health.downtimeOf(group.id)),
      })),
    };
  }

  /** Measured service levels, for `cranberryledge report burn`. */
  burn(): IDaemonBurn {
    return this.#burn.read(this.#id, this.#settings.daemon.zone);
  }

  /** Completes all requests in flight, releases leases, and stops. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    this.#isStopping = true;
    this.#log.info("stopping", {
      in_flight: this.#pipeline.dispatcher.inFlight,
    });
    await this.#callerServer.stop();
    await this.#pipeline.close();
    this.#sweeper.dispose();
    await this.#domains.close();
    this.#health.dispose();
    this.#memoryMonitor.dispose();
    this.#quarantine.dispose();
    this.#targetDirectory.dispose();
    this.#digests.dispose();
    this.#planLists.dispose();
    await this.#peerService?.leave();
    await this.#peerServer[Symbol.asyncDispose]();
    await this.#peers[Symbol.asyncDispose]();
    await this.#forwarder[Symbol.asyncDispose]();
    await this.#operationsServer[Symbol.asyncDispose]();
    await this.#httpTargets[Symbol.asyncDispose]();
    await this.#httpPlatform[Symbol.asyncDispose]();
    this.#log.info("stopped");
    await this.#log[Symbol.asyncDispose]();
  }

  async #start(): Promise<void> {
    const { daemon } = this.#settings;
    const callers = await this.#callerServer.listen(daemon.callers);
    const operations = await this.#operationsServer.listen(daemon.operations);
    const port = await this.#peerServer.listen(daemon.peers);
    const peers = `${splitAddress(daemon.peers).host}:${port}`;
    this.#peerService = this.#createPeerService({
      daemon: this.#id,
      instance: daemon.name,
      zone: daemon.zone,
      peerAddress: daemon.peers_advertised ?? peers,
      operationsAddress: operations,
    });
    const { lists } = this.#settings;
    this.#planLists.start(
      {
        isWatcher: () => this.#liveDaemons.isChosen(WATCH_DUTY, lists.watchers),
      },
      {
        watch: lists.watch,
        poll: lists.poll,
        longestRetry: lists.longest_retry,
      },
    );
    this.#targetDirectory.start();
    this.#domains.start();
    this.#health.start();
    this.#quarantine.start();
    this.#peerService.start();
    this.#sweeper.start();
    this.#digests.start();
    this.#memoryMonitor.start();
    this.#log.info("listening", { callers, peers, operations });
  }

  #createPlanLists(): PlanListService {
    return new PlanListService({
      platform: this.#platform,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      metrics: this.#metrics,
      alarms: this.#alarms,
    });
  }

  #createTargetDirectory(): TargetDirectory {
    const { daemon, groups, polling } = this.#settings;
    return new TargetDirectory(
      {
        platform: this.#platform,
        targets: this.#targets,
        clock: this.#clock,
        random: this.#random,
        metrics: this.#metrics,
        live: this.#liveDaemons,
      },
      {
        zone: daemon.zone,
        timing: {
          pollEvery: polling.targets,
          pollTimeout: polling.timeout,
          instancesEvery: polling.instances,
          pollOthersAfter: groups.freshness / 2,
          pauseBound: polling.targets + groups.freshness * POLL_PAUSE_SHARE,
        },
      },
    );
  }

  #createDomains(): ZoneDomains {
    return new ZoneDomains(
      {
        platform: this.#platform,
        targets: this.#targets,
        clock: this.#clock,
        log: this.#log,
        directory: this.#targetDirectory,
        live: this.#liveDaemons,
      },
      domainOptions(this.#settings, this.#id),
    );
  }

  #createSweeper(): RunRecordSweeper {
    return new RunRecordSweeper({
      platform: this.#platform,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      isChosen: () => this.#liveDaemons.isChosen(SWEEP_DUTY, 1),
    });
  }

  #createHealth(): GroupHealth {
    return new GroupHealth({
      groups: this.#groupDirectory,
      directory: this.#targetDirectory,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      alarms: this.#alarms,
    });
  }

  #createPipeline(): RequestPipeline {
    return new RequestPipeline(this.#settings, {
      platform: this.#platform,
      targets: this.#targets,
      groups: this.#groupDirectory,
      forwarder: this.#forwarder,
      plans: this.#planLists.plans,
      quarantine: this.#createRequestQuarantine(),
      zones: () => this.#peerService?.zones ?? [],
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      metrics: this.#metrics,
      answers: this.#answers,
      recorder: this.#recorder,
    });
  }

  #createRequestQuarantine(): RequestQuarantine {
    const parts = new PromptParts(sha256Hex);
    return new RequestQuarantine(this.#quarantine, parts, this.#clock);
  }

  #createQuarantine(): Quarantine {
    const starts = new EngineStarts(this.#targets, this.#targetDirectory);
    return new Quarantine({
      engines: starts,
      startOf: (engine) => starts.startOf(engine),
      store: this.#platform,
      role: () => QuarantineRole.Independent,
      firstVersion: () => 0,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      // Requests are checked before each attempt.
      onListChanged: () => undefined,
      onNews: () => undefined,
      onCrash: () => undefined,
      requests: new CrashingRequests(),
      tellOthers: () => Promise.resolve(),
    });
  }

  #createCallerServer(): HttpCallerServer {
    const { max_descriptors } = this.#settings.limits;
    return new HttpCallerServer({
      answers: this.#answers,
      requests: this.#requests,
      limits: this.#limits,
      maximum: divideDescriptors(max_descriptors),
      dispatcher: this.#pipeline.dispatcher,
      plans: this.#planLists.plans,
      burn: this.#burn,
      areListsReady: () => this.#planLists.isReady,
      services: serviceDefinitions(this.#settings),
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      metrics: this.#metrics,
      certificate: this.#settings.tls.callers ?? null,
    });
  }

  #createPeerService(self: IDaemonEntry): PeerService {
    return new PeerService(
      {
        peers: this.#peers,
        platform: this.#platform,
        clock: this.#clock,
        random: this.#random,
        hash: this.#hash,
        log: this.#log,
        metrics: this.#metrics,
        lists: this.#planLists,
        live: this.#liveDaemons,
        seeds: this.#settings.daemon.seeds,
        loads: () => zoneLoads(this.#groupDirectory, this.#targetDirectory),
      },
      self,
    );
  }

  #createDigests(): DigestService {
    return new DigestService(
      {
        peers: this.#peers,
        clock: this.#clock,
        hash: this.#hash,
        metrics: this.#metrics,
        directory: this.#targetDirectory,
        members: () => this.#peerService?.liveMembers ?? [],
      },
      { self: this.#id, period: this.#settings.polling.targets },
    );
  }

  #createPeerServer(): GrpcPeerServer {
    const requirePeerService = () => {
      // The server listens before the service exists, since the service needs
      // the port. A peer that calls before then gets an error and retries.
      if (this.#peerService === null) {
        throw new Error("starting");
      }
      return this.#peerService;
    };
    const handler: IPeerRequestHandler = {
      handleProbe: (probe) => requirePeerService().handleProbe(probe),
      relayProbe: (probe, target) =>
        requirePeerService().relayProbe(probe, target),
      view: () => requirePeerService().view,
      digests: (held) => this.#digests.answerPull(held),
      zones: (request) => requirePeerService().answerZones(request),
      listText: (list) => this.#planLists.plans.text(list),
    };
    const { forwardService } = this.#pipeline;
    return new GrpcPeerServer(handler, {
      credentials: this.#credentials,
      onForwardedRequest: (request, signal) =>
        forwardService.serve(request, signal),
    });
  }
}
