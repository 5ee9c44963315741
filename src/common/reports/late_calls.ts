/**
 * Summarizes late and unserved model calls from the logs of many processes: how
 * many calls of each model, by cause, with example requests. Does no I/O: takes
 * log fields and returns text.
 */
import type { ILogLine } from "./request_timeline.ts";
import { formatTable } from "./text_table.ts";

/** Why a call was not answered on time. */
export enum LateCause {
  /** The call waited for a group, which delayed its first event. */
  Waited = "waited",
  /** The call was sent without waiting, but its first event was late. */
  SlowFirstEvent = "slow_first_event",
  /** Its group was abandoned before the first event. */
  MovedBeforeFirstEvent = "moved_before_first_event",
  /** Its group was abandoned within the answer, which paused for too long. */
  MovedWithinAnswer = "moved_within_answer",
  /** The answer paused for too long although it came from one group. */
  Paused = "paused",
  /** The caller left before the end. */
  CallerLeft = "caller_left",
  /** Rejected, or ended without an answer. */
  NotServed = "not_served",
}

/** The calls of one model that were late for one cause. */
export interface ILateRow {
  readonly model: string;
  readonly cause: LateCause;
  /** The logged reason if the call was not served; otherwise empty. */
  readonly reason: string;
  readonly calls: number;
  /** Share of all calls of the model. */
  readonly share: number;
  /**
   * The second with the most of these calls, counted from the first log line,
   * and their number.
   */
  readonly worst: { readonly second: number; readonly calls: number };
  /** Example request identifiers, for use with the explain command. */
  readonly examples: readonly string[];
}

/** Milliseconds; a longer wait, not the group, is why a first event is late. */
const NOTICEABLE_WAIT = 40;

const MAXIMUM_EXAMPLES = 2;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;

const WHOLE = "whole";
const CALLER_LEFT = "caller_left";

interface ILateCall {
  readonly request: string;
  readonly at: number;
}

/** Returns the rows of all models, by descending number of calls. */
export function summarizeLateCalls(
  lines: readonly ILogLine[],
): readonly ILateRow[] {
  const calls = lines.filter(({ fields }) => fields["event"] === "model_call");
  const start = Math.min(...lines.map(({ at }) => at));
  const totals = new Map<string, number>();
  const late = new Map<string, ILateCall[]>();
  for (const { at, fields } of calls) {
    const model = fields["model"] ?? "";
    totals.set(model, (totals.get(model) ?? 0) + 1);
    const cause = classifyCause(fields);
    if (cause !== null) {
      const isServed = cause !== LateCause.NotServed;
      const reason = isServed ? "" : (fields["reason"] ?? "");
      const key = JSON.stringify([model, cause, reason]);
      const call = { request: fields["request"] ?? "", at: at - start };
      late.set(key, [...(late.get(key) ?? []), call]);
    }
  }
  return [...late]
    .map(([key, found]) => buildRow(key, found, totals))
    .sort((one, other) => other.calls - one.calls);
}

/** Formats the rows as a table. */
export function formatLateCalls(rows: readonly ILateRow[]): string {
  const head = [
    "model",
    "cause",
    "reason",
    "calls",
    "share",
    "worst second",
    "examples",
  ];
  const body = rows.map((row) => [
    row.model,
    row.cause,
    row.reason,
    String(row.calls),
    `${(row.share * PERCENT).toFixed(1)} %`,
    `${row.worst.second} (${row.worst.calls})`,
    row.examples.join(" "),
  ]);
  return formatTable([head, ...body]);
}

/** The cause of a late call, or null if it was answered on time. */
function classifyCause(fields: ILogLine["fields"]): LateCause | null {
  const { outcome } = fields;
  if (outcome === CALLER_LEFT) {
    return LateCause.CallerLeft;
  }
  if (outcome !== WHOLE) {
    return LateCause.NotServed;
  }
  const wasMoved = numberField(fields, "sends") > 1;
  // Logs of older processes have no objective; their first events cannot be
  // classified as late.
  const objective = numberField(fields, "objective_ms");
  if (objective > 0 && numberField(fields, "first_event_ms") > objective) {
    if (wasMoved) {
      return LateCause.MovedBeforeFirstEvent;
    }
    return numberField(fields, "waited_ms") > NOTICEABLE_WAIT
      ? LateCause.Waited
      : LateCause.SlowFirstEvent;
  }
  const limit = numberField(fields, "pause_limit_ms");
  const hasPaused =
    limit > 0 && numberField(fields, "longest_pause_ms") > limit;
  if (!hasPaused) {
    return null;
  }
  return wasMoved ? LateCause.MovedWithinAnswer : LateCause.Paused;
}

function buildRow(
  key: string,
  lateCalls: readonly ILateCall[],
  totals: ReadonlyMap<string, number>,
): ILateRow {
  const [model, cause, reason] = JSON.parse(key) as [string, LateCause, string];
  return {
    model,
    cause,
    reason,
    calls: lateCalls.length,
    share: lateCalls.length / (totals.get(model) ?? 1),
    worst: worstSecond(lateCalls),
    examples: lateCalls
      .slice(0, MAXIMUM_EXAMPLES)
      .map(({ request }) => request),
  };
}

function worstSecond(lateCalls: readonly ILateCall[]): ILateRow["worst"] {
  const counts = new Map<number, number>();
  for (const { at } of lateCalls) {
    const second = Math.floor(at / MILLISECONDS_PER_SECOND);
    counts.set(second, (counts.get(second) ?? 0) + 1);
  }
  const [[second, calls] = [0, 0]] = [...counts].sort(
    ([, one], [, other]) => other - one,
  );
  return { second, calls };
}

function numberField(fields: ILogLine["fields"], name: string): number {
  return Number(fields[name] ?? 0);
}
