/** The vocabulary of membership between daemons. All of it is hints. */
import type { IListVersion } from "../services/services.ts";
import type { DaemonId, ZoneName } from "../types.ts";

/** What is believed of a daemon. */
export enum MemberState {
  Alive = "alive",
  /** Did not answer; dead unless it says otherwise in time. */
  Suspect = "suspect",
  Dead = "dead",
  /** Said itself that it leaves, or its address answers as another. */
  Left = "left",
}

/** A daemon and where its peers reach it. */
export interface IMember {
  readonly daemon: DaemonId;
  readonly zone: ZoneName;
  readonly peerAddress: string;
}

/** One statement on a daemon; the higher incarnation is the newer. */
export interface IMemberUpdate {
  readonly member: IMember;
  /** Raised only by the daemon itself, to refute what is said of it. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** What a probe and its answer carry. */
export interface IMemberMessage {
  readonly from: IMemberUpdate;
  /** A hash of the sender's live members: views that differ are compared. */
  readonly viewHash: number;
  readonly news: readonly IMemberUpdate[];
}

/** A probe with what is piggybacked on it. */
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
  /** How long the dead are remembered, and asked whether they are back. */
  readonly retention: number;
}

/** What the state machine asks its runner to do. */
export enum MembershipActionKind {
  Probe = "probe",
  ProbeThrough = "probe_through",
  Synchronize = "synchronize",
  Changed = "changed",
}

/** One thing to do; answers come back as events with the same number. */
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
