/**
 * Connections to targets, a pool an address. Something between the two ends
 * may lose track of open connections, which then stay silent for good while
 * new ones work. One would notice by calls that time out one after another on
 * a target that answers others at once. So silence costs the whole pool its
 * place: the next call opens a new connection; and pools are retired by age.
 */
import { Client, Pool } from "undici";
import type { Dispatcher } from "undici";

/** Age at which a pool takes no more calls, milliseconds. */
const MAXIMUM_POOL_AGE = 60_000;

/** Time unused after which a pool is dropped, milliseconds. */
const MAXIMUM_POOL_IDLE = 60_000;

/**
 * Time a connection is kept for another call, milliseconds. One that carried
 * an answer just now has hardly gone silent since; connecting anew costs a
 * round trip within the zone, far below the wait for a first token.
 */
const KEEP_ALIVE_TIMEOUT = 500;

/** Connections for one call. */
export interface ITargetPool {
  readonly dispatcher: Dispatcher;
  /** Aborted when a call that has had no word yet waits in vain. */
  readonly connectionLost: AbortSignal;
}

interface IOpenPool {
  readonly pool: Pool;
  /** Aborted when the pool is known to be silent and its target is not. */
  readonly lostController: AbortController;
  readonly openedAt: number;
  usedAt: number;
}

/** Hands out connections that are neither old nor known to be silent. */
export class TargetConnections {
  readonly #connectTimeout: number;
  readonly #now: () => number;
  readonly #pools = new Map<string, IOpenPool>();
  /** Retired pools that still finish what was sent on them. */
  readonly #retired = new Set<Dispatcher>();
  /** Doubts about pools that met silence, by address. */
  readonly #silentPools = new Map<string, Set<AbortController>>();

  /**
   * @param connectTimeout - milliseconds
   * @param now - monotonic milliseconds
   */
  constructor(connectTimeout: number, now: () => number) {
    this.#connectTimeout = connectTimeout;
    this.#now = now;
  }

  /** The pool for calls to an address now. */
  poolFor(address: string): ITargetPool {
    const now = this.#now();
    const known = this.#pools.get(address);
    if (known !== undefined && now - known.openedAt < MAXIMUM_POOL_AGE) {
      known.usedAt = now;
      return {
        dispatcher: known.pool,
        connectionLost: known.lostController.signal,
      };
    }
    this.#retireIdle(now);
    if (known !== undefined) {
      void this.#retire(known.pool);
    }
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT,
    });
    const doubt = new AbortController();
    this.#pools.set(address, {
      pool,
      lostController: doubt,
      openedAt: now,
      usedAt: now,
    });
    return { dispatcher: pool, connectionLost: doubt.signal };
  }

  /** A connection of its own for one call; closed once that is done. */
  createSingleUse(address: string): Dispatcher {
    return new Client(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
    });
  }

  /** Takes a pool out of use: a call on it met silence. */
  retireSilentPool(address: string, pool: Dispatcher): void {
    const entry = this.#pools.get(address);
    if (entry?.pool !== pool) {
      return;
    }
    this.#pools.delete(address);
    const doubts = this.#silentPools.get(address) ?? new Set();
    this.#silentPools.set(address, doubts.add(entry.lostController));
    void this.#retire(pool).then(() => {
      doubts.delete(entry.lostController);
    });
  }

  /**
   * The target has answered at once on a pool in use. Calls that still wait
   * for a first word on a pool that met silence wait in vain: they are told.
   */
  recordAnswer(address: string): void {
    this.#silentPools.get(address)?.forEach((doubt) => doubt.abort());
    this.#silentPools.delete(address);
  }

  /** Closes a pool when what was sent on it is done. */
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
