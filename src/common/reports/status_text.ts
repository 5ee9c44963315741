/** The whole deployment's status as text for people. */
import { PlanListName } from "../plans/types.ts";
import type { IDaemonStatus } from "../services/daemon_status.ts";
import type { IDaemonEntry } from "../services/services.ts";
import { formatDuration, formatTable } from "./text_table.ts";

/** What one daemon answered, or why it did not. */
export interface IStatusAnswer {
  readonly entry: IDaemonEntry;
  readonly answer: IDaemonStatus | null;
  readonly failure: string;
}

/** What the report is made of. */
export interface IStatusReport {
  readonly daemons: readonly IStatusAnswer[];
  /** Entries on the platform that could not be read, already formatted. */
  readonly findings: readonly string[];
  /** Calendar time of the report, milliseconds since 1970. */
  readonly now: number;
}

const NONE = "-";

/** Versions, daemons, domains, groups, and what is degraded since when. */
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
  const zones = unique(statuses.map(({ zone }) => zone));
  const lists = Object.values(PlanListName).map((list) => [
    `  ${list}`,
    ...zones.map((zone) => rangeIn(statuses, zone, list)),
  ]);
  return zones.length === 0 ? [] : [["", ...zones], ...lists];
}

/** One version, or the lowest and highest where a zone's daemons differ. */
function rangeIn(
  statuses: readonly IDaemonStatus[],
  zone: string,
  list: PlanListName,
): string {
  const versions = statuses
    .filter((status) => status.zone === zone)
    .flatMap((status) => status.lists)
    .filter((held) => held.list === list)
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
  return [head, ...rows.sort(byText)];
}

function stateOf(status: IDaemonStatus): string {
  if (status.stopping) {
    return "stopping";
  }
  return status.ready ? "ready" : "not ready";
}

/** Each domain as the daemon that has seen its latest epoch tells it. */
function domainRows(statuses: readonly IDaemonStatus[]): string[][] {
  const seen = new Map<string, IDaemonStatus["domains"][number]>();
  for (const domain of statuses.flatMap((status) => status.domains)) {
    if ((seen.get(domain.domain)?.epoch ?? -1) < domain.epoch) {
      seen.set(domain.domain, domain);
    }
  }
  const rows = [...seen.values()].map(({ domain, holder, epoch }) => [
    `  ${domain}`,
    holder ?? NONE,
    String(epoch),
  ]);
  const head = ["  domain", "lease holder", "epoch"];
  return rows.length === 0 ? [] : [head, ...rows.sort(byText)];
}

/** Each group at the latest generation told of it, zone by zone. */
function groupRows(statuses: readonly IDaemonStatus[]): string[][] {
  type Group = IDaemonStatus["groups"][number];
  const seen = new Map<string, { zone: string; group: Group }>();
  for (const { zone, groups } of statuses) {
    for (const group of groups) {
      const key = JSON.stringify([zone, group.id, group.service]);
      const known = seen.get(key)?.group.generation ?? -1;
      if (known < group.generation) {
        seen.set(key, { zone, group });
      }
    }
  }
  const rows = [...seen.values()].map(({ zone, group }) => [
    `  ${zone}`,
    group.id,
    group.service,
    String(group.generation),
    group.complete ? "complete" : "not complete",
    group.members.join(" "),
  ]);
  const head = ["  zone", "group", "service", "generation", "state", "members"];
  return rows.length === 0 ? [] : [head, ...rows.sort(byText)];
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
  return rows.sort(byText);
}

function findingRows(
  report: IStatusReport,
  statuses: readonly IDaemonStatus[],
): string[][] {
  const all = statuses.flatMap(({ findings }) => findings);
  return unique([...report.findings, ...all]).map((text) => [`  ${text}`]);
}

function unique(texts: readonly string[]): string[] {
  return [...new Set(texts)].sort();
}

function byText(left: readonly string[], right: readonly string[]): number {
  const [one, other] = [left.join("\n"), right.join("\n")];
  if (one === other) {
    return 0;
  }
  return one < other ? -1 : 1;
}
