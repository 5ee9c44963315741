/**
 * What many processes' logs tell of one request: its own lines, and what
 * happened meanwhile to the groups it was sent to. Platform-free: lines go in
 * as fields, text comes out.
 */

/** One line of a log. */
export interface ILogLine {
  /** Calendar milliseconds. */
  readonly at: number;
  readonly fields: Readonly<Record<string, string>>;
}

/** One thing that happened, with what decided it. */
export interface ITimelineStep {
  /** Calendar time as logged, ISO 8601. */
  readonly time: string;
  /** Milliseconds since the request's first line; negative before it. */
  readonly after: number;
  readonly process: string;
  readonly event: string;
  /** False for a line about a group that the request was sent to. */
  readonly isOwn: boolean;
  /** The other fields of the line. */
  readonly fields: Readonly<Record<string, string>>;
}

/** How long before the first and after the last line groups are looked at. */
const AROUND = 2_000;

/** Events that tell how a group fared. */
const GROUP_EVENTS: readonly string[] = ["group", "group_suspected"];

/** Fields that every line has, or that the step tells already. */
const COMMON_FIELDS: readonly string[] = [
  "time",
  "severity",
  "event",
  "process",
  "request",
];

/** The steps in order of time; empty if no line names the request. */
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
    const isMeanwhile = at >= first - AROUND && at <= last + AROUND;
    const isOfGroup = groups.has(fields["group"] ?? "");
    const isGroupEvent = GROUP_EVENTS.includes(fields["event"] ?? "");
    return isMeanwhile && isOfGroup && isGroupEvent;
  });
  return [...own, ...related]
    .sort((one, other) => one.at - other.at)
    .map((line) => stepOf(line, { first, isOwn: own.includes(line) }));
}

/** A line a step, for people. */
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

function stepOf(
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
