/**
 * The record of a call that may not be repeated. It is created before the
 * target sees anything; whoever finds one does not run the call.
 */
import { z } from "zod";
import type { AccountName, RequestId } from "../types.ts";
import { Outcome } from "../types.ts";

/** The platform's kind of object that holds run records. */
export const RUN_KIND = "runs";

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
  /** Calendar time of creation, milliseconds since 1970. */
  createdAt: z.number(),
});

/** A run record as kept by the platform. */
export type RunRecord = z.infer<typeof runRecordSchema>;

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

/** A new record for a first try. */
export function openRecord(
  run: IRunKey,
  details: {
    readonly bodyDigest: string;
    readonly attempt: string;
    readonly requestId: RequestId;
    readonly createdAt: number;
  },
): RunRecord {
  return { ...run, ...details, state: RunState.Open, answer: null };
}

/** What a found record means for the caller that found it. */
export enum Finding {
  /** The same key was used with another body. */
  BodyDiffers = "body_differs",
  Recorded = "recorded",
  InProgress = "in_progress",
  /** It certainly did not run: a new try may take the record over. */
  MayTakeOver = "may_take_over",
  Unknown = "unknown",
}

/** Judges a record found under the key of a call. */
export function judgeFound(record: RunRecord, bodyDigest: string): Finding {
  if (record.bodyDigest !== bodyDigest) {
    return Finding.BodyDiffers;
  }
  switch (record.state) {
    case RunState.Completed:
      return Finding.Recorded;
    case RunState.NotRun:
      return Finding.MayTakeOver;
    case RunState.Unknown:
      return Finding.Unknown;
    case RunState.Open:
      return Finding.InProgress;
  }
}

/** The outcome that a finished state tells a caller. */
export function outcomeOf(state: RunState): Outcome {
  switch (state) {
    case RunState.Completed:
      return Outcome.Completed;
    case RunState.NotRun:
      return Outcome.NotRun;
    default:
      return Outcome.Unknown;
  }
}
