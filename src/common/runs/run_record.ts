/**
 * The record of a call that may not be repeated. It is created before the
 * target sees anything; whoever finds one does not run the call.
 */
import { z } from "zod";
import type { AccountName, RequestId } from "../types.ts";

/** How far a recorded call has come. */
export enum RunState {
  /** Created; the target may have acted or may yet. */
  Open = "open",
  /** The answer is recorded. */
  Completed = "completed",
  /** The target certainly did not act; the key may be used again. */
  NotRun = "not_run",
  /** Nobody can tell any more. */
  Unknown = "unknown",
}

const runRecordSchema = z.strictObject({
  account: z.string(),
  operation: z.string(),
  key: z.string(),
  /** Digest of the body: the same key with another body is an error. */
  bodyDigest: z.string(),
  /** Names the try that created it, to resolve a lost answer. */
  attempt: z.string(),
  requestId: z.string(),
  state: z.enum(RunState),
  answer: z.unknown(),
  /** Set when the answer is too large for the platform and is not kept. */
  omitted: z
    .strictObject({ digest: z.string(), bytes: z.number() })
    .nullable()
    .default(null),
  /** Calendar time of creation, milliseconds since 1970. */
  createdAt: z.number(),
  /**
   * Calendar time after which an open record has been left behind by a daemon
   * that died. It changes only what a caller is told, never who may run, so
   * clocks that disagree do no harm.
   */
  openUntil: z.number(),
});

/** A run record as kept by the platform. */
export type RunRecord = z.infer<typeof runRecordSchema>;

/** What stands for an answer that is too large to keep. */
export type OmittedAnswer = NonNullable<RunRecord["omitted"]>;

/** Reads a record back; null when it is not one. */
export function parseRunRecord(value: unknown): RunRecord | null {
  const checked = runRecordSchema.safeParse(value);
  return checked.success ? checked.data : null;
}

/** Identifies a call that may run at most once. */
export interface IRunKey {
  readonly account: AccountName;
  /** Service and operation, as `delivery-api/publish`. */
  readonly operation: string;
  readonly key: string;
}

/** What the first try puts into a record besides its key. */
export interface IRunDetails {
  readonly bodyDigest: string;
  readonly attempt: string;
  readonly requestId: RequestId;
  readonly createdAt: number;
  readonly openUntil: number;
}

/** A new record for a first try. */
export function createOpenRecord(
  run: IRunKey,
  details: IRunDetails,
): RunRecord {
  const state = RunState.Open;
  return { ...run, ...details, state, answer: null, omitted: null };
}

/** What a found record means for the caller that found it. */
export enum ExistingRecordStatus {
  /** This very try created it: its answer was lost on the way. */
  OwnAttempt = "mine",
  /** The same key was used with another body. */
  BodyDiffers = "body_differs",
  Recorded = "recorded",
  InProgress = "in_progress",
  /** It certainly did not run: a new try may take the record over. */
  MayTakeOver = "may_take_over",
  Unknown = "unknown",
}

/**
 * Judges a record found under the key of a call.
 *
 * @param mine - the record this try wants to stand there
 * @param now - calendar time, milliseconds since 1970
 */
export function classifyExistingRecord(
  record: RunRecord,
  mine: RunRecord,
  now: number,
): ExistingRecordStatus {
  if (record.bodyDigest !== mine.bodyDigest) {
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
      if (record.attempt === mine.attempt) {
        return ExistingRecordStatus.OwnAttempt;
      }
      return now <= record.openUntil
        ? ExistingRecordStatus.InProgress
        : ExistingRecordStatus.Unknown;
  }
}

/** What is to be written to withdraw a try whose write is in doubt. */
export interface IWithdrawal {
  readonly record: RunRecord;
  readonly expectedVersion: number | null;
}

/**
 * How to withdraw a try that was answered "not run" while its write may have
 * landed or may land yet. Left alone, the record would stand open with nobody
 * running it, and each repeat by the caller would be told "in progress".
 * Writing over the version that the delayed write expects keeps it from ever
 * taking effect; null when nothing of this try stands or can land any more.
 */
export function withdrawalFor(
  mine: RunRecord,
  found: { readonly record: RunRecord; readonly version: number } | null,
): IWithdrawal | null {
  const withdrawn = { ...mine, state: RunState.NotRun };
  if (found === null) {
    return { record: withdrawn, expectedVersion: null };
  }
  const { record, version } = found;
  if (record.attempt === mine.attempt) {
    return record.state === RunState.Open
      ? { record: withdrawn, expectedVersion: version }
      : null;
  }
  return record.state === RunState.NotRun
    ? { record, expectedVersion: version }
    : null;
}
