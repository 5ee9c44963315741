/** Log line and metrics of model calls that have ended. */
import type { ILog, IMetrics } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import type { ModelRun } from "./model_run.ts";
import { CallRefusalKind } from "./types.ts";
import type { CallRefusalReason, ICall } from "./types.ts";

/** Outcome of a call whose response was complete. */
export const WHOLE = "whole";

/** Parts of a prompt that a log line names. */
const MAXIMUM_LOGGED_PARTS = 16;

/** Characters of an unknown model's name that a log line contains. */
const MAXIMUM_LOGGED_NAME = 64;

/** How a call ended. */
export interface IModelCallEnd {
  readonly outcome: string;
  /** Further fields of the line, such as the reason. */
  readonly fields: Readonly<Record<string, string | number>>;
  readonly now: MonotonicTime;
  /** Milliseconds since the process received the signal; null before. */
  readonly stoppingFor: number | null;
}

/** Writes one log line per call and counts it. */
export class ModelCallRecorder {
  readonly #log: ILog;
  readonly #metrics: IMetrics;

  constructor(log: ILog, metrics: IMetrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  recordEnd(run: ModelRun, end: IModelCallEnd): void {
    const { outcome, fields, now, stoppingFor } = end;
    const { arrivedAt, route } = run.call;
    const { firstSentAt, lastSentAt, firstEventAt } = run.times;
    const { longestPause, lagWhenRead } = run.times;
    this.#observe(run, now);
    this.#metrics.count("model_calls", { outcome });
    const line = {
      request: run.call.id,
      route: route.name,
      model: run.call.model,
      outcome,
      objective_ms: route.objective,
      pause_limit_ms: route.longestPause,
      waited_ms: since(arrivedAt, firstSentAt),
      last_sent_ms: since(arrivedAt, lastSentAt),
      first_event_ms: since(arrivedAt, firstEventAt),
      longest_pause_ms: Math.round(longestPause),
      took_ms: since(arrivedAt, now),
      read_lag_ms: Math.round(lagWhenRead),
      sends: run.sendCount,
      counted_targets: run.countedTargets,
      attempts: route.maximumAttempts,
      parts: describeParts(run.call.promptParts),
      fingerprint: run.call.fingerprint,
      has_started: run.reply.isStarted,
      stopping_ms: stoppingFor,
      ...fields,
    };
    if (outcome === WHOLE) {
      this.#log.info("model_call", line);
    } else {
      this.#log.warn("model_call", line);
    }
  }

  /** Logs a call that no group can serve; its model may not exist. */
  recordUnserved({ id, route, model }: ICall, reason: CallRefusalReason): void {
    const outcome = CallRefusalKind.NotRun;
    this.#metrics.count("model_calls", { outcome });
    this.#log.warn("model_call", {
      request: id,
      route: route.name,
      model: (model ?? "").slice(0, MAXIMUM_LOGGED_NAME),
      outcome,
      reason,
    });
  }

  /** Logs a call that ends with the process, and what it was waiting for. */
  recordCut(
    { call, reply, openSends, times, sendCount }: ModelRun,
    { now, stoppingFor }: Pick<IModelCallEnd, "now" | "stoppingFor">,
  ): void {
    const targets = openSends.map(({ group }) => group.head.id);
    this.#log.warn("call_cut", {
      request: call.id,
      route: call.route.name,
      targets: targets.join(","),
      sends: sendCount,
      has_started: reply.isStarted,
      took_ms: since(call.arrivedAt, now),
      silent_ms: since(times.lastEventAt ?? times.lastSentAt ?? now, now),
      stopping_ms: stoppingFor,
    });
  }

  #observe(run: ModelRun, now: MonotonicTime): void {
    const { arrivedAt, model } = run.call;
    const { firstSentAt, firstEventAt } = run.times;
    const stages = [
      ["waiting", firstSentAt],
      ["first_event", firstEventAt],
      ["whole", now],
    ] as const;
    for (const [stage, at] of stages) {
      if (at !== null) {
        const labels = { model: model ?? "", stage };
        this.#metrics.observe("model_call_duration", at - arrivedAt, labels);
      }
    }
  }
}

/** Parts of a prompt as logged. */
export function describeParts(parts: readonly string[]): string {
  return parts.slice(0, MAXIMUM_LOGGED_PARTS).join(",");
}

/** Whole milliseconds; null if the end was never reached. */
function since(start: MonotonicTime, end: MonotonicTime | null): number | null {
  return end === null ? null : Math.round(end - start);
}
