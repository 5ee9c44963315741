/**
 * One process's part in passing on what the store says: as the lease holder it
 * tells the others, else it hears of it.
 *
 * Pattern of load: each process watches the configuration and the target list
 * for itself, and the store's calls, each of them paid for, grow with the number
 * of processes; one would notice by calls by the thousand on a calm day. With a
 * relay they grow with the changes. Only the holder asks all the time; the
 * others ask when it is silent, or when its word is too old.
 */
import type { ObjectFollower } from "../calls/object_follower.ts";
import type { IObjectChanges } from "../calls/object_follower.ts";
import type { TargetRegistry } from "../calls/target_registry.ts";
import type { IClock } from "../services/services.ts";
import { TargetChangeLog } from "./target_change_log.ts";
import type { IStoreVersions, IStoreUpdate } from "./types.ts";

/** What the relay stands between. */
export interface IStoreRelayParts {
  readonly configuration: ObjectFollower;
  readonly targetList: ObjectFollower;
  readonly targets: TargetRegistry;
  readonly clock: IClock;
  /** The holder told of changes. */
  readonly onTargetsUpdated: () => void;
}

/** Tells and hears. */
export class StoreRelay {
  readonly #parts: IStoreRelayParts;
  readonly #log = new TargetChangeLog();

  constructor(parts: IStoreRelayParts) {
    this.#parts = parts;
  }

  /** What this process has of the store. */
  get versions(): IStoreVersions {
    const { configuration, targetList } = this.#parts;
    return {
      configuration: configuration.version,
      targets: targetList.version,
    };
  }

  /** The store itself told of changes, which the book has taken. */
  recordTargetChanges({
    objects,
    removed,
    isFullList,
    version,
  }: IObjectChanges) {
    const ids = [...objects.map(({ name }) => name), ...removed];
    this.#log.record({
      version,
      isWhole: isFullList,
      ids,
      all: this.#parts.targets.all,
    });
  }

  /**
   * What is known here beyond what a process has; null before all is known.
   *
   * @param versions - what the process has
   */
  updateFor(versions: IStoreVersions): IStoreUpdate | null {
    const configuration = this.#parts.configuration.status;
    const targets = this.#parts.targetList.status;
    if (configuration === null || targets === null) {
      return null;
    }
    const { changedVersion } = this.#log;
    return {
      configuration,
      targets: { ...targets, changedVersion },
      targetChanges: this.#log.changesSince(versions.targets),
    };
  }

  /** The holder's word, with the changes since what this process named. */
  applyUpdate({ configuration, targets, targetChanges }: IStoreUpdate): void {
    const { targetList, clock } = this.#parts;
    this.#parts.configuration.receiveRelayedStatus(configuration);
    const isNews = targets.version > targetList.version;
    if (targetChanges !== null && isNews && targetList.isLoaded) {
      const { version } = targets;
      this.#parts.targets.applyRelayedChanges(targetChanges, clock.now());
      const ids = [
        ...targetChanges.targets.map(({ id }) => id),
        ...targetChanges.removed,
      ];
      const { all } = this.#parts.targets;
      this.#log.record({ version, isWhole: false, ids, all });
      targetList.advanceTo(version);
      if (ids.length > 0) {
        this.#parts.onTargetsUpdated();
      }
    }
    targetList.receiveRelayedStatus(targets);
  }
}
