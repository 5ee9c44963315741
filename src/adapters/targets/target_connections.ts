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

interface IOpenPool {
  readonly pool: Pool;
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

  /**
   * @param connectTimeout - milliseconds
   * @param now - monotonic milliseconds
   */
  constructor(connectTimeout: number, now: () => number) {
    this.#connectTimeout = connectTimeout;
    this.#now = now;
  }

  /** The pool for calls to an address now. */
  pool(address: string): Dispatcher {
    const now = this.#now();
    const known = this.#open.get(address);
    if (known !== undefined && now - known.openedAt < LONGEST_USE) {
      known.usedAt = now;
      return known.pool;
    }
    this.#retireWhere((entry) => now - entry.usedAt > LONGEST_IDLE);
    if (known !== undefined) {
      this.suspect(address, known.pool);
    }
    const pool = new Pool(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
    });
    this.#open.set(address, { pool, openedAt: now, usedAt: now });
    return pool;
  }

  /** A connection of its own for one call; closed once that is done. */
  single(address: string): Dispatcher {
    return new Client(`http://${address}`, {
      connect: { timeout: this.#connectTimeout },
    });
  }

  /** Takes a pool out of use: a call on it met silence. */
  suspect(address: string, pool: Dispatcher): void {
    if (this.#open.get(address)?.pool === pool) {
      this.#open.delete(address);
      this.#retire(pool);
    }
  }

  /** Closes a connection or pool when what was sent on it is done. */
  #retire(pool: Dispatcher): void {
    this.#retired.add(pool);
    void pool.close().finally(() => this.#retired.delete(pool));
  }

  #retireWhere(isDue: (entry: IOpenPool) => boolean): void {
    for (const [address, entry] of this.#open) {
      if (isDue(entry)) {
        this.suspect(address, entry.pool);
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#open.values()].map(({ pool }) => pool);
    const all = [...pools, ...this.#retired];
    await Promise.all(all.map((pool) => pool.destroy()));
  }
}
