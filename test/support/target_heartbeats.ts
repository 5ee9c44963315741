/** Renews the entries of targets, and lets those of silent ones expire. */
import { performance } from "node:perf_hooks";
import type { PlatformStore } from "./platform_store.ts";

/** Milliseconds between two writes of a target. */
export const HEARTBEAT_PERIOD = 1_200;

/** Milliseconds of silence after which the platform removes an entry. */
const EXPIRY_TIME = 3 * HEARTBEAT_PERIOD;

/** Milliseconds over which the heartbeats of all targets are spread. */
const SPREAD = 200;

/** Milliseconds between two looks at the entries. */
const CHECK_PERIOD = 20;

interface IHeartbeat {
  readonly id: string;
  /** Content of the entry, to write it again after it expired. */
  spec: unknown;
  nextAt: number;
  writtenAt: number;
}

/** Heartbeats of the targets that a store lists when they begin. */
export class TargetHeartbeats {
  /** Whether the store takes heartbeats. */
  isStoreWritable = true;
  readonly #store: PlatformStore;
  readonly #heartbeats = new Map<string, IHeartbeat>();
  readonly #timer: NodeJS.Timeout;

  constructor(store: PlatformStore, ids: readonly string[]) {
    this.#store = store;
    const now = performance.now();
    ids.forEach((id, index) => {
      const nextAt = now + (SPREAD * index) / ids.length;
      const spec = store.specOf("servers", id);
      this.#heartbeats.set(id, { id, spec, nextAt, writtenAt: now });
    });
    this.#timer = setInterval(() => this.#check(), CHECK_PERIOD);
  }

  /** The target writes no more; its entry stays until it expires. */
  silence(id: string): void {
    const heartbeat = this.#heartbeats.get(id);
    if (heartbeat !== undefined) {
      heartbeat.nextAt = Infinity;
    }
  }

  /** The target has left: its entry was removed. */
  forget(id: string): void {
    this.#heartbeats.delete(id);
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const now = performance.now();
    for (const heartbeat of this.#heartbeats.values()) {
      if (now >= heartbeat.nextAt) {
        heartbeat.nextAt = now + HEARTBEAT_PERIOD;
        this.#write(heartbeat, now);
      }
      if (now - heartbeat.writtenAt >= EXPIRY_TIME) {
        this.#store.remove("servers", heartbeat.id);
      }
    }
  }

  #write(heartbeat: IHeartbeat, now: number): void {
    const { id } = heartbeat;
    if (!this.isStoreWritable) {
      return;
    }
    const listed = this.#store.specOf("servers", id);
    heartbeat.spec = listed ?? heartbeat.spec;
    heartbeat.writtenAt = now;
    this.#store.put("servers", id, heartbeat.spec);
  }
}
