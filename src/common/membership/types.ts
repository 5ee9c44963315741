/** Types of the membership of daemons. Its state is only ever a hint. */
import type { IListVersion } from "../services/services.ts";
import type { DaemonId, ZoneName } from "../types.ts";

/** The state of a daemon in a view. */
export enum MemberState {
  Alive = "alive",
  /** Did not answer; becomes dead unless it refutes that in time. */
  Suspect = "suspect",
  Dead = "dead",
  /** Announced that it leaves, or another daemon answers at its address. */
  Left = "left",
}

/** A daemon and the address at which its peers reach it. */
export interface IMember {
  readonly daemon: DaemonId;
  readonly zone: ZoneName;
  readonly peerAddress: string;
}

/** A statement about one daemon; a higher incarnation is newer. */
export interface IMemberUpdate {
  readonly member: IMember;
  /** Raised only by the daemon itself, to refute statements about it. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Content of a probe and of its answer. */
export interface IMemberMessage {
  readonly from: IMemberUpdate;
  /** Hash of the sender's live members, by which views are compared. */
  readonly viewHash: number;
  readonly news: readonly IMemberUpdate[];
}

/** A probe with the list versions piggybacked on it. */
export interface IProbe {
  readonly message: IMemberMessage;
  readonly versions: readonly IListVersion[];
}

/** Periods and bounds of the protocol, milliseconds. */
export interface IMembershipTiming {
  /** Time from one probe to the next. */
  readonly period: number;
  /** How long a daemon stays suspect before it counts as dead. */
  readonly suspicion: number;
  /** How long dead daemons are kept, and probed in case they are back. */
  readonly retention: number;
}

/** What the state machine requests of its runner. */
export enum MembershipActionKind {
  Probe = "probe",
  ProbeThrough = "probe_through",
  Synchronize = "synchronize",
  Changed = "changed",
}

/** An action; answers are passed back with the same probe number. */
export type MembershipAction =
  | {
      readonly kind: MembershipActionKind.Probe;
      readonly probe: number;
      readonly target: IMember;
      readonly message: IMemberMessage;
    }
  | {
      readonly kind: MembershipActionKind.ProbeThrough;
      readonly probe: number;
      readonly relay: IMember;
      readonly target: IMember;
      readonly message: IMemberMessage;
    }
  | {
      readonly kind: MembershipActionKind.Synchronize;
      readonly target: IMember;
    }
  | { readonly kind: MembershipActionKind.Changed };
