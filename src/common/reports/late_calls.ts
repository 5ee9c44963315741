/**
 * Where the time of model calls is lost, from many processes' logs: how many of
 * each model's calls were late or not served, by cause, with examples to look
 * up. Platform-free: lines go in as fields, text comes out.
 */
import type { ILogLine } from "./request_timeline.ts";
import { formatTable } from "./text_table.ts";

/** Why a call was not answered on time. */
export enum LateCause {
  /** It waited for a group, and its first event was late. */
  Waited = "waited",
  /** It was sent at once, and its first event was late all the same. */
  SlowFirstEvent = "slow_first_event",
  /** Its group was given up before the first event. */
  MovedBeforeFirstEvent = "moved_before_first_event",
  /** Its group was given up within the answer, which paused for too long. */
  MovedWithinAnswer = "moved_within_answer",
  /** The answer paused for too long though it came from one group. */
  Paused = "paused",
  /** The caller left before the end. */
  CallerLeft = "caller_left",
  /** Turned away, or ended without an answer. */
  NotServed = "not_served",
}

/** The calls of one model that one cause made late. */
export interface ILateRow {
  readonly model: string;
  readonly cause: LateCause;
  /** The reason as logged, where the call was not served. */
  readonly reason: string;
  readonly calls: number;
  /** Part of the model's calls. */
  readonly share: number;
  /** Seconds since the first line with the most of them, and how many. */
  readonly worst: { readonly second: number; readonly calls: number };
  /** Some of the requests, to be explained one by one. */
  readonly examples: readonly string[];
}

/** A wait that makes a first event late rather than its group, milliseconds. */
const NOTICEABLE_WAIT = 40;

const MOST_EXAMPLES = 2;
const MILLISECONDS_A_SECOND = 1_000;
const PERCENT = 100;

const WHOLE = "whole";
const CALLER_LEFT = "caller_left";

interface ILateCall {
  readonly request: string;
  readonly at: number;
}

/** The rows of all models, the largest first. */
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
    const cause = causeOf(fields);
    if (cause !== null) {
      const isServed = cause !== LateCause.NotServed;
      const reason = isServed ? "" : (fields["reason"] ?? "");
      const key = JSON.stringify([model, cause, reason]);
      const call = { request: fields["request"] ?? "", at: at - start };
      late.set(key, [...(late.get(key) ?? []), call]);
    }
  }
  return [...late]
    .map(([key, found]) => rowOf(key, found, totals))
    .sort((one, other) => other.calls - one.calls);
}

/** A line a row, for people. */
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

/** Null for a call that was answered on time. */
function causeOf(fields: ILogLine["fields"]): LateCause | null {
  const { outcome } = fields;
  if (outcome === CALLER_LEFT) {
    return LateCause.CallerLeft;
  }
  if (outcome !== WHOLE) {
    return LateCause.NotServed;
  }
  const wasMoved = numberOf(fields, "sends") > 1;
  // Logs of older processes name no objective, so nothing is known to be late.
  const objective = numberOf(fields, "objective_ms");
  if (objective > 0 && numberOf(fields, "first_event_ms") > objective) {
    if (wasMoved) {
      return LateCause.MovedBeforeFirstEvent;
    }
    return numberOf(fields, "waited_ms") > NOTICEABLE_WAIT
      ? LateCause.Waited
      : LateCause.SlowFirstEvent;
  }
  const limit = numberOf(fields, "pause_limit_ms");
  const hasPaused = limit > 0 && numberOf(fields, "longest_pause_ms") > limit;
  if (!hasPaused) {
    return null;
  }
  return wasMoved ? LateCause.MovedWithinAnswer : LateCause.Paused;
}

function rowOf(
  key: string,
  found: readonly ILateCall[],
  totals: ReadonlyMap<string, number>,
): ILateRow {
  const [model, cause, reason] = JSON.parse(key) as [string, LateCause, string];
  return {
    model,
    cause,
    reason,
    calls: found.length,
    share: found.length / (totals.get(model) ?? 1),
    worst: worstSecond(found),
    examples: found.slice(0, MOST_EXAMPLES).map(({ request }) => request),
  };
}

function worstSecond(found: readonly ILateCall[]): ILateRow["worst"] {
  const counts = new Map<number, number>();
  for (const { at } of found) {
    const second = Math.floor(at / MILLISECONDS_A_SECOND);
    counts.set(second, (counts.get(second) ?? 0) + 1);
  }
  const [[second, calls] = [0, 0]] = [...counts].sort(
    ([, one], [, other]) => other - one,
  );
  return { second, calls };
}

function numberOf(fields: ILogLine["fields"], name: string): number {
  return Number(fields[name] ?? 0);
}
