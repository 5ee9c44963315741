/**
 * Requests reports from engines and sends them orders, through another process
 * where this one does not reach them. An engine that does not answer is asked
 * through another process next, and counts as silent only if it answers neither:
 * otherwise a lease holder with a broken link would abandon sound groups.
 */
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { OrderOutcome } from "../replicas/types.ts";
import type {
  EngineOrder,
  IEngineAddress,
  IEngineClient,
  IEngineReport,
} from "../replicas/types.ts";
import type { IClock } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type {
  ICallFailure,
  InstanceId,
  MonotonicTime,
  ServiceName,
} from "../types.ts";
import type { ForwardingPeers } from "./forwarding_peers.ts";
import type { TargetReach } from "./target_reach.ts";
import type { IPeerLink } from "./types.ts";

/** How long an engine that only others reach is asked through them, ms. */
const INDIRECT_TIME = 2_000;

/** Peers that are asked for one report at most. */
const MAXIMUM_PEERS = 2;

/** Dependencies of {@link ForwardingEngineClient}. */
export interface IForwardingEngineClientParts {
  readonly direct: IEngineClient;
  readonly reach: Pick<TargetReach, "isOutOfReach">;
  readonly peers: Pick<ForwardingPeers, "choose" | "hasPeer">;
  readonly link: Pick<IPeerLink, "fetchReport" | "sendOrder">;
  /** Null for an engine that is not listed. */
  readonly serviceOf: (engine: InstanceId) => ServiceName | null;
  readonly clock: IClock;
}

/** Reaches engines directly or through another process. */
export class ForwardingEngineClient implements IEngineClient {
  readonly #parts: IForwardingEngineClientParts;
  /** Until when each engine is asked through another process. */
  readonly #indirectUntil = new Map<InstanceId, MonotonicTime>();

  constructor(parts: IForwardingEngineClientParts) {
    this.#parts = parts;
  }

  async fetchReport(
    engine: IEngineAddress,
    timeout: number,
  ): Promise<Result<IEngineReport, ICallFailure>> {
    if (!this.#isIndirect(engine.id)) {
      const report = await this.#parts.direct.fetchReport(engine, timeout);
      if (report.isErr()) {
        this.#indirectUntil.set(engine.id, this.#now + INDIRECT_TIME);
      }
      return report;
    }
    const report = await this.#fetchThroughPeers(engine.id, timeout);
    if (report.isErr()) {
      this.#indirectUntil.delete(engine.id);
    }
    return report;
  }

  async sendOrder(
    engine: IEngineAddress,
    order: EngineOrder,
    timeout: number,
  ): Promise<OrderOutcome> {
    const { direct, link } = this.#parts;
    if (!this.#isIndirect(engine.id)) {
      return direct.sendOrder(engine, order, timeout);
    }
    const peer = this.#choosePeer(engine.id, new Set());
    return peer === null
      ? OrderOutcome.Unknown
      : link.sendOrder(peer, { engine: engine.id, order, timeout });
  }

  /** A peer that fails says nothing about the engine; another one is asked. */
  async #fetchThroughPeers(
    engine: InstanceId,
    timeout: number,
  ): Promise<Result<IEngineReport, ICallFailure>> {
    const asked = new Set<string>();
    for (let attempt = 0; attempt < MAXIMUM_PEERS; attempt += 1) {
      const peer = this.#choosePeer(engine, asked);
      if (peer === null) {
        break;
      }
      asked.add(peer);
      const exchange = { engine, timeout };
      const report = await this.#parts.link.fetchReport(peer, exchange);
      if (report.isOk() || report.error.kind !== CallFailureKind.NoPath) {
        return report;
      }
    }
    const detail = `report of ${engine}: no process reaches it`;
    return Err({ kind: CallFailureKind.NoPath, detail });
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  /** Whether an engine is reached through another process, if there is one. */
  #isIndirect(engine: InstanceId): boolean {
    const { reach, peers, serviceOf } = this.#parts;
    const service = serviceOf(engine);
    if (service === null) {
      return false;
    }
    const isDoubtful = this.#now < (this.#indirectUntil.get(engine) ?? 0);
    return (
      reach.isOutOfReach(service) || (isDoubtful && peers.hasPeer(service))
    );
  }

  #choosePeer(engine: InstanceId, asked: ReadonlySet<string>): string | null {
    const service = this.#parts.serviceOf(engine);
    return service === null ? null : this.#parts.peers.choose(service, asked);
  }
}
