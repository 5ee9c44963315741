/** What the lease holder passes on of the store, and what is asked of it. */
import type { IListedTarget } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";

/** The newest answer of the store that a process has, by kind; 0 for none. */
export interface IStoreVersions {
  readonly configuration: number;
  readonly targets: number;
}

/** What the holder knows of the objects of one kind. */
export interface IKindStatus {
  /** The store's version at its last answer to the holder. */
  readonly version: number;
  /** No object has changed since this version. */
  readonly changedVersion: number;
  /** Milliseconds since that answer. */
  readonly age: number;
}

/** Targets that changed, and those that are gone. */
export interface ITargetChanges {
  readonly targets: readonly IListedTarget[];
  readonly removed: readonly InstanceId[];
}

/** The holder's word on the store. */
export interface IStoreUpdate {
  /** Its object is large and seldom changes: who lacks it asks the store. */
  readonly configuration: IKindStatus;
  readonly targets: IKindStatus;
  /** Since the version that was named; null where it is not known so far back. */
  readonly targetChanges: ITargetChanges | null;
}
