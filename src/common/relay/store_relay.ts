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
import type {
  IReportedService,
  IStoreVersions,
  IStoreUpdate,
} from "./types.ts";

/** Between the run and the time in {@link IStoreUpdate.updateTime}. */
const TIME_SEPARATOR = "@";

/** Dependencies of {@link StoreRelay}. */
export interface IStoreRelayParts {
  readonly configuration: ObjectFollower;
  readonly targetList: ObjectFollower;
  readonly targets: TargetRegistry;
  readonly clock: IClock;
  /** Unique to this run of the process. */
  readonly runId: string;
  /** Called when the holder has sent target changes. */
  readonly onTargetsUpdated: () => void;
}

/** Sends and receives store updates. */
export class StoreRelay {
  readonly #parts: IStoreRelayParts;
  readonly #changeLog = new TargetChangeLog();
  /** All targets were written since this time, but those that are missing. */
  #renewedSince: MonotonicTime = Number.NEGATIVE_INFINITY;
  /** Of the last update that this process received. */
  #updateTime: string | null = null;

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
   * For how long the store has served, to report to the holder, which may have
   * missed it; null while that is not known.
   */
  get service(): IReportedService | null {
    const span = this.#parts.targetList.status?.service;
    return span === undefined || this.#updateTime === null
      ? null
      : { ...span, updateTime: this.#updateTime };
  }

  /** Receives what another process reports of the store. */
  receiveService({ updateTime, ...span }: IReportedService): void {
    const { targetList, clock, runId } = this.#parts;
    const [sender, time] = updateTime.split(TIME_SEPARATOR);
    if (sender === runId) {
      // The report may have waited, but it was composed after that update.
      const notBefore = Number(time);
      const now = clock.now();
      targetList.availability.recordService(span, { notBefore, now });
    }
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
      updateTime: `${this.#parts.runId}${TIME_SEPARATOR}${this.#parts.clock.now()}`,
    };
  }

  /**
   * Applies the holder's update, with the changes since the versions that this
   * process reported.
   *
   * @param askedAt - when this process asked for it
   */
  applyUpdate(
    { configuration, targets, targetChanges, updateTime }: IStoreUpdate,
    askedAt: MonotonicTime,
  ): void {
    this.#updateTime = updateTime ?? null;
    const { targetList, clock } = this.#parts;
    this.#parts.configuration.receiveRelayedStatus(configuration, askedAt);
    targetList.receiveRelayedStatus(targets, askedAt);
    const isNewer = targets.version > targetList.version;
    if (targetChanges !== null && isNewer && targetList.isLoaded) {
      const { version } = targets;
      const { availability } = targetList;
      const now = clock.now();
      this.#parts.targets.applyRelayedChanges(targetChanges, availability, now);
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
