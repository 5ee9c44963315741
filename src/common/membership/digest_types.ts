/** Digests: what one daemon's polls of targets tell the rest of its zone. */
import type { ITargetReport } from "../types.ts";

/** A report but for its load, which changes far more often. */
export type TargetIdentity = Omit<
  ITargetReport,
  "running" | "queued" | "tokens" | "lag"
>;

/** Versions of a row that a daemon holds, and how old it is there. */
export interface IHeldRow {
  /** Hash of the polling daemon's identifier. */
  readonly poller: number;
  readonly identityVersion: number;
  readonly loadVersion: number;
  /** Milliseconds since the oldest report in it was asked for. */
  readonly age: number;
}

/** A row as sent; what the asker holds already is left out. */
export interface IDigestRow extends IHeldRow {
  readonly identities: readonly TargetIdentity[] | null;
  /** Running, queued, tokens and lag of each target, in order. */
  readonly loads: readonly number[] | null;
}
