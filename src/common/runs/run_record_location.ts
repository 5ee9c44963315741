/**
 * Where in the platform a run record is kept. Records are spread over a fixed
 * number of kinds, since the platform lists whole kinds only: with one kind,
 * removing old records would list all that were made in two days.
 */
import type { IRunKey } from "./run_record.ts";

/**
 * Kinds that records are spread over. At the target size (see
 * docs/CAPACITY.md) about 4,400 records stand in each, a list of 2 MB.
 */
export const RUN_BUCKET_COUNT = 1_024;

const HASH_START = 2_166_136_261;
const HASH_FACTOR = 16_777_619;

/** The kind of the platform's objects in one bucket. */
export function bucketKind(bucket: number): string {
  return `runs.${bucket}`;
}

/** Kind and name of a record; parts are encoded so they cannot run together. */
export function runRecordLocation(run: IRunKey): {
  kind: string;
  name: string;
} {
  const name = [run.account, run.operation, run.key]
    .map((part) => encodeURIComponent(part))
    .join(":");
  return { kind: bucketKind(hashOf(name) % RUN_BUCKET_COUNT), name };
}

/** FNV-1a over the characters; only spreads, protects nothing. */
function hashOf(text: string): number {
  let hash = HASH_START;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_FACTOR) >>> 0;
  }
  return hash;
}
