/** What a daemon tells of itself, and where daemons are found. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { wholeFileFinding } from "../plans/findings.ts";
import type { IFinding } from "../plans/types.ts";
import type { IReplicaGroup } from "../groups/types.ts";
import type { IZoneSummary } from "../membership/zone_directory.ts";
import type { IAlarm } from "./alarms.ts";
import type {
  IDaemonEntry,
  IListVersion,
  IPlatformObject,
} from "./services.ts";

/** A daemon's own account of itself, as its operations address gives it. */
export interface IDaemonStatus {
  readonly daemon: string;
  readonly id: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly in_flight: number;
  readonly lists: readonly IListVersion[];
  /** Milliseconds since the platform confirmed the lists; null: never. */
  readonly lists_age_ms: number | null;
  /** Daemons of its zone that it believes live. */
  readonly live_daemons: readonly string[];
  readonly zones: readonly IZoneSummary[];
  readonly alarms: readonly IAlarm[];
  readonly findings: readonly string[];
  readonly domains: readonly IDomainStatus[];
  /** Live engines of the zone in no group. */
  readonly spares: readonly string[];
  readonly groups: readonly IGroupStatus[];
}

/** A replica group as a daemon sees it. */
export interface IGroupStatus extends IReplicaGroup {
  readonly complete: boolean;
  /** Milliseconds for which it could not serve; 0 when it can. */
  readonly down_ms: number;
}

/** A fabric domain as a daemon sees it. */
export interface IDomainStatus {
  readonly domain: string;
  readonly holder: string | null;
  readonly epoch: number;
  readonly holding: boolean;
}

const entrySchema = z.object({
  daemon: z.string().min(1),
  instance: z.string().min(1),
  zone: z.string().min(1),
  peerAddress: z.string().min(1),
  operationsAddress: z.string().min(1),
});

/**
 * Reads daemons' entries. One that someone else wrote is passed over: taking
 * it at its word ended every daemon at its next look at the list.
 */
export function readDaemonEntries(objects: readonly IPlatformObject[]): {
  readonly entries: readonly IDaemonEntry[];
  readonly findings: readonly IFinding[];
} {
  const entries: IDaemonEntry[] = [];
  const findings: IFinding[] = [];
  for (const object of objects) {
    const entry = parseDaemonEntry(object);
    if (entry.isOk()) {
      entries.push(entry.value);
    } else {
      findings.push(...entry.error);
    }
  }
  return { entries, findings };
}

/** Reads one daemon's entry. */
export function parseDaemonEntry(
  object: IPlatformObject,
): Result<IDaemonEntry, readonly IFinding[]> {
  const entry = entrySchema.safeParse(object.value);
  if (entry.success) {
    return Ok(entry.data);
  }
  const source = `${object.kind}/${object.name}`;
  return Err(
    entry.error.issues.map(({ path, message }) => ({
      ...wholeFileFinding(source, message),
      path: path.join("."),
    })),
  );
}
