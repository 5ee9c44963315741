/** Formats the burn report as text. */
import { BurnMeasure } from "./burn_types.ts";
import type { IObjective } from "./burn_types.ts";
import type { IBurnReport, IBurnRow, ILatency } from "./burn_report.ts";
import { formatDuration, formatTable } from "./text_table.ts";

const NONE = "-";

const MEASURE_NAMES: Readonly<Record<BurnMeasure, string>> = {
  [BurnMeasure.WholeOnTime]: "whole and on time",
  [BurnMeasure.FirstToken]: "first token",
  [BurnMeasure.BetweenTokens]: "between tokens",
};

/** Writes one line per measure, with the burn rate of each window. */
export function formatBurn(report: IBurnReport): string {
  const windows = report.rows[0]?.windows.map(({ name }) => name) ?? [];
  const head = [
    "service",
    "client account",
    "measure",
    "objective",
    ...windows,
    "p50/p95/p99 ms",
  ];
  const rows = report.rows.map((row) => [
    row.service,
    row.account,
    MEASURE_NAMES[row.measure],
    formatObjective(row.objective),
    ...row.windows.map(({ burn }) => formatBurnRate(burn)),
    formatLatency(row.latency),
  ]);
  const title =
    "Service-level burn: share that missed the objective over the share that\n" +
    "may; above 1 the objective is being missed.\n\n";
  const body =
    rows.length === 0 ? "nothing was counted\n" : formatTable([head, ...rows]);
  return `${title}${body}\n${formatSources(report)}`;
}

/** The title of a row in text and plots. */
export function formatRowTitle(row: IBurnRow): string {
  return `${row.service} / ${row.account}: ${MEASURE_NAMES[row.measure]}`;
}

/** Formats an objective as `95% in 820 ms`. */
export function formatObjective(objective: IObjective): string {
  const share = `${Number((objective.share * 100).toFixed(3))}%`;
  const { within } = objective;
  return within === null ? share : `${share} in ${within} ms`;
}

/**
 * Formats a burn rate with two decimals, or a dash if there were no requests.
 */
export function formatBurnRate(burn: number | null): string {
  return burn === null ? NONE : burn.toFixed(2);
}

/** Formats the median, 95th and 99th percentile in milliseconds. */
export function formatLatency(latency: ILatency | null): string {
  return latency === null
    ? NONE
    : `${latency.median}/${latency.ninetyFifth}/${latency.ninetyNinth}`;
}

/** Lists the daemons whose counts are included and those that are missing. */
export function formatSources(report: IBurnReport): string {
  const counted = report.daemons.map(({ daemon, zone, since }) => [
    `  ${zone}`,
    daemon,
    `counts for ${formatDuration(report.now - since)}`,
  ]);
  const silent = report.silent.map((daemon) => [
    "  missing",
    daemon,
    "no answer",
  ]);
  return `Daemons\n${formatTable([...counted, ...silent])}`;
}
