/**
 * The record of a call that may not be repeated. It is created before the call
 * is sent to the target; a process that finds an existing record does not run
 * the call.
 */
import { z } from "zod";
import type { AccountName, RequestId } from "../types.ts";

/** The state of a recorded call. */
export enum RunState {
  /** Created; the target may have acted or may still act. */
  Open = "open",
  /** The answer is recorded. */
  Completed = "completed",
  /** The target certainly did not act; the key may be used again. */
  NotRun = "not_run",
  /** It can no longer be determined whether the target acted. */
  Unknown = "unknown",
}

const runRecordSchema = z.strictObject({
  account: z.string(),
  operation: z.string(),
  key: z.string(),
  /** Digest of the body; the same key with another body is an error. */
  bodyDigest: z.string(),
  /** Identifies the attempt that created it, to resolve a lost reply. */
  attempt: z.string(),
  requestId: z.string(),
  state: z.enum(RunState),
  answer: z.unknown(),
  /** Set if the answer is too large for the platform and is not stored. */
  omitted: z
    .strictObject({ digest: z.string(), bytes: z.number() })
    .nullable()
    .default(null),
  /** Calendar time of creation, milliseconds since 1970. */
  createdAt: z.number(),
  /**
   * Calendar time after which an open record is considered left behind by a
   * daemon that died. It affects only the reply to the caller, never which
   * attempt may run, so clock differences do no harm.
   */
  openUntil: z.number(),
});

/** A run record as stored in the platform. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** Describes an answer that is too large to store. */
export type OmittedAnswer = NonNullable<RunRecord["omitted"]>;

/** Parses a run record; null if the value is not one. */
export function parseRunRecord(value: unknown): RunRecord | null {
  const checked = runRecordSchema.safeParse(value);
  return checked.success ? checked.data : null;
}

/** Identifies a call that may run at most once. */
export interface IRunKey {
  readonly account: AccountName;
  /** Service and operation, such as `delivery-api/publish`. */
  readonly operation: string;
  readonly key: string;
}

/** The fields that the first attempt sets besides the key. */
export interface IRunDetails {
  readonly bodyDigest: string;
  readonly attempt: string;
  readonly requestId: RequestId;
  readonly createdAt: number;
  readonly openUntil: number;
}

/** Creates the record of a first attempt. */
export function createOpenRecord(
  run: IRunKey,
  details: IRunDetails,
): RunRecord {
  const state = RunState.Open;
  return { ...run, ...details, state, answer: null, omitted: null };
}

/** The meaning of an existing record for the attempt that finds it. */
export enum ExistingRecordStatus {
  /** This attempt created it, but the reply to the write was lost. */
  OwnAttempt = "mine",
  /** The same key was used with another body. */
  BodyDiffers = "body_differs",
  Recorded = "recorded",
  InProgress = "in_progress",
  /** The call certainly did not run; a new attempt may take over the record. */
  MayTakeOver = "may_take_over",
  Unknown = "unknown",
}

/**
 * Classifies the existing record under the key of a call.
 *
 * @param ownRecord - the record that this attempt tries to create
 * @param now - calendar time, milliseconds since 1970
 */
export function classifyExistingRecord(
  record: RunRecord,
  ownRecord: RunRecord,
  now: number,
): ExistingRecordStatus {
  if (record.bodyDigest !== ownRecord.bodyDigest) {
    return ExistingRecordStatus.BodyDiffers;
  }
  switch (record.state) {
    case RunState.Completed:
      return ExistingRecordStatus.Recorded;
    case RunState.NotRun:
      return ExistingRecordStatus.MayTakeOver;
    case RunState.Unknown:
      return ExistingRecordStatus.Unknown;
    case RunState.Open:
      if (record.attempt === ownRecord.attempt) {
        return ExistingRecordStatus.OwnAttempt;
      }
      return now <= record.openUntil
        ? ExistingRecordStatus.InProgress
        : ExistingRecordStatus.Unknown;
  }
}

/** The write that withdraws an attempt whose own write is in doubt. */
export interface IWithdrawal {
  readonly record: RunRecord;
  readonly expectedVersion: number | null;
}

/**
 * Determines how to withdraw an attempt that was answered "not run" while its
 * write may have taken effect or may still do so. Otherwise the record would
 * stay open with no attempt running it, and each retry of the caller would be
 * answered "in progress". Overwriting the version that the delayed write
 * expects prevents it from ever taking effect. Null if no write of this attempt
 * is in effect or can still take effect.
 */
export function withdrawalFor(
  ownRecord: RunRecord,
  found: { readonly record: RunRecord; readonly version: number } | null,
): IWithdrawal | null {
  const withdrawn = { ...ownRecord, state: RunState.NotRun };
  if (found === null) {
    return { record: withdrawn, expectedVersion: null };
  }
  const { record, version } = found;
  if (record.attempt === ownRecord.attempt) {
    return record.state === RunState.Open
      ? { record: withdrawn, expectedVersion: version }
      : null;
  }
  return record.state === RunState.NotRun
    ? { record, expectedVersion: version }
    : null;
}
