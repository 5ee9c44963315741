/**
 * Reports of the zone's targets as each daemon polled them, one row per daemon.
 * Rows are pulled, never pushed: the requester counts a row's age from the time
 * of its request, so a delayed answer makes a report look older than it is and
 * never fresher. Parts that the requester has at the same version are not sent
 * again, only their age is (a conditional fetch).
 */
import type {
  ITimestampedReport,
  ITargetReport,
  MonotonicTime,
} from "../types.ts";
import type { IDigestRow, IHeldRow, TargetIdentity } from "./digest_types.ts";

/** Load values per target in a row. */
const LOADS_PER_TARGET = 4;

/** Age in milliseconds at which a row is dropped, as its daemon is gone. */
const ROW_LIFETIME = 30_000;

interface IRow {
  readonly identityVersion: number;
  readonly loadVersion: number;
  readonly identities: readonly TargetIdentity[];
  readonly loads: readonly number[];
  /** Time of the request for the oldest report in the row, or earlier. */
  readonly seenAt: MonotonicTime;
}

/** Holds this daemon's row and the newest known row of each other daemon. */
export class DigestTable {
  readonly #self: number;
  readonly #rows = new Map<number, IRow>();
  /**
   * This daemon's newest row, kept also while it publishes none: its versions
   * must not be reused for other reports.
   */
  #ownRow: IRow | undefined;

  /** @param self - hash of this daemon's identifier */
  constructor(self: number) {
    this.#self = self;
  }

  /** Replaces this daemon's own row by its recent polls. */
  publish(seen: readonly ITimestampedReport[]): void {
    const before = this.#ownRow;
    if (seen.length === 0) {
      this.#rows.delete(this.#self);
      return;
    }
    const sorted = [...seen].sort((left, right) =>
      left.report.instance < right.report.instance ? -1 : 1,
    );
    const identities = sorted.map(({ report }) => identityOf(report));
    const loads = sorted.flatMap(({ report }) => loadsOf(report));
    const identityVersion = nextVersion(
      before?.identityVersion,
      isSame(before?.identities, identities),
    );
    const isSameLoad =
      identityVersion === before?.identityVersion &&
      isSame(before.loads, loads);
    this.#ownRow = {
      identityVersion,
      loadVersion: nextVersion(before?.loadVersion, isSameLoad),
      identities,
      loads,
      seenAt: Math.min(...seen.map(({ seenAt }) => seenAt)),
    };
    this.#rows.set(this.#self, this.#ownRow);
  }

  /** Versions and ages of the rows held, to be sent with a pull. */
  heldRows(now: MonotonicTime): readonly IHeldRow[] {
    this.#dropExpired(now);
    return [...this.#rows].map(([poller, row]) => headerOf(poller, row, now));
  }

  /** The time that a daemon's row describes, or null. */
  seenAt(poller: number): MonotonicTime | null {
    return this.#rows.get(poller)?.seenAt ?? null;
  }

  /** Rows that are fresher than the requester's. */
  fresherRows(
    held: readonly IHeldRow[],
    now: MonotonicTime,
  ): readonly IDigestRow[] {
    const known = new Map(held.map((row) => [row.poller, row]));
    const rows: IDigestRow[] = [];
    for (const [poller, row] of this.#rows) {
      const header = headerOf(poller, row, now);
      const theirs = known.get(poller);
      if (theirs === undefined || header.age < theirs.age) {
        rows.push({ ...header, ...missingParts(row, theirs) });
      }
    }
    return rows;
  }

  /**
   * Merges an answer; returns the reports that it made fresher.
   * @param askedAt - time of the request on this daemon's clock
   */
  merge(
    rows: readonly IDigestRow[],
    askedAt: MonotonicTime,
  ): readonly ITimestampedReport[] {
    return rows.flatMap((row) => this.#mergeRow(row, askedAt - row.age));
  }

  #mergeRow(
    row: IDigestRow,
    seenAt: MonotonicTime,
  ): readonly ITimestampedReport[] {
    const before = this.#rows.get(row.poller);
    const isOlder = before !== undefined && before.seenAt >= seenAt;
    if (row.poller === this.#self || isOlder) {
      return [];
    }
    const { identityVersion, loadVersion } = row;
    const identities =
      row.identities ??
      (before?.identityVersion === identityVersion ? before.identities : null);
    const loads =
      row.loads ?? (before?.loadVersion === loadVersion ? before.loads : null);
    if (
      identities === null ||
      loads?.length !== identities.length * LOADS_PER_TARGET
    ) {
      return [];
    }
    this.#rows.set(row.poller, {
      identityVersion,
      loadVersion,
      identities,
      loads,
      seenAt,
    });
    return identities.map((identity, index) => ({
      report: reportOf(identity, loads, index * LOADS_PER_TARGET),
      seenAt,
    }));
  }

  #dropExpired(now: MonotonicTime): void {
    for (const [poller, { seenAt }] of this.#rows) {
      if (now - seenAt > ROW_LIFETIME) {
        this.#rows.delete(poller);
      }
    }
  }
}

function headerOf(poller: number, row: IRow, now: MonotonicTime): IHeldRow {
  const { identityVersion, loadVersion, seenAt } = row;
  const age = Math.ceil(now - seenAt);
  return { poller, identityVersion, loadVersion, age };
}

function missingParts(
  row: IRow,
  theirs: IHeldRow | undefined,
): Pick<IDigestRow, "identities" | "loads"> {
  const hasIdentities = theirs?.identityVersion === row.identityVersion;
  const hasLoads = theirs?.loadVersion === row.loadVersion;
  return {
    identities: hasIdentities ? null : row.identities,
    loads: hasLoads ? null : row.loads,
  };
}

function nextVersion(before: number | undefined, isSame: boolean): number {
  return isSame ? (before ?? 0) : (before ?? 0) + 1;
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

function identityOf(report: ITargetReport): TargetIdentity {
  const { instance, incarnation, state, membership, model } = report;
  return { instance, incarnation, state, membership, model };
}

function loadsOf(report: ITargetReport): readonly number[] {
  const { running, queued, tokens, lag } = report;
  return [running, queued, tokens, Math.ceil(lag)];
}

function reportOf(
  identity: TargetIdentity,
  loads: readonly number[],
  from: number,
): ITargetReport {
  const [running = 0, queued = 0, tokens = 0, lag = 0] = loads.slice(
    from,
    from + LOADS_PER_TARGET,
  );
  return { ...identity, running, queued, tokens, lag };
}
