/**
 * Determines where a run record is stored in the platform. Records are spread
 * over a fixed number of kinds, since the platform lists only whole kinds: with
 * a single kind, removing old records would list all records of two days.
 */
import type { IRunKey } from "./run_record.ts";

/**
 * Number of kinds that records are spread over. At the target size (see
 * docs/CAPACITY.md) each holds about 4,400 records, a list of 2 MB.
 */
export const RUN_BUCKET_COUNT = 1_024;

const FNV_OFFSET_BASIS = 2_166_136_261;
const FNV_PRIME = 16_777_619;

/** Kind of the platform objects in a bucket. */
export function bucketKind(bucket: number): string {
  return `runs.${bucket}`;
}

/**
 * Kind and name of a record. The parts are encoded so that different keys
 * cannot have the same name.
 */
export function runRecordLocation(run: IRunKey): {
  kind: string;
  name: string;
} {
  const name = [run.account, run.operation, run.key]
    .map((part) => encodeURIComponent(part))
    .join(":");
  return { kind: bucketKind(fnv1a(name) % RUN_BUCKET_COUNT), name };
}

/** FNV-1a over the characters; for distribution only, not for security. */
function fnv1a(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
}
