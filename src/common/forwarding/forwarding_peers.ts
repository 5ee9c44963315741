/**
 * The processes that this one may send through, and which of them to choose.
 * The list comes from the lease holder and is kept while no holder answers.
 *
 * A peer that holds forwarded calls is pinged. One that is frozen, or cut off
 * after it has taken a call, would otherwise keep the caller waiting until the
 * deadline, since its connections stay open. A peer that has failed is pinged
 * until it answers, so that no caller's call has to find out.
 */
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog, IRandom } from "../services/services.ts";
import type { MonotonicTime, ServiceName, ZoneName } from "../types.ts";
import type { IForwardingPeer, IForwardingReport, IPeerLink } from "./types.ts";

/** How long a peer gets no calls for a service out of its reach, ms. */
const OUT_OF_REACH_TIME = 1_000;

/** Time between two pings of a peer that holds calls or failed, ms. */
const PING_PERIOD = 250;

/** Milliseconds. */
const PING_TIMEOUT = 400;

/** Unanswered pings in a row after which a peer is lost. */
const MISSES_TO_LOSS = 2;

/** Calls in flight that weigh as much as the way to another zone. */
const OTHER_ZONE_HANDICAP = 4;

/** The same for a peer that failed: it is used only if no other is left. */
const FAILED_HANDICAP = 1_000;

interface IPeerState {
  readonly peer: IForwardingPeer;
  /** Whether it failed, and has answered no ping since. */
  hasFailed: boolean;
  /** Until when it is taken not to reach a service. */
  readonly outOfReachUntil: Map<ServiceName, MonotonicTime>;
  /** Callbacks of the calls in flight, called when the peer is lost. */
  readonly inFlight: Set<() => void>;
  misses: number;
  /** When it last sent anything. */
  heardAt: MonotonicTime;
  isPinging: boolean;
}

/** Dependencies of {@link ForwardingPeers}. */
export interface IForwardingPeersParts {
  readonly link: Pick<IPeerLink, "ping">;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly zone: ZoneName;
}

/** The peers known to one process. */
export class ForwardingPeers implements IDisposable {
  readonly #parts: IForwardingPeersParts;
  readonly #peers = new Map<string, IPeerState>();
  #timer: IDisposable | null = null;

  constructor(parts: IForwardingPeersParts) {
    this.#parts = parts;
  }

  /** Replaces the list; a peer that still holds calls stays watched. */
  update(peers: readonly IForwardingPeer[]): void {
    const listed = new Set(peers.map(({ address }) => address));
    for (const [address, { inFlight }] of this.#peers) {
      if (!listed.has(address) && inFlight.size === 0) {
        this.#peers.delete(address);
      }
    }
    for (const peer of peers) {
      if (!this.#peers.has(peer.address)) {
        this.#peers.set(peer.address, {
          peer,
          hasFailed: false,
          outOfReachUntil: new Map(),
          inFlight: new Set(),
          misses: 0,
          heardAt: Number.NEGATIVE_INFINITY,
          isPinging: false,
        });
      }
    }
  }

  /** Where the known peers are reached. */
  get addresses(): readonly string[] {
    return [...this.#peers.keys()];
  }

  /** Whether a peer is known that may reach a service, if it answers. */
  hasPeer(service: ServiceName): boolean {
    return this.#usable(service).length > 0;
  }

  /**
   * The address of the peer to send through; null if there is none.
   *
   * @param excluded - peers that this request was already offered to
   */
  choose(service: ServiceName, excluded: ReadonlySet<string>): string | null {
    const { random, zone } = this.#parts;
    let best: string | null = null;
    let lowest = Number.POSITIVE_INFINITY;
    for (const { peer, inFlight, hasFailed } of this.#usable(service)) {
      const distance = peer.zone === zone ? 0 : OTHER_ZONE_HANDICAP;
      const failure = hasFailed ? FAILED_HANDICAP : 0;
      const score = inFlight.size + distance + failure + random.next();
      if (!excluded.has(peer.address) && score < lowest) {
        lowest = score;
        best = peer.address;
      }
    }
    return best;
  }

  /** A peer could not be reached, or does not answer. */
  recordFailure(address: string): void {
    const state = this.#peers.get(address);
    if (state !== undefined) {
      state.hasFailed = true;
      this.#startPings();
    }
  }

  /** Part of a response came through a peer: it is busy rather than lost. */
  recordAnswer(address: string): void {
    const state = this.#peers.get(address);
    if (state !== undefined) {
      state.heardAt = this.#now;
    }
  }

  /** A peer does not reach the targets of a service either. */
  recordOutOfReach(address: string, service: ServiceName): void {
    const until = this.#now + OUT_OF_REACH_TIME;
    this.#peers.get(address)?.outOfReachUntil.set(service, until);
  }

  /**
   * Records a call in flight through a peer, until the returned handle is
   * disposed.
   *
   * @param onLost - called if the peer is lost meanwhile
   */
  watch(address: string, onLost: () => void): IDisposable {
    const inFlight = this.#peers.get(address)?.inFlight;
    inFlight?.add(onLost);
    this.#startPings();
    return { dispose: () => inFlight?.delete(onLost) };
  }

  dispose(): void {
    this.#timer?.dispose();
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #usable(service: ServiceName): readonly IPeerState[] {
    const now = this.#now;
    return [...this.#peers.values()].filter(
      ({ outOfReachUntil }) => now >= (outOfReachUntil.get(service) ?? now),
    );
  }

  #startPings(): void {
    this.#timer ??= this.#parts.clock.every(PING_PERIOD, () => this.#ping());
  }

  #ping(): void {
    const watched = [...this.#peers.values()].filter(
      ({ inFlight, hasFailed }) => inFlight.size > 0 || hasFailed,
    );
    if (watched.length === 0) {
      this.#timer?.dispose();
      this.#timer = null;
    }
    for (const state of watched.filter(({ isPinging }) => !isPinging)) {
      void this.#pingPeer(state);
    }
  }

  async #pingPeer(state: IPeerState): Promise<void> {
    const { address } = state.peer;
    state.isPinging = true;
    const startedAt = this.#now;
    const outOfReach = await this.#parts.link.ping(address, PING_TIMEOUT);
    state.isPinging = false;
    if (outOfReach === null && state.heardAt >= startedAt) {
      state.misses = 0;
      return;
    }
    if (outOfReach === null) {
      state.misses += 1;
      if (state.misses >= MISSES_TO_LOSS) {
        this.#handleLost(state);
      }
      return;
    }
    state.misses = 0;
    state.hasFailed = false;
    outOfReach.forEach((service) => this.recordOutOfReach(address, service));
  }

  #handleLost({ peer, inFlight, hasFailed }: IPeerState): void {
    if (!hasFailed) {
      const calls = inFlight.size;
      this.#parts.log.warn("peer_lost", { address: peer.address, calls });
    }
    this.recordFailure(peer.address);
    for (const onLost of [...inFlight]) {
      onLost();
    }
  }
}

/** A peer, and what it reported to the lease holder. */
export interface IReportedPeer extends IForwardingPeer {
  readonly outOfReach: IForwardingReport["outOfReach"];
}
