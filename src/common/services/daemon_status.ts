/** Status that a daemon reports, and the entries by which daemons are found. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { documentFinding } from "../plans/findings.ts";
import type { IFinding } from "../plans/types.ts";
import type { IReplicaGroup } from "../groups/types.ts";
import type { IZoneSummary } from "../membership/zone_directory.ts";
import type { IAlarm } from "./alarms.ts";
import type {
  IDaemonEntry,
  IListVersion,
  IPlatformObject,
} from "./services.ts";

/** A daemon's status, as served at its operations address. */
export interface IDaemonStatus {
  readonly daemon: string;
  readonly id: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly in_flight: number;
  readonly lists: readonly IListVersion[];
  /** Milliseconds since the platform confirmed the lists; null if never. */
  readonly lists_age_ms: number | null;
  /** Daemons of its zone that it considers live. */
  readonly live_daemons: readonly string[];
  readonly zones: readonly IZoneSummary[];
  readonly alarms: readonly IAlarm[];
  readonly findings: readonly string[];
  readonly domains: readonly IDomainStatus[];
  /** Live engines of the zone that are in no group. */
  readonly spares: readonly string[];
  readonly groups: readonly IGroupStatus[];
}

/** A replica group as a daemon sees it. */
export interface IGroupStatus extends IReplicaGroup {
  readonly complete: boolean;
  /** Milliseconds since it became unable to serve; 0 while it can. */
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
 * Parses daemon entries. Entries that are invalid, such as those written by
 * something else, are skipped: one taken unchecked would end every daemon at
 * its next read of the list.
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

/** Parses one daemon's entry. */
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
      ...documentFinding(source, message),
      path: path.join("."),
    })),
  );
}
