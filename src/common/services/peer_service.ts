/** This daemon among the others: who is live, plan lists, other zones. */
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

/** How often zones are asked about, milliseconds; one call a time. */
const ASK_ZONES_EVERY = 1_000;

/** Members and zones told at once of a plan list that came into force. */
const TOLD_OF_LIST = 3;

/** Peers asked before a daemon serves; one with the newest lists is enough. */
const MAXIMUM_ASKED_AT_START = 12;

/**
 * Rounds of asking at start before a daemon serves without any peer's answer;
 * each lasts a call's bound at most, so that a lone daemon serves in seconds.
 */
const ROUNDS_AT_START = 3;

/** What the service works with. */
export interface IPeerServicePorts extends Omit<IMembershipPorts, "versions"> {
  readonly platform: IPlatform;
  readonly lists: PlanListService;
  /** Addresses from the settings, for when the platform is away. */
  readonly seeds: readonly string[];
  /** Load of this zone's services, for other zones. */
  readonly loads: () => readonly IServiceLoad[];
}

/** Carries membership, plan list versions and zone summaries. */
export class PeerService implements IDisposable {
  readonly #ports: IPeerServicePorts;
  readonly #peers: IPeers;
  readonly #lists: PlanListService;
  readonly #self: IMember;
  readonly #members: MembershipService;
  readonly #zones: ZoneDirectory;
  readonly #list: DaemonList;
  /** Addresses of peers by the platform's list. */
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
      (versions, address) => void this.#learn(versions, address),
    );
    this.#zones = new ZoneDirectory(this.#self, ports);
    this.#list = new DaemonList(ports, self, {
      isAlone: () => this.#members.liveMembers.length === 0,
      isDelegate: () => this.#zones.isDelegate,
      isLive: (entry) => ports.live.inZone.includes(entry.daemon),
      onEntriesRead: (entries) => this.#learned(entries),
    });
  }

  /** Other live daemons of this zone. */
  get liveMembers(): readonly IMember[] {
    return this.#members.liveMembers;
  }

  /** Entries on the platform that are not those of a daemon. */
  get findings(): readonly IFinding[] {
    return this.#list.findings;
  }

  /** What is known of the other zones, each with its age. */
  get zones(): readonly IZoneSummary[] {
    return this.#zones.summaries(this.#ports.clock.now());
  }

  get view(): readonly IMemberUpdate[] {
    return this.#members.view;
  }

  start(): void {
    this.#members.start();
    void this.#askAtStart();
    const ask = () => void this.#askNext();
    this.#owned.add(this.#ports.clock.every(ASK_ZONES_EVERY, ask));
    this.#owned.add(this.#lists.onAdopted(() => this.#spread()));
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

  /** Answers a daemon of any zone. */
  answerZones(question: IZonesRequest): IZonesResponse {
    void this.#learn(question.versions, question.from.peerAddress);
    const { versions } = this.#lists;
    return { zones: [this.#ownSummary(), ...this.zones], versions };
  }

  /** Tells peers of the departure, and leaves the platform's list. */
  async leave(): Promise<void> {
    this.dispose();
    await Promise.all([this.#members.leave(), this.#list.leave()]);
  }

  dispose(): void {
    this.#owned.dispose();
    this.#members.dispose();
    this.#list.dispose();
  }

  /**
   * Asks peers for their lists before this daemon serves. By the platform's
   * answer alone it could serve by a stale read; without the seeds a daemon
   * started during an outage would know no one to ask.
   */
  async #askAtStart(): Promise<void> {
    await this.#list.start();
    let isAnswered = false;
    for (let round = 0; round < ROUNDS_AT_START && !isAnswered; round++) {
      isAnswered = await this.#askSomeAtStart();
    }
    this.#lists.markPeersAsked();
  }

  /**
   * True when a peer answered, or when there is none to ask. Entries of this
   * daemon's earlier runs bear its own address, and its own answer is news to
   * nobody.
   */
  async #askSomeAtStart(): Promise<boolean> {
    const addresses = new Set([...this.#listed, ...this.#ports.seeds]);
    addresses.delete(this.#self.peerAddress);
    const some = [...addresses].slice(0, MAXIMUM_ASKED_AT_START);
    const answered = await Promise.all(
      some.map((address) => this.#ask(address)),
    );
    return some.length === 0 || answered.includes(true);
  }

  #learned(entries: readonly IDaemonEntry[]): void {
    const members = entries.map(({ daemon, zone, peerAddress }) => ({
      daemon,
      zone,
      peerAddress,
    }));
    this.#listed = members.map(({ peerAddress }) => peerAddress);
    this.#members.addContacts(members);
    this.#zones.setContacts(members);
  }

  /** A list in force must be so everywhere within seconds: tell it on. */
  #spread(): void {
    this.#members.spread(TOLD_OF_LIST);
    if (this.#zones.isDelegate) {
      for (let told = 0; told < TOLD_OF_LIST; told++) {
        void this.#askNext();
      }
    }
  }

  async #askNext(): Promise<void> {
    const { clock } = this.#ports;
    const other = this.#zones.nextContact(
      this.#members.liveMembers,
      clock.now(),
    );
    if (other === null) {
      return this.#askSeed();
    }
    const isAnswered = await this.#ask(other.peerAddress);
    if (!isAnswered) {
      this.#zones.recordFailure(other, clock.now());
    }
  }

  /** Where neither platform nor peers told of anyone, the settings may. */
  async #askSeed(): Promise<void> {
    const { random, seeds } = this.#ports;
    const seed = seeds[Math.floor(random.next() * seeds.length)];
    if (seed !== undefined && this.#members.liveMembers.length === 0) {
      await this.#ask(seed);
    }
  }

  /** True when the peer at the address answered. */
  async #ask(address: string): Promise<boolean> {
    const { clock, metrics } = this.#ports;
    metrics.count("peer_calls", { call: "zones" });
    const askedAt = clock.now();
    const { versions } = this.#lists;
    const question = { from: this.#self, versions };
    const answer = await this.#peers.pullZones(address, question);
    if (answer.isErr()) {
      return false;
    }
    const { zones } = answer.value;
    this.#zones.merge(zones, askedAt);
    this.#members.addContacts(zones.flatMap(({ delegates }) => delegates));
    await this.#learn(answer.value.versions, address);
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

  /** Fetches whatever a peer has newer than this daemon, each list once. */
  async #learn(
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
   * Joins a fetch under way: whoever asked before serving must not go on
   * before the list has come, only because another message asked for it first.
   */
  #fetchOnce(
    list: PlanListName,
    version: number,
    address: string,
  ): Promise<void> {
    const underWay = this.#fetching.get(list);
    if (underWay !== undefined) {
      return underWay;
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
