/** Digests: the results of one daemon's polls of targets, for its zone. */
import type { ITargetReport } from "../types.ts";

/** A report without its load, which changes far more often. */
export type TargetIdentity = Omit<
  ITargetReport,
  "running" | "queued" | "tokens" | "lag"
>;

/** Versions and age of a row that a daemon holds. */
export interface IHeldRow {
  /** Hash of the polling daemon's identifier. */
  readonly poller: number;
  readonly identityVersion: number;
  readonly loadVersion: number;
  /** Milliseconds since the request for the oldest report in it. */
  readonly age: number;
}

/** A row as sent, without the parts that the requester already has. */
export interface IDigestRow extends IHeldRow {
  readonly identities: readonly TargetIdentity[] | null;
  /** Running, queued, tokens and lag of each target, in order. */
  readonly loads: readonly number[] | null;
}
