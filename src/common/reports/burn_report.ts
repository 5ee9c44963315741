/** Merges the counts of all daemons into a report of service-level burn. */
import { decodeFromCompressedBase64 } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { buildHistogram } from "./burn_counter.ts";
import { BURN_WINDOWS, BurnMeasure } from "./burn_types.ts";
import type {
  IBurnCount,
  IBurnPoint,
  IDaemonBurn,
  IMeasureCounts,
  IObjective,
  Objectives,
} from "./burn_types.ts";

/** Quantiles reported for each measure, in percent. */
const QUANTILES = { median: 50, ninetyFifth: 95, ninetyNinth: 99 };

/** One measure of a service and client account, over all daemons. */
export interface IBurnRow {
  readonly service: string;
  readonly account: string;
  readonly measure: BurnMeasure;
  readonly objective: IObjective;
  readonly windows: readonly IBurnWindow[];
  readonly series: readonly IBurnPoint[];
  /**
   * Milliseconds, over the last one to two hours; null if there are no counts.
   */
  readonly latency: ILatency | null;
}

/** One window of a row. */
export interface IBurnWindow extends IBurnCount {
  readonly name: string;
  /**
   * Burn rate of the error budget: the bad share divided by the share that may
   * be bad. Above 1 the objective is being missed; null if there were no
   * requests.
   */
  readonly burn: number | null;
}

/** Quantiles in milliseconds. */
export interface ILatency {
  readonly median: number;
  readonly ninetyFifth: number;
  readonly ninetyNinth: number;
}

export interface IBurnReport {
  /** Calendar time, milliseconds since 1970. */
  readonly now: number;
  /** Daemons whose counts are included, with the start of their counting. */
  readonly daemons: readonly {
    readonly daemon: string;
    readonly zone: string;
    readonly since: number;
  }[];
  /** Daemons that did not answer; their counts are missing. */
  readonly silent: readonly string[];
  readonly rows: readonly IBurnRow[];
}

/** @param now - calendar time, milliseconds since 1970 */
export function buildBurnReport(
  daemons: readonly IDaemonBurn[],
  silent: readonly string[],
  now: number,
): IBurnReport {
  const objectives = daemons[0]?.objectives;
  return {
    now,
    daemons: daemons.map(({ daemon, zone, since }) => ({
      daemon,
      zone,
      since,
    })),
    silent,
    rows: objectives === undefined ? [] : mergeRows(daemons, objectives),
  };
}

function mergeRows(
  daemons: readonly IDaemonBurn[],
  objectives: Objectives,
): readonly IBurnRow[] {
  const parts = daemons.flatMap((daemon) => daemon.parts);
  const pairs = new Map(
    parts.map(({ service, account }) => [
      JSON.stringify([service, account]),
      { service, account },
    ]),
  );
  return [...pairs.keys()].sort().flatMap((key) => {
    const { service, account } = pairs.get(key) ?? { service: "", account: "" };
    const own = parts.filter(
      (part) => part.service === service && part.account === account,
    );
    return Object.values(BurnMeasure)
      .map((measure) => ({
        service,
        account,
        measure,
        objective: objectives[measure],
        ...mergeMeasure(
          own.map((part) => part.measures[measure]),
          objectives[measure],
        ),
      }))
      .filter(({ windows }) => windows.some(({ total }) => total > 0));
  });
}

function mergeMeasure(
  measured: readonly IMeasureCounts[],
  objective: IObjective,
): Pick<IBurnRow, "windows" | "series" | "latency"> {
  const windows = BURN_WINDOWS.map(({ name }, index) => {
    const counts = measured.map(({ windows: all }) => all[index]);
    const { total, bad } = sum(counts);
    return { name, total, bad, burn: burnRate({ total, bad }, objective) };
  });
  const points = measured.flatMap(({ series }) => series);
  const timestamps = [...new Set(points.map(({ from }) => from))].sort(
    (left, right) => left - right,
  );
  const series = timestamps.map((from) => ({
    from,
    ...sum(points.filter((point) => point.from === from)),
  }));
  return { windows, series, latency: mergeLatency(measured) };
}

/**
 * The burn rate: the bad share divided by the share that may be bad, or null if
 * nothing was counted.
 */
export function burnRate(
  count: IBurnCount,
  objective: IObjective,
): number | null {
  const { total, bad } = count;
  return total === 0 ? null : bad / total / (1 - objective.share);
}

function mergeLatency(measured: readonly IMeasureCounts[]): ILatency | null {
  const merged = buildHistogram();
  for (const { histogram } of measured) {
    merged.add(decodeFromCompressedBase64(histogram) as Histogram);
  }
  if (merged.totalCount === 0) {
    return null;
  }
  return {
    median: merged.getValueAtPercentile(QUANTILES.median),
    ninetyFifth: merged.getValueAtPercentile(QUANTILES.ninetyFifth),
    ninetyNinth: merged.getValueAtPercentile(QUANTILES.ninetyNinth),
  };
}

function sum(counts: readonly (IBurnCount | undefined)[]): IBurnCount {
  let total = 0;
  let bad = 0;
  for (const count of counts) {
    total += count?.total ?? 0;
    bad += count?.bad ?? 0;
  }
  return { total, bad };
}
