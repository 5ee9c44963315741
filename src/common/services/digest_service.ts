/** Shares polled reports of targets between the daemons of a zone. */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import { DigestTable } from "../membership/digest_table.ts";
import { choosePullSource } from "../membership/digest_ring.ts";
import type { IDigestRow, IHeldRow } from "../membership/digest_types.ts";
import type { IPeers } from "../membership/peers.ts";
import type { IMember } from "../membership/types.ts";
import type { IClock, IHash, IMetrics } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Dependencies of {@link DigestService}. */
export interface IDigestPorts {
  readonly peers: IPeers;
  readonly clock: IClock;
  readonly hash: IHash;
  readonly metrics: IMetrics;
  readonly directory: TargetDirectory;
  /** Other live daemons of the zone. */
  readonly members: () => readonly IMember[];
}

/** Pulls reports from one peer each period, and answers peers' pulls. */
export class DigestService implements IDisposable {
  readonly #ports: IDigestPorts;
  readonly #period: number;
  readonly #self: string;
  readonly #table: DigestTable;
  readonly #owned = new DisposableStore();
  #isPulling = false;
  #pulls = 0;

  /** @param options - this daemon, and the period in milliseconds */
  constructor(
    ports: IDigestPorts,
    options: { readonly self: string; readonly period: number },
  ) {
    this.#ports = ports;
    this.#period = options.period;
    this.#self = options.self;
    this.#table = new DigestTable(ports.hash.hash(options.self));
  }

  start(): void {
    const { clock } = this.#ports;
    this.#owned.add(clock.every(this.#period, () => void this.#pull()));
  }

  /** Answers a peer's pull with the rows that are fresher here. */
  answerPull(heldRows: readonly IHeldRow[]): readonly IDigestRow[] {
    const { clock, directory } = this.#ports;
    this.#table.publish(directory.ownReports());
    return this.#table.fresherRows(heldRows, clock.now());
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #pull(): Promise<void> {
    const peer = this.#choosePeer();
    if (this.#isPulling || peer === null) {
      return;
    }
    const { clock, directory, metrics, peers } = this.#ports;
    this.#isPulling = true;
    metrics.count("peer_calls", { call: "digests" });
    this.#table.publish(directory.ownReports());
    const askedAt = clock.now();
    const heldRows = this.#table.heldRows(askedAt);
    const answer = await peers.pullDigests(peer.peerAddress, heldRows);
    this.#isPulling = false;
    if (answer.isOk()) {
      directory.mergeReports(this.#table.merge(answer.value, askedAt));
    }
  }

  #choosePeer(): IMember | null {
    const members = this.#ports.members();
    const round = this.#pulls;
    this.#pulls += 1;
    const ring = { self: this.#self, round };
    const daemons = members.map(({ daemon }) => daemon);
    const chosen = choosePullSource(daemons, ring);
    return members.find(({ daemon }) => daemon === chosen) ?? null;
  }
}
