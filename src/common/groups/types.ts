/** Replica groups and the lease on the record that holds them. */
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
  /** In order of rank; the first takes requests. */
  readonly members: readonly InstanceId[];
  /**
   * The process run of each member when this generation was formed. A member
   * restarted since then has lost its state and is no longer present.
   */
  readonly incarnations: readonly string[];
}

/** One object of the platform a fabric domain: its lease and its groups. */
export interface IDomainRecord {
  readonly domain: DomainName;
  /** Rises by one each time the lease changes hands. */
  readonly epoch: number;
  /** Null once a holder has given the lease back. */
  readonly holder: DaemonId | null;
  /** Names the write that made this content, to resolve a lost answer. */
  readonly attempt: string;
  /** The number of the next group, never used twice in this domain. */
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
  /** How long a lease lasts from the moment its renewal was sent. */
  readonly leaseTime: number;
  /** How long observers wait beyond it before they take over. */
  readonly takeoverMargin: number;
  /** How long before its end a holder stops giving orders. */
  readonly safetyMargin: number;
  /** How often a holder renews. */
  readonly renewEvery: number;
  /** A longer gap between two ticks counts as a pause of the process. */
  readonly pauseBound: number;
}

/** What the lease asks its host to do. */
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
