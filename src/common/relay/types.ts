/**
 * Store updates that the lease holder distributes, and the versions they
 * extend.
 */
import type { IListedTarget } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";

/** The store versions that a process has, by kind; 0 for none. */
export interface IStoreVersions {
  readonly configuration: number;
  readonly targets: number;
}

/** A time in which the store has served without a gap. */
export interface IServiceSpan {
  /** Milliseconds since its end, an answer of the store to any process. */
  readonly age: number;
  /** Its milliseconds. */
  readonly length: number;
}

/** The holder's knowledge of the objects of one kind. */
export interface IKindStatus {
  /** The store's version at its last answer to the holder. */
  readonly version: number;
  /** No object has changed since this version. */
  readonly changedVersion: number;
  /** Milliseconds since that answer. */
  readonly age: number;
  /**
   * Milliseconds since the end of the store's last outage; absent if there was
   * none, or if the holder is of an older build.
   */
  readonly returnAge?: number | undefined;
  /** Absent if that is not known, or from an older build. */
  readonly service?: IServiceSpan | undefined;
  /**
   * Milliseconds within which all objects were written that are not about to be
   * dropped; absent if that is not known, or from an older build.
   */
  readonly renewalAge?: number | undefined;
}

/** Targets that changed, and those that were removed. */
export interface ITargetChanges {
  readonly targets: readonly IListedTarget[];
  readonly removed: readonly InstanceId[];
  /**
   * Targets that were removed and are kept for a while, since their entries may
   * return, with the milliseconds left; absent from an older build.
   */
  readonly expiring?: Readonly<Record<InstanceId, number>> | undefined;
}

/** For how long the store has served, as the reporting process knows. */
export interface IReportedService extends IServiceSpan {
  /** From the last update that it received, whose sender judges its age by it. */
  readonly updateTime: string;
}

/** What the holder knows of the store. */
export interface IStoreUpdate {
  /**
   * The configuration is large and rarely changes: processes without it ask the
   * store.
   */
  readonly configuration: IKindStatus;
  readonly targets: IKindStatus;
  /**
   * Changes since the version that the process reported; null if they are not
   * known that far back.
   */
  readonly targetChanges: ITargetChanges | null;
  /**
   * Names the sender's run and when it sent this, for reports to return; absent
   * from an older build.
   */
  readonly updateTime?: string | undefined;
}
