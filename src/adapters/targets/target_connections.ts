/**
 * Connection pools to targets, one per address. The network may lose the state
 * of open connections, which then stay silent forever while new ones work. The
 * symptom is a series of timeouts on a target that answers other callers
 * immediately. A timeout therefore retires the whole pool, so that the next
 * call opens a new connection. Pools are also retired by age.
 */
import { buildConnector } from "undici";
import type { Dispatcher, Pool } from "undici";
import type { IInputBarrier } from "../../common/calls/input_barrier.ts";
import { barrierConnector } from "../barrier_connector.ts";
import type { HttpClients } from "../http/http_clients.ts";

/** Age from which a pool accepts no more calls, milliseconds. */
const MAXIMUM_POOL_AGE = 60_000;

/** Idle time after which a pool is closed, milliseconds. */
const MAXIMUM_POOL_IDLE = 60_000;

/**
 * How long an idle connection is kept for reuse, milliseconds. A connection is
 * unlikely to go silent so soon after a response. Reconnecting costs one round
 * trip within the zone, far less than the wait for a first token.
 */
const KEEP_ALIVE_TIMEOUT = 500;

/** The pool to use for one call. */
export interface ITargetPool {
  readonly dispatcher: Dispatcher;
  /**
   * Aborted when the target answers on a newer pool while this one is silent: a
   * call that has received nothing yet will get no answer.
   */
  readonly connectionLost: AbortSignal;
}

interface IOpenPool {
  readonly pool: Pool;
  /** Aborted when the pool is silent although its target responds. */
  readonly lostController: AbortController;
  readonly openedAt: number;
  usedAt: number;
}

/** Provides connections that are neither old nor known to be silent. */
export class TargetConnections {
  readonly #clients: HttpClients;
  readonly #connect: buildConnector.connector;
  readonly #now: () => number;
  readonly #pools = new Map<string, IOpenPool>();
  /** Retired pools with calls still in flight. */
  readonly #retired = new Set<Dispatcher>();
  /** Controllers of retired silent pools, by address. */
  readonly #silentPools = new Map<string, Set<AbortController>>();

  /**
   * @param parts.clients - create the connections
   * @param parts.connectTimeout - milliseconds
   * @param parts.barrier - delays the use of new connections
   * @param parts.now - monotonic milliseconds
   */
  constructor(parts: {
    readonly clients: HttpClients;
    readonly connectTimeout: number;
    readonly barrier: IInputBarrier;
    readonly now: () => number;
  }) {
    this.#clients = parts.clients;
    const connect = buildConnector({ timeout: parts.connectTimeout });
    this.#connect = barrierConnector(connect, parts.barrier);
    this.#now = parts.now;
  }

  /** Returns the current pool of an address. */
  poolFor(address: string): ITargetPool {
    const now = this.#now();
    const current = this.#pools.get(address);
    if (current !== undefined && now - current.openedAt < MAXIMUM_POOL_AGE) {
      current.usedAt = now;
      return {
        dispatcher: current.pool,
        connectionLost: current.lostController.signal,
      };
    }
    this.#retireIdle(now);
    if (current !== undefined) {
      void this.#retire(current.pool);
    }
    const options = {
      connect: this.#connect,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT,
    };
    // A refusal names no request; a second copy must not be read as another's.
    const closesAfterFailures = true;
    const pool = this.#clients.createPool(
      `http://${address}`,
      options,
      closesAfterFailures,
    );
    const lostController = new AbortController();
    this.#pools.set(address, {
      pool,
      lostController,
      openedAt: now,
      usedAt: now,
    });
    return { dispatcher: pool, connectionLost: lostController.signal };
  }

  /** Creates a connection for a single call, to be destroyed afterwards. */
  createSingleUse(address: string): Dispatcher {
    return this.#clients.createClient(`http://${address}`, {
      connect: this.#connect,
    });
  }

  /** Retires a pool on which a call has timed out. */
  retireSilentPool(address: string, pool: Dispatcher): void {
    const entry = this.#pools.get(address);
    if (entry?.pool !== pool) {
      return;
    }
    this.#pools.delete(address);
    const controllers = this.#silentPools.get(address) ?? new Set();
    this.#silentPools.set(address, controllers.add(entry.lostController));
    void this.#retire(pool).then(() => {
      controllers.delete(entry.lostController);
    });
  }

  /**
   * Records that the target has answered on its current pool. Calls that still
   * wait for a first response on its silent pools wait in vain: aborts them.
   */
  recordAnswer(address: string): void {
    this.#silentPools.get(address)?.forEach((controller) => controller.abort());
    this.#silentPools.delete(address);
  }

  /** Closes a pool once its calls in flight are done. */
  async #retire(pool: Dispatcher): Promise<void> {
    this.#retired.add(pool);
    await pool.close().catch(() => undefined);
    this.#retired.delete(pool);
  }

  #retireIdle(now: number): void {
    for (const [address, { pool, usedAt }] of this.#pools) {
      if (now - usedAt > MAXIMUM_POOL_IDLE) {
        this.#pools.delete(address);
        void this.#retire(pool);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#pools.values()].map(({ pool }) => pool);
    const all = [...pools, ...this.#retired];
    await Promise.all(all.map((pool) => pool.destroy()));
  }
}
