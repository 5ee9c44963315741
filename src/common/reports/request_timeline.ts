/**
 * Collects the log lines of one request from many processes, with the events of
 * the groups it was sent to. Does no I/O: takes log fields and returns text.
 */

/** A parsed log line. */
export interface ILogLine {
  /** Calendar time, milliseconds since 1970. */
  readonly at: number;
  readonly fields: Readonly<Record<string, string>>;
}

/** One event of the timeline. */
export interface ITimelineStep {
  /** Calendar time as logged, in ISO 8601. */
  readonly time: string;
  /** Milliseconds since the request's first line; negative before it. */
  readonly after: number;
  readonly process: string;
  readonly event: string;
  /** False for an event of a group that the request was sent to. */
  readonly isOwn: boolean;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, string>>;
}

/** Milliseconds around the request's lines within which group events count. */
const GROUP_EVENT_MARGIN = 2_000;

/** Events that describe the state of a group. */
const GROUP_EVENTS: readonly string[] = ["group", "group_suspected"];

/** Fields that every line has, or that the step already contains. */
const COMMON_FIELDS: readonly string[] = [
  "time",
  "severity",
  "event",
  "process",
  "request",
];

/** The steps in chronological order; empty if no line names the request. */
export function buildTimeline(
  lines: readonly ILogLine[],
  request: string,
): readonly ITimelineStep[] {
  const own = lines.filter(({ fields }) => fields["request"] === request);
  const times = own.map(({ at }) => at).sort((one, other) => one - other);
  const [first] = times;
  const last = times.at(-1);
  if (first === undefined || last === undefined) {
    return [];
  }
  const groups = new Set(own.flatMap(({ fields }) => fields["group"] || []));
  const related = lines.filter(({ at, fields }) => {
    const isWithinMargin =
      at >= first - GROUP_EVENT_MARGIN && at <= last + GROUP_EVENT_MARGIN;
    const isOfGroup = groups.has(fields["group"] ?? "");
    const isGroupEvent = GROUP_EVENTS.includes(fields["event"] ?? "");
    return isWithinMargin && isOfGroup && isGroupEvent;
  });
  return [...own, ...related]
    .sort((one, other) => one.at - other.at)
    .map((line) => buildStep(line, { first, isOwn: own.includes(line) }));
}

/** Formats one line per step. */
export function formatTimeline(steps: readonly ITimelineStep[]): string {
  return steps
    .map(({ after, process, event, isOwn, fields }) => {
      const at = `${after >= 0 ? "+" : ""}${after} ms`.padStart(9);
      const mark = isOwn ? "*" : " ";
      const rest = Object.entries(fields)
        .filter(([, value]) => value !== "")
        .map(([name, value]) => `${name}=${value}`);
      return [at, mark, process, event, ...rest].join(" ");
    })
    .map((line) => `${line}\n`)
    .join("");
}

function buildStep(
  line: ILogLine,
  { first, isOwn }: { readonly first: number; readonly isOwn: boolean },
): ITimelineStep {
  const { at, fields } = line;
  const rest = Object.entries(fields).filter(
    ([name]) => !COMMON_FIELDS.includes(name),
  );
  return {
    time: fields["time"] ?? "",
    after: at - first,
    process: fields["process"] ?? "",
    event: fields["event"] ?? "",
    isOwn,
    fields: Object.fromEntries(rest),
  };
}
