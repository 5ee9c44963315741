/** Polls the versions of the lists in force at every daemon. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { IDaemonStatus } from "../../src/common/services/daemon_status.ts";

/** Milliseconds. */
const SAMPLE_INTERVAL = 50;

/** Records every decrease of a version while it runs. */
export class VersionSampler {
  readonly #addresses: readonly string[];
  readonly #highest = new Map<string, number>();
  readonly regressions: string[] = [];
  #isRunning = true;
  readonly #done: Promise<void>;

  /** @param addresses - the daemons' operations addresses */
  constructor(addresses: readonly string[]) {
    this.#addresses = addresses;
    this.#done = this.#run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isRunning = false;
    await this.#done;
  }

  async #run(): Promise<void> {
    while (this.#isRunning) {
      await Promise.all(
        this.#addresses.map((address) => this.#sample(address)),
      );
      await sleep(SAMPLE_INTERVAL);
    }
  }

  async #sample(address: string): Promise<void> {
    const answer = await request(`http://${address}/status`);
    const { id, lists } = (await answer.body.json()) as IDaemonStatus;
    for (const { list, version } of lists) {
      const key = `${id} ${list}`;
      const highest = this.#highest.get(key) ?? 0;
      if (version < highest) {
        this.regressions.push(`${key}: ${highest} to ${version}`);
      }
      this.#highest.set(key, Math.max(version, highest));
    }
  }
}
