/** Replica groups, and the lease on the record that contains them. */
import type {
  DaemonId,
  DomainName,
  GroupId,
  InstanceId,
  ServiceName,
} from "../types.ts";

/** Instances that together hold one replica of a model. */
export interface IReplicaGroup {
  readonly id: GroupId;
  readonly service: ServiceName;
  readonly model: string;
  /** Rises by one on each change of membership. */
  readonly generation: number;
  /** The epoch of the lease under which this generation was formed. */
  readonly epoch: number;
  /** In order of rank; the first receives requests. */
  readonly members: readonly InstanceId[];
  /**
   * The incarnation of each member's process when this generation was formed. A
   * member that has restarted since has lost its state and counts as absent.
   */
  readonly incarnations: readonly string[];
}

/** The platform object of one fabric domain: its lease and its groups. */
export interface IDomainRecord {
  readonly domain: DomainName;
  /** Rises by one each time the lease changes hands. */
  readonly epoch: number;
  /** Null once a holder has released the lease. */
  readonly holder: DaemonId | null;
  /** Identifies the write that made this content, to resolve a lost answer. */
  readonly attempt: string;
  /** The number of the next group; never reused in this domain. */
  readonly nextGroup: number;
  readonly groups: readonly IReplicaGroup[];
}

/** A record as read, with the platform's version of it. */
export interface IVersionedRecord {
  readonly version: number;
  readonly record: IDomainRecord;
}

/** Durations of the lease, in milliseconds. */
export interface ILeaseTiming {
  /** Duration of a lease from the moment its renewal was sent. */
  readonly leaseTime: number;
  /** How long observers wait beyond the lease time before they take over. */
  readonly takeoverMargin: number;
  /** How long before its end a holder stops sending orders. */
  readonly safetyMargin: number;
  /** How often a holder renews the lease. */
  readonly renewEvery: number;
  /** A longer gap between two ticks counts as a pause of the process. */
  readonly pauseBound: number;
}

/** What the lease asks its owner to do. */
export type LeaseAction =
  | {
      readonly kind: LeaseActionKind.Write;
      readonly record: IDomainRecord;
      /** Null creates the object. */
      readonly expectedVersion: number | null;
    }
  | { readonly kind: LeaseActionKind.Read }
  | { readonly kind: LeaseActionKind.Acquired }
  | { readonly kind: LeaseActionKind.Lost };

/** The kinds of {@link LeaseAction}. */
export enum LeaseActionKind {
  Write = "write",
  Read = "read",
  Acquired = "acquired",
  Lost = "lost",
}
