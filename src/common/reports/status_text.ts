/** Formats the status of the whole deployment as text. */
import { PlanListName } from "../plans/types.ts";
import type { IDaemonStatus } from "../services/daemon_status.ts";
import type { IDaemonEntry } from "../services/services.ts";
import { formatDuration, formatTable } from "./text_table.ts";

/** The status of one daemon, or why it is missing. */
export interface IStatusAnswer {
  readonly entry: IDaemonEntry;
  readonly answer: IDaemonStatus | null;
  readonly failure: string;
}

/** The input of the report. */
export interface IStatusReport {
  readonly daemons: readonly IStatusAnswer[];
  /** Formatted findings for daemon entries on the platform that are invalid. */
  readonly findings: readonly string[];
  /** Calendar time of the report, milliseconds since 1970. */
  readonly now: number;
}

const NONE = "-";

/** Formats list versions, daemons, domains, groups, alarms and findings. */
export function formatStatus(report: IStatusReport): string {
  const statuses = report.daemons.flatMap(({ answer }) => answer ?? []);
  const sections = [
    section("Plan lists, versions in force", versionRows(statuses)),
    section("Daemons", daemonRows(report.daemons)),
    section("Fabric domains", domainRows(statuses)),
    section("Replica groups", groupRows(statuses)),
    section("Degraded", alarmRows(statuses, report.now)),
    section("Findings", findingRows(report, statuses)),
  ];
  return sections.filter((text) => text !== "").join("\n");
}

function section(title: string, rows: readonly (readonly string[])[]): string {
  return rows.length === 0 ? "" : `${title}\n${formatTable(rows)}`;
}

function versionRows(statuses: readonly IDaemonStatus[]): string[][] {
  const zones = sortedUnique(statuses.map(({ zone }) => zone));
  const lists = Object.values(PlanListName).map((list) => [
    `  ${list}`,
    ...zones.map((zone) => versionRange(statuses, zone, list)),
  ]);
  return zones.length === 0 ? [] : [["", ...zones], ...lists];
}

/** One version, or the lowest and highest if the daemons of a zone differ. */
function versionRange(
  statuses: readonly IDaemonStatus[],
  zone: string,
  list: PlanListName,
): string {
  const versions = statuses
    .filter((status) => status.zone === zone)
    .flatMap((status) => status.lists)
    .filter((entry) => entry.list === list)
    .map(({ version }) => version);
  const lowest = Math.min(...versions);
  const highest = Math.max(...versions);
  const text = (version: number) => (version === 0 ? "none" : String(version));
  return lowest === highest
    ? text(lowest)
    : `${text(lowest)}..${text(highest)}`;
}

function daemonRows(daemons: readonly IStatusAnswer[]): string[][] {
  const rows = daemons.map(({ entry, answer, failure }) => {
    const { zone, instance } = entry;
    if (answer === null) {
      return [`  ${zone}`, instance, "no answer", NONE, failure];
    }
    const { in_flight: inFlight, lists_age_ms: age } = answer;
    const confirmed = age === null ? "never" : `${formatDuration(age)} ago`;
    const state = stateOf(answer);
    return [`  ${zone}`, instance, state, String(inFlight), confirmed];
  });
  const head = ["  zone", "daemon", "state", "in flight", "lists confirmed"];
  return [head, ...rows.sort(compareRows)];
}

function stateOf(status: IDaemonStatus): string {
  if (status.stopping) {
    return "stopping";
  }
  return status.ready ? "ready" : "not ready";
}

/** One row per domain, from the daemon that knows its latest epoch. */
function domainRows(statuses: readonly IDaemonStatus[]): string[][] {
  const latest = new Map<string, IDaemonStatus["domains"][number]>();
  for (const domain of statuses.flatMap((status) => status.domains)) {
    if ((latest.get(domain.domain)?.epoch ?? -1) < domain.epoch) {
      latest.set(domain.domain, domain);
    }
  }
  const rows = [...latest.values()].map(({ domain, holder, epoch }) => [
    `  ${domain}`,
    holder ?? NONE,
    String(epoch),
  ]);
  const head = ["  domain", "lease holder", "epoch"];
  return rows.length === 0 ? [] : [head, ...rows.sort(compareRows)];
}

/** One row per zone, group and service, at the latest generation reported. */
function groupRows(statuses: readonly IDaemonStatus[]): string[][] {
  type Group = IDaemonStatus["groups"][number];
  const latest = new Map<string, { zone: string; group: Group }>();
  for (const { zone, groups } of statuses) {
    for (const group of groups) {
      const key = JSON.stringify([zone, group.id, group.service]);
      const known = latest.get(key)?.group.generation ?? -1;
      if (known < group.generation) {
        latest.set(key, { zone, group });
      }
    }
  }
  const rows = [...latest.values()].map(({ zone, group }) => [
    `  ${zone}`,
    group.id,
    group.service,
    String(group.generation),
    group.complete ? "complete" : "not complete",
    group.members.join(" "),
  ]);
  const head = ["  zone", "group", "service", "generation", "state", "members"];
  return rows.length === 0 ? [] : [head, ...rows.sort(compareRows)];
}

function alarmRows(
  statuses: readonly IDaemonStatus[],
  now: number,
): string[][] {
  const rows = statuses.flatMap(({ daemon, alarms }) =>
    alarms.map(({ alarm, detail, since }) => [
      `  ${daemon}`,
      alarm,
      `for ${formatDuration(now - since)}`,
      detail,
    ]),
  );
  return rows.sort(compareRows);
}

function findingRows(
  report: IStatusReport,
  statuses: readonly IDaemonStatus[],
): string[][] {
  const all = statuses.flatMap(({ findings }) => findings);
  return sortedUnique([...report.findings, ...all]).map((text) => [
    `  ${text}`,
  ]);
}

function sortedUnique(texts: readonly string[]): string[] {
  return [...new Set(texts)].sort();
}

function compareRows(
  left: readonly string[],
  right: readonly string[],
): number {
  const [one, other] = [left.join("\n"), right.join("\n")];
  if (one === other) {
    return 0;
  }
  return one < other ? -1 : 1;
}
