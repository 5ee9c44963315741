/** What is known of the instances in this zone, and how fresh it is. */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { IInstance, InstanceId, ISeenReport, ZoneName } from "../types.ts";
import type { IClock, IPlatform, ITargets } from "./services.ts";

/** How often and how long to ask, in milliseconds. */
export interface IDirectoryTiming {
  readonly pollEvery: number;
  readonly pollTimeout: number;
  readonly instancesEvery: number;
}

/**
 * Reads the platform's list of instances and polls each target of the zone.
 * The list lags, so a target's own silence or word counts for more.
 */
export class TargetDirectory implements IDisposable {
  readonly #platform: IPlatform;
  readonly #targets: ITargets;
  readonly #clock: IClock;
  readonly #zone: ZoneName;
  readonly #timing: IDirectoryTiming;
  readonly #owned = new DisposableStore();
  readonly #asking = new Set<InstanceId>();
  #instances = new Map<InstanceId, IInstance>();
  readonly #reports = new Map<InstanceId, ISeenReport>();

  constructor(
    ports: {
      readonly platform: IPlatform;
      readonly targets: ITargets;
      readonly clock: IClock;
    },
    options: { readonly zone: ZoneName; readonly timing: IDirectoryTiming },
  ) {
    this.#platform = ports.platform;
    this.#targets = ports.targets;
    this.#clock = ports.clock;
    this.#zone = options.zone;
    this.#timing = options.timing;
  }

  /** Instances of this zone by the platform's lagging list. */
  get instances(): ReadonlyMap<InstanceId, IInstance> {
    return this.#instances;
  }

  /** The last report of each target. */
  get reports(): ReadonlyMap<InstanceId, ISeenReport> {
    return this.#reports;
  }

  start(): void {
    void this.#readInstances();
    const { instancesEvery, pollEvery } = this.#timing;
    this.#owned.add(
      this.#clock.every(instancesEvery, () => void this.#readInstances()),
    );
    this.#owned.add(this.#clock.every(pollEvery, () => this.#pollAll()));
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #readInstances(): Promise<void> {
    const listed = await this.#platform.instances();
    if (listed.isErr()) {
      return;
    }
    const here = listed.value.filter((entry) => entry.zone === this.#zone);
    this.#instances = new Map(here.map((entry) => [entry.id, entry]));
    for (const id of this.#reports.keys()) {
      if (!this.#instances.has(id)) {
        this.#reports.delete(id);
      }
    }
  }

  #pollAll(): void {
    for (const instance of this.#instances.values()) {
      void this.#poll(instance);
    }
  }

  async #poll(instance: IInstance): Promise<void> {
    if (this.#asking.has(instance.id)) {
      return;
    }
    this.#asking.add(instance.id);
    const askedAt = this.#clock.now();
    const { pollTimeout } = this.#timing;
    const answer = await this.#targets.report(instance.address, pollTimeout);
    this.#asking.delete(instance.id);
    if (answer.isOk() && answer.value.instance === instance.id) {
      this.#reports.set(instance.id, {
        report: answer.value,
        seenAt: askedAt,
      });
    }
  }
}
