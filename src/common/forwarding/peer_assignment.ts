/**
 * Names each process a few others that it may forward to. The lease holder
 * tells them ahead of time, so that they are known when neither it nor the
 * store can be asked. Naming all processes to all others would fill the
 * holder's link in a large deployment.
 */
import type { MonotonicTime, ServiceName } from "../types.ts";
import type { IReportedPeer } from "./forwarding_peers.ts";
import type { IForwardingPeer } from "./types.ts";

/** Peers named to a process, of its own zone and of others each. */
const PEERS_PER_SIDE = 4;

/** How long a sorted list of the processes is used, milliseconds. */
const LIST_LIFETIME = 250;

/** An unchanged list is sent again after this time, milliseconds. */
const RESEND_PERIOD = 5_000;

interface ISentList {
  readonly addresses: string;
  readonly sentAt: MonotonicTime;
}

/** The peers that the lease holder names to the other processes. */
export class PeerAssignment {
  readonly #sent = new Map<string, ISentList>();
  #sorted: readonly IReportedPeer[] = [];
  /** By address, the index in the sorted list. */
  #positions: ReadonlyMap<string, number> = new Map();
  #sortedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  /**
   * The peers of a process; null if it has been sent them already.
   *
   * @param all - returns the processes that take forwarded requests
   */
  peersToSend(
    process: IReportedPeer,
    all: () => readonly IReportedPeer[],
    now: MonotonicTime,
  ): readonly IForwardingPeer[] | null {
    const peers = this.peersOf(process, all, now);
    const addresses = peers.map(({ address }) => address).join();
    const sent = this.#sent.get(process.address);
    const isKnown =
      sent?.addresses === addresses && now - sent.sentAt < RESEND_PERIOD;
    if (isKnown) {
      return null;
    }
    this.#sent.set(process.address, { addresses, sentAt: now });
    return peers;
  }

  /**
   * The processes that follow one in the order of addresses, first those that
   * reach what it does not.
   */
  peersOf(
    process: IReportedPeer,
    all: () => readonly IReportedPeer[],
    now: MonotonicTime,
  ): readonly IForwardingPeer[] {
    this.#sort(all, now);
    const reaching = this.#following(process, (one) =>
      reaches(one, process.outOfReach),
    );
    return reaching.length > 0
      ? reaching
      : this.#following(process, () => true);
  }

  /** Some of the processes after one that meet a condition, of each side. */
  #following(
    { address, zone }: IReportedPeer,
    isUsable: (peer: IReportedPeer) => boolean,
  ): readonly IForwardingPeer[] {
    const own: IForwardingPeer[] = [];
    const far: IForwardingPeer[] = [];
    const start = this.#positions.get(address) ?? 0;
    const { length } = this.#sorted;
    for (let step = 0; step < length; step += 1) {
      const peer = this.#sorted[(start + step) % length];
      if (peer === undefined || peer.address === address || !isUsable(peer)) {
        continue;
      }
      const side = peer.zone === zone ? own : far;
      if (side.length < PEERS_PER_SIDE) {
        side.push({ address: peer.address, zone: peer.zone });
      }
      if (own.length + far.length === 2 * PEERS_PER_SIDE) {
        break;
      }
    }
    return [...own, ...far];
  }

  #sort(all: () => readonly IReportedPeer[], now: MonotonicTime): void {
    if (now - this.#sortedAt <= LIST_LIFETIME) {
      return;
    }
    this.#sortedAt = now;
    this.#sorted = [...all()].sort((left, right) =>
      left.address < right.address ? -1 : 1,
    );
    this.#positions = new Map(
      this.#sorted.map(({ address }, index) => [address, index]),
    );
    this.#forgetMissing();
  }

  #forgetMissing(): void {
    const present = new Set(this.#sorted.map(({ address }) => address));
    for (const address of this.#sent.keys()) {
      if (!present.has(address)) {
        this.#sent.delete(address);
      }
    }
  }
}

function reaches(
  { outOfReach }: IReportedPeer,
  services: readonly ServiceName[],
): boolean {
  return services.length === 0
    ? outOfReach.length === 0
    : !services.some((service) => outOfReach.includes(service));
}
