/** Exchanges membership, plan lists and zone summaries with other daemons. */
import type { Result } from "ts-results-es";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type {
  IPeers,
  IZonesResponse,
  IZonesRequest,
} from "../membership/peers.ts";
import type { IMember, IMemberUpdate, IProbe } from "../membership/types.ts";
import { ZoneDirectory } from "../membership/zone_directory.ts";
import type {
  IServiceLoad,
  IZoneSummary,
} from "../membership/zone_directory.ts";
import type { IFinding, PlanListName } from "../plans/types.ts";
import type { ICallFailure } from "../types.ts";
import { DaemonList } from "./daemon_list.ts";
import { MembershipService } from "./membership_service.ts";
import type { IMembershipPorts } from "./membership_service.ts";
import type { PlanListService } from "./plan_list_service.ts";
import type { IDaemonEntry, IListVersion, IPlatform } from "./services.ts";

/** How often a peer is asked about the zones, milliseconds; one at a time. */
const ZONES_QUERY_INTERVAL = 1_000;

/** Members and zones notified at once of a newly adopted plan list. */
const ADOPTION_NOTIFICATIONS = 3;

/** Peers asked before a daemon serves; one with the newest lists suffices. */
const MAXIMUM_PEERS_AT_START = 12;

/**
 * Rounds of calls at start before a daemon serves without any peer's answer.
 * Each lasts at most one call timeout, so a lone daemon serves within seconds.
 */
const ROUNDS_AT_START = 3;

/** Dependencies of {@link PeerService}. */
export interface IPeerServicePorts extends Omit<IMembershipPorts, "versions"> {
  readonly platform: IPlatform;
  readonly lists: PlanListService;
  /** Peer addresses from the settings, for when the platform is unavailable. */
  readonly seeds: readonly string[];
  /** Load of this zone's services, for other zones. */
  readonly loads: () => readonly IServiceLoad[];
}

/** Exchanges membership, plan list versions and zone summaries with peers. */
export class PeerService implements IDisposable {
  readonly #ports: IPeerServicePorts;
  readonly #peers: IPeers;
  readonly #lists: PlanListService;
  readonly #self: IMember;
  readonly #members: MembershipService;
  readonly #zones: ZoneDirectory;
  readonly #daemonList: DaemonList;
  /** Peer addresses from the platform's list. */
  #listed: readonly string[] = [];
  readonly #fetching = new Map<PlanListName, Promise<void>>();
  readonly #owned = new DisposableStore();

  constructor(ports: IPeerServicePorts, self: IDaemonEntry) {
    const { daemon, zone, peerAddress } = self;
    this.#ports = ports;
    this.#peers = ports.peers;
    this.#lists = ports.lists;
    this.#self = { daemon, zone, peerAddress };
    this.#members = new MembershipService(
      { ...ports, versions: () => ports.lists.versions },
      this.#self,
      (versions, address) => void this.#fetchNewer(versions, address),
    );
    this.#zones = new ZoneDirectory(this.#self, ports);
    this.#daemonList = new DaemonList(ports, self, {
      isAlone: () => this.#members.liveMembers.length === 0,
      isDelegate: () => this.#zones.isDelegate,
      isLive: (entry) => ports.live.inZone.includes(entry.daemon),
      onEntriesRead: (entries) => this.#addListed(entries),
    });
  }

  /** Other live daemons of this zone. */
  get liveMembers(): readonly IMember[] {
    return this.#members.liveMembers;
  }

  /** Problems with daemon entries on the platform. */
  get findings(): readonly IFinding[] {
    return this.#daemonList.findings;
  }

  /** Summaries of the other zones, each with its age. */
  get zones(): readonly IZoneSummary[] {
    return this.#zones.summaries(this.#ports.clock.now());
  }

  /** Every known member including this daemon, for peers to compare. */
  get view(): readonly IMemberUpdate[] {
    return this.#members.view;
  }

  start(): void {
    this.#members.start();
    void this.#queryPeersAtStart();
    const query = () => void this.#queryNext();
    this.#owned.add(this.#ports.clock.every(ZONES_QUERY_INTERVAL, query));
    this.#owned.add(this.#lists.onAdopted(() => this.#announceAdoption()));
  }

  handleProbe(probe: IProbe): IProbe {
    return this.#members.handleProbe(probe);
  }

  relayProbe(
    probe: IProbe,
    target: string,
  ): Promise<Result<IProbe, ICallFailure>> {
    return this.#members.relayProbe(probe, target);
  }

  /** Answers a request for zone summaries from a daemon of any zone. */
  answerZones(request: IZonesRequest): IZonesResponse {
    void this.#fetchNewer(request.versions, request.from.peerAddress);
    const { versions } = this.#lists;
    return { zones: [this.#ownSummary(), ...this.zones], versions };
  }

  /** Announces the departure to peers, and leaves the platform's list. */
  async leave(): Promise<void> {
    this.dispose();
    await Promise.all([this.#members.leave(), this.#daemonList.leave()]);
  }

  dispose(): void {
    this.#owned.dispose();
    this.#members.dispose();
    this.#daemonList.dispose();
  }

  /**
   * Asks peers for their lists before this daemon serves: the platform's answer
   * alone may be a stale read. The seeds are for a daemon started during a
   * platform outage, which would know no peer to ask.
   */
  async #queryPeersAtStart(): Promise<void> {
    await this.#daemonList.start();
    let isAnswered = false;
    for (let round = 0; round < ROUNDS_AT_START && !isAnswered; round++) {
      isAnswered = await this.#querySomeAtStart();
    }
    this.#lists.markPeersAsked();
  }

  /**
   * True when a peer answered, or when there is none to ask. This daemon's own
   * address, which entries of its earlier runs have, is left out: its own
   * answer would add nothing.
   */
  async #querySomeAtStart(): Promise<boolean> {
    const addresses = new Set([...this.#listed, ...this.#ports.seeds]);
    addresses.delete(this.#self.peerAddress);
    const some = [...addresses].slice(0, MAXIMUM_PEERS_AT_START);
    const answered = await Promise.all(
      some.map((address) => this.#queryPeer(address)),
    );
    return some.length === 0 || answered.includes(true);
  }

  #addListed(entries: readonly IDaemonEntry[]): void {
    const members = entries.map(({ daemon, zone, peerAddress }) => ({
      daemon,
      zone,
      peerAddress,
    }));
    this.#listed = members.map(({ peerAddress }) => peerAddress);
    this.#members.addContacts(members);
    this.#zones.setContacts(members);
  }

  /** Notifies some peers, so that a list is in force everywhere in seconds. */
  #announceAdoption(): void {
    this.#members.spread(ADOPTION_NOTIFICATIONS);
    if (this.#zones.isDelegate) {
      for (let sent = 0; sent < ADOPTION_NOTIFICATIONS; sent++) {
        void this.#queryNext();
      }
    }
  }

  async #queryNext(): Promise<void> {
    const { clock } = this.#ports;
    const peer = this.#zones.nextContact(
      this.#members.liveMembers,
      clock.now(),
    );
    if (peer === null) {
      return this.#querySeed();
    }
    const isAnswered = await this.#queryPeer(peer.peerAddress);
    if (!isAnswered) {
      this.#zones.recordFailure(peer, clock.now());
    }
  }

  /** Asks a random seed when neither platform nor peers named a daemon. */
  async #querySeed(): Promise<void> {
    const { random, seeds } = this.#ports;
    const seed = seeds[Math.floor(random.next() * seeds.length)];
    if (seed !== undefined && this.#members.liveMembers.length === 0) {
      await this.#queryPeer(seed);
    }
  }

  /** True when the peer at the address answered. */
  async #queryPeer(address: string): Promise<boolean> {
    const { clock, metrics } = this.#ports;
    metrics.count("peer_calls", { call: "zones" });
    const askedAt = clock.now();
    const { versions } = this.#lists;
    const request = { from: this.#self, versions };
    const answer = await this.#peers.pullZones(address, request);
    if (answer.isErr()) {
      return false;
    }
    const { zones } = answer.value;
    this.#zones.merge(zones, askedAt);
    this.#members.addContacts(zones.flatMap(({ delegates }) => delegates));
    await this.#fetchNewer(answer.value.versions, address);
    return true;
  }

  #ownSummary(): IZoneSummary {
    const { live, loads } = this.#ports;
    const names = this.#zones.delegates;
    const members = [this.#self, ...this.#members.liveMembers];
    return {
      zone: this.#self.zone,
      daemons: live.inZone.length,
      delegates: members.filter(({ daemon }) => names.includes(daemon)),
      loads: loads(),
      age: 0,
    };
  }

  /** Fetches the lists of which a peer has a newer version. */
  async #fetchNewer(
    versions: readonly IListVersion[],
    address: string,
  ): Promise<void> {
    for (const { list, version } of versions) {
      const isNewer = version > (this.#lists.plans.version(list) ?? 0);
      if (isNewer) {
        await this.#fetchOnce(list, version, address);
      }
    }
  }

  /**
   * Joins a fetch in progress: a caller that awaits the list before this daemon
   * serves must not return early because another message requested it first.
   */
  #fetchOnce(
    list: PlanListName,
    version: number,
    address: string,
  ): Promise<void> {
    const pending = this.#fetching.get(list);
    if (pending !== undefined) {
      return pending;
    }
    const fetching = this.#fetch(list, version, address).finally(() =>
      this.#fetching.delete(list),
    );
    this.#fetching.set(list, fetching);
    return fetching;
  }

  async #fetch(
    list: PlanListName,
    version: number,
    address: string,
  ): Promise<void> {
    this.#ports.metrics.count("peer_calls", { call: "fetch_list" });
    const fetched = await this.#peers.fetchList(address, list);
    if (fetched.isOk() && fetched.value.version >= version) {
      this.#lists.offer(fetched.value);
    }
  }
}
