/** Wires one entry process and owns its start and stop. */
import type { ServerResponse } from "node:http";
import { IngressServer } from "../../platform/ingress_server.ts";
import { ReadinessServer } from "../../platform/readiness_server.ts";
import { decodeConfiguration } from "../../platform/configuration_decoder.ts";
import { CONFIGURATION_NAME, ObjectKind } from "../../platform/names.ts";
import { OBJECT_KINDS } from "../../platform/object_kinds.ts";
import { ObjectStoreClient } from "../../platform/object_store_client.ts";
import { TargetClient } from "../../platform/target_client.ts";
import { decodeTarget } from "../../platform/target_decoder.ts";
import { SystemEventLoop } from "../adapters/event_loop/system_event_loop.ts";
import { SystemClock } from "../adapters/clock/system_clock.ts";
import { HttpClients } from "../adapters/http/http_clients.ts";
import { HolderLink } from "../adapters/exchange/holder_link.ts";
import { ForwardingHandlers } from "../adapters/forwarding/forwarding_handlers.ts";
import { ForwardPath } from "../adapters/forwarding/forwarding_protocol.ts";
import { HttpPeerLink } from "../adapters/forwarding/http_peer_link.ts";
import { InnerServer } from "../adapters/exchange/inner_server.ts";
import { MemoryMonitor } from "../adapters/memory_monitor.ts";
import { BoundedLog } from "../adapters/log/bounded_log.ts";
import { PrometheusMetrics } from "../adapters/metrics/prometheus_metrics.ts";
import { SystemRandom } from "../adapters/random/system_random.ts";
import { ActiveConfiguration } from "../common/calls/active_configuration.ts";
import { BarrierSender } from "../common/calls/barrier_sender.ts";
import { InputBarrier } from "../common/calls/input_barrier.ts";
import { ObservingSender } from "../common/calls/observing_sender.ts";
import { CHECK_PERIOD, ModelCalls } from "../common/calls/model_calls.ts";
import { ObjectFollower } from "../common/calls/object_follower.ts";
import type { IFollowerParts } from "../common/calls/object_follower.ts";
import { PlainCalls } from "../common/calls/plain_calls.ts";
import { PlainTargetSelector } from "../common/calls/plain_target_selector.ts";
import { ResponseTimes } from "../common/calls/response_times.ts";
import { ServiceRetryAllowances } from "../common/calls/service_retry_allowances.ts";
import { ServingGroups } from "../common/calls/serving_groups.ts";
import { StoreAvailability } from "../common/calls/store_availability.ts";
import { TargetRateLimits } from "../common/calls/target_rate_limits.ts";
import { TargetRegistry } from "../common/calls/target_registry.ts";
import { CallRefusalReason, CallRefusalKind } from "../common/calls/types.ts";
import type { ICall, ICallReply } from "../common/calls/types.ts";
import { DisposableStore } from "../common/disposable.ts";
import { EventLoopLag } from "../common/event_loop_lag.ts";
import { BarrierPeerLink } from "../common/forwarding/barrier_peer_link.ts";
import { DirectEngineClient } from "../common/forwarding/direct_engine_client.ts";
import { DirectSender } from "../common/forwarding/direct_sender.ts";
import { ForwardedRequests } from "../common/forwarding/forwarded_requests.ts";
import { ForwardingEngineClient } from "../common/forwarding/forwarding_engine_client.ts";
import { ForwardingPeers } from "../common/forwarding/forwarding_peers.ts";
import { ForwardingSender } from "../common/forwarding/forwarding_sender.ts";
import { TargetReach } from "../common/forwarding/target_reach.ts";
import type { IForwardingMember } from "../common/forwarding/types.ts";
import { TargetCooldowns } from "../common/target_cooldowns.ts";
import { AnswerBoundRecorder } from "../common/calls/answer_bounds.ts";
import { AnswerBreakRecorder } from "../common/calls/answer_breaks.ts";
import { AnswerMemory } from "../common/calls/answer_memory.ts";
import { divideDescriptors } from "../common/calls/descriptor_limits.ts";
import { LimitRecorder, ProcessLimit } from "../common/calls/limit_recorder.ts";
import { RequestMemory } from "../common/calls/request_memory.ts";
import { CrashGossip } from "../common/quarantine/crash_gossip.ts";
import { CrashingRequests } from "../common/quarantine/crashing_requests.ts";
import { TargetStartReader } from "../common/quarantine/target_start_reader.ts";
import { Quarantine } from "../common/quarantine/quarantine.ts";
import { StoreRelay } from "../common/relay/store_relay.ts";
import type { InstanceId, ServiceName } from "../common/types.ts";
import { FleetCoordinator } from "./fleet_coordinator.ts";
import type { EntrySettings } from "./settings.ts";

const MILLISECONDS_A_SECOND = 1_000;

/**
 * Pause after an answered watch of the targets, milliseconds, as each answered
 * watch has a cost. A leaving target may receive calls for two seconds; the
 * lease holder repairs groups by the list and needs changes sooner.
 */
const TARGETS_PAUSE = 900;
const HOLDER_TARGETS_PAUSE = 200;

/**
 * How long a watch waits for changes, milliseconds. The holder's are shorter,
 * since other processes rely on its updates and need them to be recent. A process
 * that reads in its place notes from the answers that the store serves.
 */
const HOLDER_WATCH_TIME = 400;
const WATCH_TIME = 600;

/** Heartbeats without which the platform removes an entry. */
const HEARTBEATS_UNTIL_EXPIRY = 3;

/** Milliseconds; entries that expired in an outage are back 2 s after it. */
const REAPPEARANCE_TIME = 2_300;

/** How often expired targets and unused state are removed, milliseconds. */
const CLEANUP_PERIOD = 250;

/**
 * How long a stopping process still accepts calls, milliseconds: the balancer
 * probes once a second and removes a process after two failures.
 */
const BALANCER_REMOVAL_TIME = 3_000;

/**
 * When callers usually reach other processes only, milliseconds after the
 * signal: two failed probes and the time until their answers.
 */
const USUAL_REMOVAL_TIME = 2_500;

/** Calls must end this long before the grace time does, milliseconds. */
const GRACE_MARGIN = 700;

/** For how long the last answers may be written, milliseconds. */
const FLUSH_TIME = 200;

/** Delays of the event loop that are logged, milliseconds. */
const LOGGED_DELAY = 250;

/**
 * Memory of answers of the store and of other processes, and to reports and
 * orders, as a share of that of answers to calls.
 */
const SHARE_OF_CONTROL_ANSWERS = 0.3;

/** Retry-after while the targets are not known yet, milliseconds. */
const STARTING_RETRY_AFTER = 500;

/** A running entry process. */
export class EntryProcess {
  readonly #settings: EntrySettings;
  readonly #log: BoundedLog;
  readonly #clock = new SystemClock();
  readonly #random = new SystemRandom();
  readonly #metrics = new PrometheusMetrics();
  readonly #owned = new DisposableStore();
  readonly #store: ObjectStoreClient;
  readonly #eventLoop = new SystemEventLoop();
  readonly #barrier = new InputBarrier({
    eventLoop: this.#eventLoop,
    clock: this.#clock,
  });
  readonly #limits: LimitRecorder;
  readonly #memory: AnswerMemory;
  readonly #bounds: AnswerBoundRecorder;
  readonly #clients: HttpClients;
  readonly #requests: RequestMemory;
  readonly #memoryMonitor: MemoryMonitor;
  readonly #client: TargetClient;
  readonly #configuration: ActiveConfiguration;
  readonly #targets: TargetRegistry;
  readonly #groups = new ServingGroups();
  readonly #plainTargets = new PlainTargetSelector();
  readonly #rateLimits: TargetRateLimits;
  readonly #cooldowns: TargetCooldowns;
  readonly #reach: TargetReach;
  readonly #engines: DirectEngineClient;
  readonly #followers: readonly ObjectFollower[];
  readonly #targetList: ObjectFollower;
  readonly #relay: StoreRelay;
  readonly #coordinator: FleetCoordinator;
  readonly #models: ModelCalls;
  readonly #plain: PlainCalls;
  readonly #ingress: IngressServer;
  readonly #readiness = new ReadinessServer(() => this.isReady);
  readonly #inner: InnerServer;
  readonly #peerLink: HttpPeerLink;
  readonly #peers: ForwardingPeers;
  readonly #paths: ForwardingSender;
  readonly #forwarded: ForwardedRequests;
  readonly #quarantine: Quarantine;
  readonly #crashingRequests = new CrashingRequests();
  readonly #crashGossip: CrashGossip;
  readonly #lag = new EventLoopLag(CHECK_PERIOD);
  /** Forwarded calls whose responses are not written yet. */
  #openForwards = 0;
  #hasCalls = false;
  #isStopping = false;
  /** Resolves once the process has stopped; null before it begins to. */
  #stopped: Promise<void> | null = null;

  private constructor(settings: EntrySettings) {
    this.#settings = settings;
    const { name } = settings.instance;
    this.#log = new BoundedLog(this.#clock, { process: name });
    const log = this.#log;
    this.#limits = new LimitRecorder({
      ...{ clock: this.#clock, log, metrics: this.#metrics },
    });
    const { memory_mb, max_descriptors } = settings.limits;
    this.#memory = new AnswerMemory(memory_mb, () =>
      this.#limits.record(ProcessLimit.UnreadAnswers),
    );
    this.#requests = new RequestMemory(memory_mb, () =>
      this.#limits.record(ProcessLimit.RequestMemory),
    );
    this.#memoryMonitor = new MemoryMonitor({
      clock: this.#clock,
      log,
      memory: memory_mb,
      kept: () => ({
        answers: this.#memory.used,
        answerPieces: this.#memory.pieces,
        requests: this.#requests.used,
      }),
    });
    const maximum = divideDescriptors(max_descriptors);
    const services = { clock: this.#clock, log, metrics: this.#metrics };
    this.#bounds = new AnswerBoundRecorder(services);
    this.#clients = new HttpClients({
      memory: this.#memory,
      controlMemory: new AnswerMemory(memory_mb * SHARE_OF_CONTROL_ANSWERS),
      recorder: this.#bounds,
      breaks: new AnswerBreakRecorder(services),
    });
    this.#client = new TargetClient(this.#barrier, this.#clients);
    this.#peerLink = new HttpPeerLink(this.#barrier, this.#clients);
    this.#store = new ObjectStoreClient(
      settings.store.address,
      this.#clients,
      OBJECT_KINDS,
    );
    this.#targets = new TargetRegistry({
      decode: decodeTarget,
      expiryTime: HEARTBEATS_UNTIL_EXPIRY * settings.heartbeat_ms,
      reappearTime: REAPPEARANCE_TIME,
      log,
    });
    this.#configuration = new ActiveConfiguration(decodeConfiguration, log);
    this.#rateLimits = new TargetRateLimits({
      clock: this.#clock,
      log,
      processes: () => this.#coordinator.processCount,
    });
    this.#cooldowns = new TargetCooldowns({ clock: this.#clock, log });
    const { zone } = settings.instance;
    const clock = this.#clock;
    const random = this.#random;
    this.#reach = new TargetReach({
      prober: this.#client,
      readyTargets: (service) => this.#targets.ready(service),
      ...{ clock, random, log, zone },
      onLost: (service) => this.#handlePathLost(service),
    });
    const link = this.#peerLink;
    this.#peers = new ForwardingPeers({ link, clock, random, log, zone });
    this.#engines = new DirectEngineClient({
      engines: this.#client,
      reach: this.#reach,
      serviceOf: (engine) => this.#serviceOf(engine),
      clock,
    });
    const barrier = this.#barrier;
    const sender = new BarrierSender({ sender: this.#client, barrier, clock });
    const direct = new DirectSender(sender, this.#reach);
    this.#paths = new ForwardingSender({
      direct,
      reach: this.#reach,
      peers: this.#peers,
      link: new BarrierPeerLink({ link, barrier, clock }),
      ...{ clock, log },
    });
    const configuration = this.#followConfiguration();
    const targetList = this.#followTargets();
    this.#targetList = targetList;
    this.#followers = [configuration, targetList];
    this.#relay = new StoreRelay({
      configuration,
      targetList,
      targets: this.#targets,
      clock: this.#clock,
      runId: this.#random.identifier(),
      onTargetsUpdated: () => this.#coordinator.handleTargetsChanged(),
    });
    this.#crashGossip = new CrashGossip({
      link,
      peers: () => this.#peers.addresses,
      requests: this.#crashingRequests,
      ...{ clock, log },
    });
    this.#quarantine = this.#createQuarantine();
    const retries = this.#createRetryAllowances();
    const limits = this.#rateLimits;
    const cooldowns = this.#cooldowns;
    const observed = {
      limits,
      cooldowns,
      targets: this.#targets,
      onTargetLeaving: () => this.#coordinator.handleTargetsChanged(),
      clock: this.#clock,
      log,
      metrics: this.#metrics,
    };
    const responseTimes = new ResponseTimes();
    this.#forwarded = new ForwardedRequests({
      sender: new ObservingSender({ ...observed, sender: direct }),
      engines: this.#engines,
      findTarget: (id) => this.#targets.all.get(id) ?? null,
      reach: this.#reach,
      ...{ clock, log },
      lag: () => this.#currentLag,
      maximumCalls: maximum.forwardedCalls,
      responseTimes,
    });
    const memory = this.#memory;
    const shared = {
      memory,
      bounds: this.#bounds,
      sender: new ObservingSender({ ...observed, sender: this.#paths }),
      paths: this.#paths,
      quarantine: this.#quarantine,
      limits,
      cooldowns,
      retries,
      clock: this.#clock,
      random: this.#random,
      log,
      metrics: this.#metrics,
      zone: settings.instance.zone,
      lag: () => this.#currentLag,
    };
    this.#models = new ModelCalls({
      ...shared,
      groups: this.#groups,
      service: (name) => this.#configuration.service(name),
      processes: () => this.#coordinator.processCount,
      onGroupsSuspected: () => this.#coordinator.handleGroupsSuspected(),
    });
    const plainParts = {
      ...shared,
      targets: this.#plainTargets,
      readyTargets: (service: ServiceName) => this.#targets.ready(service),
    };
    this.#plain = new PlainCalls(plainParts, responseTimes);
    this.#coordinator = this.#createCoordinator();
    this.#ingress = new IngressServer({
      handler: { handle: (call, reply) => this.#submit(call, reply) },
      routes: () => this.#configuration.routes,
      clock: this.#clock,
      eventLoop: this.#eventLoop,
      random: this.#random,
      memory,
      requests: this.#requests,
      limits: this.#limits,
      log,
      maximum,
    });
    const handlers = new ForwardingHandlers({
      requests: this.#forwarded,
      crashes: this.#crashGossip,
      barrier,
      memory,
      received: this.#requests,
      log,
    });
    this.#inner = new InnerServer({
      exchange: (report) => this.#coordinator.answerReport(report),
      metrics: () => this.#metrics.expose(),
      forward: (request, response) => {
        const isTaken = handlers.handle(request, response);
        if (isTaken && request.url === ForwardPath.Send) {
          this.#countForward(response);
        }
        return isTaken;
      },
    });
  }

  static async start(settings: EntrySettings): Promise<EntryProcess> {
    const entry = new EntryProcess(settings);
    await entry.#start();
    return entry;
  }

  /** Whether calls are accepted, and the routes and targets are known. */
  get isReady(): boolean {
    const hasRoutes = this.#configuration.routes !== null;
    return !this.#isStopping && this.#isLoaded && hasRoutes;
  }

  /** Whether what calls depend on is known. */
  get #isLoaded(): boolean {
    const isFollowing = this.#followers.every(({ isLoaded }) => isLoaded);
    return isFollowing && this.#quarantine.isLoaded;
  }

  /** Logs that changed settings take effect at the next start. */
  handleReload(): void {
    this.#log.info("reload", { in_force: "at the next start" });
  }

  /** Releases the lease, finishes calls in flight, and stops. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    this.#isStopping = true;
    const stoppedAt = this.#clock.now();
    this.#log.info("stopping", { in_flight: this.#ingress.inFlight });
    this.#ingress.startDraining();
    const grace = this.#settings.bounds.grace_s * MILLISECONDS_A_SECOND;
    const end = stoppedAt + grace - GRACE_MARGIN;
    const removedAt = stoppedAt + USUAL_REMOVAL_TIME;
    const times = { startedAt: stoppedAt, removedAt, end };
    this.#forwarded.stopAt(stoppedAt + BALANCER_REMOVAL_TIME, times);
    this.#models.stopAt(times);
    this.#plain.stopAt(times);
    await this.#coordinator.releaseLease();
    await this.#waitUntil(() => {
      const now = this.#clock.now();
      const isRemoved = now - stoppedAt >= BALANCER_REMOVAL_TIME;
      if (isRemoved) {
        this.#ingress.refuseNewCalls();
      }
      return now >= end || (isRemoved && this.#inFlight === 0);
    });
    this.#models.endUnfinished();
    this.#plain.endUnfinished();
    const endedAt = this.#clock.now();
    await this.#waitUntil(
      () =>
        this.#ingress.inFlight === 0 ||
        this.#clock.now() - endedAt >= FLUSH_TIME,
    );
    this.#log.info("stopped", { in_flight: this.#inFlight });
    this.#ingress.close();
    this.#owned.dispose();
    await this.#log[Symbol.asyncDispose]();
  }

  /** Calls of callers, and those that other processes have forwarded. */
  get #inFlight(): number {
    return this.#ingress.inFlight + this.#openForwards;
  }

  /** Counts a forwarded call until the other process has its response. */
  #countForward(response: ServerResponse): void {
    this.#openForwards += 1;
    response.once("close", () => {
      this.#openForwards -= 1;
    });
  }

  /** What was seen of a service proves nothing once its path is lost. */
  #handlePathLost(service: string): void {
    this.#models.handlePathLost(service);
    this.#plain.handlePathLost();
  }

  async #start(): Promise<void> {
    const { listen, instance } = this.#settings;
    const inner = `${instance.address}:${listen.inner_port}`;
    await Promise.all([
      this.#ingress.listen(listen.callers),
      this.#readiness.listen(listen.readiness),
      this.#inner.listen(inner),
    ]);
    for (const follower of this.#followers) {
      follower.start();
      this.#owned.add(follower);
    }
    this.#quarantine.start();
    this.#owned.add(this.#quarantine);
    this.#crashGossip.start();
    this.#owned.add(this.#crashGossip);
    this.#coordinator.start();
    this.#owned.add(this.#coordinator);
    this.#owned.add(this.#reach);
    this.#owned.add(this.#peers);
    this.#memoryMonitor.start();
    this.#owned.add(this.#memoryMonitor);
    this.#owned.add(this.#clock.every(CHECK_PERIOD, () => this.#check()));
    this.#owned.add(this.#clock.every(CLEANUP_PERIOD, () => this.#cleanUp()));
    this.#log.info("started", { callers: listen.callers, inner });
  }

  #check(): void {
    const delay = this.#lag.tick(this.#clock.now());
    if (delay > LOGGED_DELAY) {
      this.#log.warn("event_loop_delayed", { delay_ms: Math.round(delay) });
    }
    this.#models.check();
  }

  get #currentLag(): number {
    return this.#lag.at(this.#clock.now());
  }

  #submit(call: ICall, reply: ICallReply): () => void {
    this.#hasCalls = true;
    if (!this.#isLoaded) {
      reply.refuse({
        kind: CallRefusalKind.NotRun,
        reason: CallRefusalReason.Starting,
        retryAfter: STARTING_RETRY_AFTER,
      });
      return () => undefined;
    }
    return this.#isEngineService(call.service)
      ? this.#models.submit(call, reply)
      : this.#plain.submit(call, reply);
  }

  #followConfiguration(): ObjectFollower {
    return new ObjectFollower(this.#followerParts, {
      kind: ObjectKind.configuration,
      pause: () => 0,
      watchTime: () => this.#watchTime,
      availability: new StoreAvailability(this.#settings.heartbeat_ms),
      onChanged: ({ objects }) => {
        for (const { name, value } of objects) {
          if (
            name === CONFIGURATION_NAME &&
            this.#configuration.update(value)
          ) {
            this.#handleConfigurationChanged();
          }
        }
      },
    });
  }

  #followTargets(): ObjectFollower {
    return new ObjectFollower(this.#followerParts, {
      kind: ObjectKind.targets,
      pause: () =>
        this.#coordinator.isHolder ? HOLDER_TARGETS_PAUSE : TARGETS_PAUSE,
      watchTime: () => this.#watchTime,
      availability: new StoreAvailability(this.#settings.heartbeat_ms),
      objectCount: () => this.#targets.all.size,
      onChanged: (change) => {
        this.#targets.applyStoreChanges(change, this.#clock.now());
        this.#relay.recordTargetChanges(change);
        this.#coordinator.handleTargetsChanged();
      },
    });
  }

  get #watchTime(): number {
    return this.#coordinator.isHolder ? HOLDER_WATCH_TIME : WATCH_TIME;
  }

  get #followerParts(): IFollowerParts {
    return {
      store: this.#store,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      metrics: this.#metrics,
    };
  }

  #handleConfigurationChanged(): void {
    const table = this.#configuration.routes;
    if (table !== null) {
      this.#ingress.setLimits(table.configuration.limits);
    }
    this.#coordinator.handleTargetsChanged();
  }

  #createRetryAllowances(): ServiceRetryAllowances {
    const { bounds, first_start } = this.#settings;
    return new ServiceRetryAllowances(
      {
        ratio: bounds.repeat_ratio,
        window: bounds.repeat_window_s * MILLISECONDS_A_SECOND,
        slack: bounds.repeat_slack,
      },
      {
        processes: () => this.#coordinator.processCount,
        replacesAnotherSince: first_start ? null : this.#clock.now(),
      },
    );
  }

  #createCoordinator(): FleetCoordinator {
    const { bounds, instance, listen, first_start } = this.#settings;
    const address = `${instance.address}:${listen.inner_port}`;
    return new FleetCoordinator(
      {
        store: this.#store,
        engines: this.#createEngineClient(),
        link: new HolderLink(this.#clients),
        clock: this.#clock,
        random: this.#random,
        log: this.#log,
        metrics: this.#metrics,
        configuration: this.#configuration,
        targets: this.#targets,
        groups: this.#groups,
        modelDemand: () => this.#models.demand,
        hasCalls: () => this.#hasCalls,
        suspects: () => this.#models.suspectedGroups,
        relay: this.#relay,
        rateLimits: this.#rateLimits,
        forwarding: this.#createForwardingMember(),
        quarantine: this.#quarantine,
        onGroupsChanged: (lost) => this.#models.handleGroupsChanged(lost),
      },
      {
        address,
        zone: instance.zone,
        isFirstStart: first_start,
        cores: coresOf(this.#settings),
        bounds: {
          stallTime: bounds.stall_ms,
          loads: {
            window: bounds.load_window_s * MILLISECONDS_A_SECOND,
            factor: bounds.load_factor,
          },
        },
      },
    );
  }

  #createQuarantine(): Quarantine {
    return new Quarantine({
      engines: this.#createStartReader(),
      startOf: (target) => this.#targets.startOf(target),
      store: this.#store,
      role: () => this.#coordinator.quarantineRole,
      firstVersion: () => this.#coordinator.firstVersion,
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
      onListChanged: () => this.#models.handleQuarantineChanged(),
      onNews: () => this.#coordinator.announce(),
      onCrash: () => this.#coordinator.reportNow(),
      requests: this.#crashingRequests,
      tellOthers: (crashes) => this.#crashGossip.tell(crashes),
    });
  }

  #createStartReader(): TargetStartReader {
    return new TargetStartReader({
      engines: this.#createEngineClient(),
      locator: this.#client,
      isEngine: (target) => {
        const service = this.#serviceOf(target);
        return service === null || this.#isEngineService(service);
      },
      hasPath: (target) => {
        const service = this.#serviceOf(target);
        return service === null || !this.#reach.isOutOfReach(service);
      },
    });
  }

  #isEngineService(service: ServiceName): boolean {
    return Boolean(this.#configuration.service(service)?.engine);
  }

  #createEngineClient(): ForwardingEngineClient {
    return new ForwardingEngineClient({
      direct: this.#engines,
      reach: this.#reach,
      peers: this.#peers,
      link: this.#peerLink,
      serviceOf: (engine) => this.#serviceOf(engine),
      clock: this.#clock,
    });
  }

  #serviceOf(target: InstanceId): ServiceName | null {
    return this.#targets.all.get(target)?.service ?? null;
  }

  #createForwardingMember(): IForwardingMember {
    const { zone } = this.#settings.instance;
    const reach = this.#reach;
    const peers = this.#peers;
    return {
      get report() {
        return { zone, outOfReach: reach.outOfReach };
      },
      updatePeers: (known) => peers.update(known),
    };
  }

  #cleanUp(): void {
    const { availability } = this.#targetList;
    if (this.#targets.update(this.#clock.now(), availability)) {
      this.#coordinator.handleTargetsChanged();
    }
    this.#plainTargets.keepOnly(this.#targets.all);
    this.#rateLimits.cleanUp(this.#targets.all);
  }

  #waitUntil(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.#clock.every(CHECK_PERIOD, () => {
        if (condition()) {
          timer.dispose();
          resolve();
        }
      });
    });
  }
}

/** Processor cores that the process gets; undefined if unknown. */
function coresOf({ processor }: EntrySettings): number | undefined {
  return processor && processor.share * processor.speed;
}
