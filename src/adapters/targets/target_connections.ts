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
const LONGEST_USE = 60_000;

/** Time unused after which a pool is dropped, milliseconds. */
const LONGEST_IDLE = 60_000;

/**
 * Time a connection is kept for another call, milliseconds. One that carried
 * an answer just now has hardly gone silent since; connecting anew costs a
 * round trip within the zone, far below the wait for a first token.
 */
const LONGEST_KEPT = 500;

/** Connections for one call. */
export interface IPooled {
  readonly dispatcher: Dispatcher;
  /** Aborted when a call that has had no word yet waits in vain. */
  readonly doubted: AbortSignal;
}

interface IOpenPool {
  readonly pool: Pool;
  /** Aborted when the pool is known to be silent and its target is not. */
  readonly doubt: AbortController;
  readonly openedAt: number;
  usedAt: number;
}

/** Hands out connections that are neither old nor known to be silent. */
export class TargetConnections {
  readonly #connectTimeout: number;
  readonly #now: () => number;
  readonly #open = new Map<string, IOpenPool>();
  /** Retired pools that still finish what was sent on them. */
  readonly #retired = new Set<Dispatcher>();
  /** Doubts about pools that met silence, by address. */
  readonly #doubts = new Map<string, Set<AbortController>>();

  /**
   * @param connectTimeout - milliseconds
   * @param now - monotonic milliseconds
   */
  constructor(connectTimeout: number, now: () => number) {
    this.#connectTimeout = connectTimeout;
    this.#now = now;
  }

  /** The pool for calls to an address now. */
  pool(address: string): IPooled {
    const now = this.#now();
    const known = this.#open.get(address);
    if (known !== undefined && now - known.openedAt < LONGEST_USE) {
      known.usedAt = now;
      return { dispatcher: known.pool, doubted: known.doubt.signal };
    }
    this.#retireIdle(now);
    if (known !== undefined) {
      void this.#retire(known.pool);
    }
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
      keepAliveTimeout: LONGEST_KEPT,
      keepAliveMaxTimeout: LONGEST_KEPT,
    });
    const doubt = new AbortController();
    this.#open.set(address, { pool, doubt, openedAt: now, usedAt: now });
    return { dispatcher: pool, doubted: doubt.signal };
  }

  /** A connection of its own for one call; closed once that is done. */
  single(address: string): Dispatcher {
    return new Client(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
    });
  }

  /** Takes a pool out of use: a call on it met silence. */
  suspect(address: string, pool: Dispatcher): void {
    const entry = this.#open.get(address);
    if (entry?.pool !== pool) {
      return;
    }
    this.#open.delete(address);
    const doubts = this.#doubts.get(address) ?? new Set();
    this.#doubts.set(address, doubts.add(entry.doubt));
    void this.#retire(pool).then(() => {
      doubts.delete(entry.doubt);
    });
  }

  /**
   * The target has answered at once on a pool in use. Calls that still wait
   * for a first word on a pool that met silence wait in vain: they are told.
   */
  proved(address: string): void {
    this.#doubts.get(address)?.forEach((doubt) => doubt.abort());
    this.#doubts.delete(address);
  }

  /** Closes a pool when what was sent on it is done. */
  async #retire(pool: Dispatcher): Promise<void> {
    this.#retired.add(pool);
    await pool.close().catch(() => undefined);
    this.#retired.delete(pool);
  }

  #retireIdle(now: number): void {
    for (const [address, { pool, usedAt }] of this.#open) {
      if (now - usedAt > LONGEST_IDLE) {
        this.#open.delete(address);
        void this.#retire(pool);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#open.values()].map(({ pool }) => pool);
    const all = [...pools, ...this.#retired];
    await Promise.all(all.map((pool) => pool.destroy()));
  }
}
