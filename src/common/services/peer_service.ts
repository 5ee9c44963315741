/** Tells peers which plan lists are in force here, and learns theirs. */
import type { Result } from "ts-results-es";
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { LiveDaemons } from "../membership/live_daemons.ts";
import type { PlanListName } from "../plans/types.ts";
import type { IListText } from "../plans/types.ts";
import type { ICallFailure, ZoneName } from "../types.ts";
import type { PlanListService } from "./plan_list_service.ts";
import type {
  IClock,
  IDaemonEntry,
  IListVersion,
  IPlatform,
  IRandom,
} from "./services.ts";

/** The platform's kind of object by which daemons find one another. */
export const DAEMON_KIND = "daemons";

/** How often news is exchanged with one peer, milliseconds. */
const EXCHANGE_EVERY = 500;

/** How often the platform is asked who the peers are, milliseconds. */
const DISCOVER_EVERY = 10_000;

/** Peers asked before a daemon serves; one with the newest lists is enough. */
const MAXIMUM_ASKED_AT_START = 12;

/** What one daemon tells another. */
export interface IPeerNews {
  readonly daemon: string;
  readonly zone: ZoneName;
  readonly versions: readonly IListVersion[];
}

/** Calls to other daemons. */
export interface IPeers {
  exchange(
    address: string,
    news: IPeerNews,
  ): Promise<Result<IPeerNews, ICallFailure>>;
  fetchList(
    address: string,
    list: PlanListName,
  ): Promise<Result<IListText, ICallFailure>>;
}

/** Passes plan lists on between daemons. */
export class PeerService implements IDisposable {
  readonly #peers: IPeers;
  readonly #platform: IPlatform;
  readonly #clock: IClock;
  readonly #random: IRandom;
  readonly #lists: PlanListService;
  readonly #live: LiveDaemons;
  readonly #self: IDaemonEntry;
  readonly #owned = new DisposableStore();
  readonly #seeds: readonly string[];
  #known: readonly IDaemonEntry[] = [];

  constructor(
    ports: {
      readonly peers: IPeers;
      readonly platform: IPlatform;
      readonly clock: IClock;
      readonly random: IRandom;
      readonly lists: PlanListService;
      readonly live: LiveDaemons;
      /** Addresses from the settings, for when the platform is away. */
      readonly seeds: readonly string[];
    },
    self: IDaemonEntry,
  ) {
    this.#peers = ports.peers;
    this.#platform = ports.platform;
    this.#clock = ports.clock;
    this.#random = ports.random;
    this.#lists = ports.lists;
    this.#live = ports.live;
    this.#seeds = ports.seeds;
    this.#self = self;
  }

  /** Other daemons, as last told by the platform. */
  get known(): readonly IDaemonEntry[] {
    return this.#known;
  }

  get news(): IPeerNews {
    const { daemon, zone } = this.#self;
    return { daemon, zone, versions: this.#lists.versions };
  }

  start(): void {
    void this.#askAtStart();
    this.#every(DISCOVER_EVERY, () => void this.#discover());
    this.#every(EXCHANGE_EVERY, () => void this.#exchange());
  }

  /** Fetches whatever a peer has newer than this daemon. */
  async learn(news: IPeerNews, address: string): Promise<void> {
    for (const { list, version } of news.versions) {
      if (version <= (this.#lists.book.version(list) ?? 0)) {
        continue;
      }
      const fetched = await this.#peers.fetchList(address, list);
      if (fetched.isOk() && fetched.value.version >= version) {
        this.#lists.offer(fetched.value);
      }
    }
  }

  /** The address of a known daemon. */
  addressOf(daemon: string): string | null {
    const entry = this.#known.find((known) => known.daemon === daemon);
    return entry?.peerAddress ?? null;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Takes this daemon off the platform's list of daemons. */
  async leave(): Promise<void> {
    const found = await this.#platform.read(DAEMON_KIND, this.#self.daemon);
    if (found.isOk() && found.value.isSome()) {
      const { version } = found.value.value;
      await this.#platform.remove(DAEMON_KIND, this.#self.daemon, version);
    }
  }

  #every(period: number, callback: () => void): void {
    this.#owned.add(this.#clock.every(period, callback));
  }

  /**
   * Asks peers for their lists before this daemon serves. By the platform's
   * answer alone it could serve by a stale read; without the seeds a daemon
   * started during an outage would know no one to ask.
   */
  async #askAtStart(): Promise<void> {
    await this.#register();
    const addresses = new Set([
      ...this.#known.map((entry) => entry.peerAddress),
      ...this.#seeds,
    ]);
    const some = [...addresses].slice(0, MAXIMUM_ASKED_AT_START);
    await Promise.all(some.map((address) => this.#ask(address)));
    this.#lists.notePeersAsked();
  }

  async #register(): Promise<void> {
    const written = await this.#platform.write({
      kind: DAEMON_KIND,
      name: this.#self.daemon,
      value: this.#self,
      expectedVersion: null,
    });
    if (written.isErr()) {
      this.#owned.add(
        this.#clock.after(DISCOVER_EVERY, () => void this.#register()),
      );
    }
    await this.#discover();
  }

  async #discover(): Promise<void> {
    const listed = await this.#platform.list(DAEMON_KIND);
    if (listed.isErr()) {
      return;
    }
    this.#known = listed.value.objects
      .map((object) => object.value as IDaemonEntry)
      .filter((entry) => entry.daemon !== this.#self.daemon);
    const { zone } = this.#self;
    const here = this.#known.filter((entry) => entry.zone === zone);
    this.#live.update(here.map(({ daemon }) => daemon));
  }

  async #exchange(): Promise<void> {
    const known = this.#known.map((entry) => entry.peerAddress);
    const addresses = known.length > 0 ? known : this.#seeds;
    const index = Math.floor(this.#random.next() * addresses.length);
    const address = addresses[index];
    if (address !== undefined) {
      await this.#ask(address);
    }
  }

  async #ask(address: string): Promise<void> {
    const answer = await this.#peers.exchange(address, this.news);
    if (answer.isOk()) {
      await this.learn(answer.value, address);
    }
  }
}
