/** Runs the membership state machine's timers and its calls to peers. */
import type { Result } from "ts-results-es";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { LiveDaemons } from "../membership/live_daemons.ts";
import { SwimMembership } from "../membership/swim_membership.ts";
import type { IPeers } from "../membership/peers.ts";
import {
  MEMBERSHIP_TIMING,
  PROBE_TIMEOUT,
  RELAYED_PROBE_TIMEOUT,
} from "../membership/timing.ts";
import { MembershipActionKind } from "../membership/types.ts";
import type {
  IMember,
  IMemberMessage,
  IMemberUpdate,
  IProbe,
  MembershipAction,
} from "../membership/types.ts";
import type { ICallFailure } from "../types.ts";
import type {
  IClock,
  IHash,
  IListVersion,
  ILog,
  IMetrics,
  IRandom,
} from "./services.ts";

/** Receives a peer's plan list versions and the peer's address. */
export type VersionsListener = (
  versions: readonly IListVersion[],
  address: string,
) => void;

/** Dependencies of {@link MembershipService}. */
export interface IMembershipPorts {
  readonly peers: IPeers;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly hash: IHash;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly live: LiveDaemons;
  /** Plan list versions in force here, piggybacked on probes. */
  readonly versions: () => readonly IListVersion[];
}

/** Keeps {@link LiveDaemons} up to date. */
export class MembershipService implements IDisposable {
  readonly #ports: IMembershipPorts;
  readonly #self: IMember;
  readonly #membership: SwimMembership;
  readonly #onVersions: VersionsListener;
  readonly #owned = new DisposableStore();

  constructor(
    ports: IMembershipPorts,
    self: IMember,
    onVersions: VersionsListener,
  ) {
    this.#ports = ports;
    this.#self = self;
    this.#onVersions = onVersions;
    this.#membership = new SwimMembership(self, MEMBERSHIP_TIMING, ports);
  }

  /** Other live daemons of the zone. */
  get liveMembers(): readonly IMember[] {
    return this.#membership.live;
  }

  /** Every known member including this daemon, for peers to compare. */
  get view(): readonly IMemberUpdate[] {
    return this.#membership.view;
  }

  start(): void {
    const { clock } = this.#ports;
    const tick = () => void this.#perform(this.#membership.tick(clock.now()));
    this.#owned.add(clock.every(MEMBERSHIP_TIMING.period, tick));
  }

  /** Adds daemons named by the platform or by peers; they are probed. */
  addContacts(members: readonly IMember[]): void {
    this.#membership.addContacts(members);
  }

  /** Probes some members at once, to spread urgent updates. */
  spread(count: number): void {
    void this.#perform(this.#membership.spreadUpdates(count));
  }

  /** Answers a peer's probe. */
  handleProbe(probe: IProbe): IProbe {
    const { clock, versions } = this.#ports;
    const { member } = probe.message.from;
    void this.#perform(
      this.#membership.handleProbe(probe.message, clock.now()),
    );
    this.#onVersions(probe.versions, member.peerAddress);
    const message = this.#membership.composeAnswer(member.daemon);
    return { message, versions: versions() };
  }

  /** Relays a peer's probe to another member. */
  relayProbe(
    probe: IProbe,
    target: string,
  ): Promise<Result<IProbe, ICallFailure>> {
    return this.#ports.peers.probe(target, probe, RELAYED_PROBE_TIMEOUT);
  }

  /** Announces the departure to some members. */
  async leave(): Promise<void> {
    this.#owned.dispose();
    await this.#perform(this.#membership.leave());
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #perform(actions: readonly MembershipAction[]): Promise<void> {
    await Promise.all(actions.map((action) => this.#performOne(action)));
  }

  async #performOne(action: MembershipAction): Promise<void> {
    switch (action.kind) {
      case MembershipActionKind.Probe: {
        const { probe, target, message } = action;
        const sent = this.#probe(target.peerAddress, message);
        return this.#handleProbeResult(probe, target.peerAddress, sent);
      }
      case MembershipActionKind.ProbeThrough: {
        const { probe, target, relay, message } = action;
        const sent = this.#probeThrough(relay.peerAddress, target, message);
        return this.#handleProbeResult(probe, target.peerAddress, sent);
      }
      case MembershipActionKind.Synchronize:
        return this.#synchronize(action.target);
      case MembershipActionKind.Changed:
        return this.#handleChange();
    }
  }

  #probe(
    address: string,
    message: IMemberMessage,
  ): Promise<Result<IProbe, ICallFailure>> {
    const { metrics, peers, versions } = this.#ports;
    metrics.count("peer_calls", { call: "probe" });
    const probe = { message, versions: versions() };
    return peers.probe(address, probe, PROBE_TIMEOUT);
  }

  #probeThrough(
    relay: string,
    target: IMember,
    message: IMemberMessage,
  ): Promise<Result<IProbe, ICallFailure>> {
    const { metrics, peers, versions } = this.#ports;
    metrics.count("peer_calls", { call: "probe_through" });
    return peers.probeThrough(
      relay,
      { message, versions: versions() },
      { target: target.peerAddress, timeout: PROBE_TIMEOUT },
    );
  }

  async #handleProbeResult(
    probe: number,
    address: string,
    sent: Promise<Result<IProbe, ICallFailure>>,
  ): Promise<void> {
    const answer = await sent;
    const now = this.#ports.clock.now();
    if (answer.isErr()) {
      return this.#perform(this.#membership.handleProbeFailure(probe, now));
    }
    const { message, versions } = answer.value;
    this.#onVersions(versions, address);
    return this.#perform(this.#membership.handleAnswer(probe, message, now));
  }

  async #synchronize(target: IMember): Promise<void> {
    const { clock, metrics, peers } = this.#ports;
    metrics.count("peer_calls", { call: "synchronize" });
    const view = await peers.synchronize(target.peerAddress);
    if (view.isOk()) {
      return this.#perform(this.#membership.mergeView(view.value, clock.now()));
    }
  }

  #handleChange(): void {
    const { live, log, metrics } = this.#ports;
    live.update(this.#membership.live.map(({ daemon }) => daemon));
    metrics.gauge("live_daemons", live.inZone.length, {
      zone: this.#self.zone,
    });
    log.info("members_changed", { live: live.inZone.length });
  }
}
