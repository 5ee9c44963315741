/**
 * One process's part in distributing store updates: the lease holder sends
 * them, and other processes receive them.
 *
 * If each process watched the configuration and the target list itself, the
 * calls to the store, each of which is charged, would grow with the number of
 * processes, to thousands on a calm day. With a relay they grow with the
 * changes. Only the holder asks all the time; the others ask when it is silent,
 * or when its update is too old.
 */
import type { ObjectFollower } from "../calls/object_follower.ts";
import type { IObjectChanges } from "../calls/object_follower.ts";
import type { TargetRegistry } from "../calls/target_registry.ts";
import type { IClock } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import { TargetChangeLog } from "./target_change_log.ts";
import type { IRecordedChange } from "./target_change_log.ts";
import type { IStoreVersions, IStoreUpdate } from "./types.ts";

/** Dependencies of {@link StoreRelay}. */
export interface IStoreRelayParts {
  readonly configuration: ObjectFollower;
  readonly targetList: ObjectFollower;
  readonly targets: TargetRegistry;
  readonly clock: IClock;
  /** Called when the holder has sent target changes. */
  readonly onTargetsUpdated: () => void;
}

/** Sends and receives store updates. */
export class StoreRelay {
  readonly #parts: IStoreRelayParts;
  readonly #changeLog = new TargetChangeLog();
  /** All targets were written since this time, but those that are missing. */
  #renewedSince: MonotonicTime = Number.NEGATIVE_INFINITY;

  constructor(parts: IStoreRelayParts) {
    this.#parts = parts;
  }

  /** The store versions that this process has. */
  get versions(): IStoreVersions {
    const { configuration, targetList } = this.#parts;
    return {
      configuration: configuration.version,
      targets: targetList.version,
    };
  }

  /**
   * Records changes read from the store itself, which the registry has applied.
   */
  recordTargetChanges({
    objects,
    removed,
    isFullList,
    version,
  }: IObjectChanges) {
    const ids = [...objects.map(({ name }) => name), ...removed];
    this.#record({ version, isFullList, ids });
    this.#renewedSince = this.#parts.targets.renewedSince;
  }

  /**
   * Returns what this process knows beyond what another has; null before all is
   * known.
   *
   * @param versions - what the other process has
   */
  updateFor(versions: IStoreVersions): IStoreUpdate | null {
    const configuration = this.#parts.configuration.status;
    const targets = this.#parts.targetList.status;
    if (configuration === null || targets === null) {
      return null;
    }
    const { changedVersion } = this.#changeLog;
    const renewalAge = this.#parts.clock.now() - this.#renewedSince;
    const renewal = Number.isFinite(renewalAge) ? { renewalAge } : {};
    return {
      configuration,
      targets: { ...targets, changedVersion, ...renewal },
      targetChanges: this.#changeLog.changesSince(versions.targets),
    };
  }

  /**
   * Applies the holder's update, with the changes since the versions that this
   * process reported.
   */
  applyUpdate({ configuration, targets, targetChanges }: IStoreUpdate): void {
    const { targetList, clock } = this.#parts;
    this.#parts.configuration.receiveRelayedStatus(configuration);
    const isNewer = targets.version > targetList.version;
    if (targetChanges !== null && isNewer && targetList.isLoaded) {
      const { version } = targets;
      this.#parts.targets.applyRelayedChanges(targetChanges, clock.now());
      const ids = [
        ...targetChanges.targets.map(({ id }) => id),
        ...targetChanges.removed,
        ...Object.keys(targetChanges.expiring ?? {}),
      ];
      this.#record({ version, isFullList: false, ids });
      targetList.advanceTo(version);
      if (ids.length > 0) {
        this.#parts.onTargetsUpdated();
      }
    }
    targetList.receiveRelayedStatus(targets);
    const { changedVersion, renewalAge } = targets;
    if (renewalAge !== undefined && targetList.version >= changedVersion) {
      this.#parts.targets.recordRenewal(clock.now() - renewalAge);
    }
  }

  #record(change: Omit<IRecordedChange, "all" | "timeLeft">): void {
    const { targets, clock } = this.#parts;
    this.#changeLog.record({
      ...change,
      all: targets.all,
      timeLeft: (id) => targets.timeLeft(id, clock.now()),
    });
  }
}
