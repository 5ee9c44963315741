/** Sends model calls to replica groups, and on to others where one fails. */
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { MonotonicTime, ZoneName } from "../types.ts";
import {
  fullBatchGap,
  longestGap,
  readTime,
  runTime,
} from "./engine_timing.ts";
import { chooseGroup } from "./group_choice.ts";
import { ModelQueue, workOf, workOfBegun } from "./model_queue.ts";
import { ModelRun, SendEnd } from "./model_run.ts";
import type { IModelRunOwner } from "./model_run.ts";
import type { RepeatBook } from "./repeat_book.ts";
import type { ServingGroups } from "./serving_groups.ts";
import type { ILoadedGroup } from "./serving_groups.ts";
import { StallWatch } from "./stall_watch.ts";
import { WorkRate } from "./work_rate.ts";
import { CallEnd, CallReason } from "./types.ts";
import type {
  ICall,
  ICallReply,
  ICallSender,
  IEngineModel,
  IModel,
  IServiceEntry,
} from "./types.ts";

/** How often silences and deadlines are looked at, milliseconds. */
export const CHECK_PERIOD = 20;

/** A silence after which no more of a stream is expected, milliseconds. */
const HOPELESS_SILENCE = 2_000;

/** Share of the predicted run time below which no run can be in time. */
const SHORTEST_RUN_SHARE = 0.6;

/** Output tokens are announced as a maximum; the usual answer is shorter. */
const USUAL_OUTPUT_SHARE = 0.5;

/** The outcome of a call that was answered whole. */
const WHOLE = "whole";

/** Joins a service's name and a model's to a key. */
const KEY_SEPARATOR = "\n";

/** What one process's calls ask of a model. */
export interface IModelWork {
  readonly service: string;
  readonly model: string;
  /** Groups that are wholly busy with the calls that arrive. */
  readonly groups: number;
  /** Calls that wait for a group. */
  readonly waiting: number;
}

/** What the model calls need. */
export interface IModelCallParts {
  readonly groups: ServingGroups;
  readonly sender: ICallSender;
  readonly repeats: RepeatBook;
  readonly service: (name: string) => IServiceEntry | null;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly zone: ZoneName;
  /** Groups were found standing still. */
  readonly onSuspected: () => void;
}

/** All model calls of one process. */
export class ModelCalls implements IModelRunOwner {
  readonly #parts: IModelCallParts;
  readonly #queues = new Map<string, ModelQueue>();
  readonly #stalls = new StallWatch();
  readonly #rates = new Map<string, WorkRate>();
  readonly #sent = new Set<ModelRun>();

  constructor(parts: IModelCallParts) {
    this.#parts = parts;
  }

  /** Groups that this process found standing still. */
  get suspects(): readonly string[] {
    return this.#stalls.suspects(this.#now);
  }

  /** What this process's calls ask of each model. */
  get work(): readonly IModelWork[] {
    const now = this.#now;
    return [...this.#rates].map(([key, rate]) => {
      const [service, model] = key.split(KEY_SEPARATOR);
      return {
        service: service ?? "",
        model: model ?? "",
        groups: rate.groups(now),
        waiting: this.#queues.get(key)?.size ?? 0,
      };
    });
  }

  /** Returns what to do when the caller leaves. */
  take(call: ICall, reply: ICallReply): () => void {
    const run = new ModelRun({ call, reply, work: workOf(call) }, this);
    const { clock } = this.#parts;
    const left = call.deadline - this.#now;
    run.deadlineTimer = clock.after(left, () => this.#timedOut(run));
    this.#countWork(call);
    this.#wait(run);
    this.#place(keyOf(call));
    return () => this.#callerLeft(run);
  }

  /**
   * The belief about groups was renewed.
   *
   * @param lost - groups given up by the lease holder: nothing comes from them
   */
  groupsChanged(lost: readonly string[]): void {
    if (lost.length > 0) {
      for (const run of [...this.#sent]) {
        if (lost.includes(run.current?.group.group ?? "")) {
          this.#moveOn(run, true);
        }
      }
    }
    for (const key of this.#queues.keys()) {
      this.#place(key);
    }
  }

  /** Looks at silences and at what waits; called every {@link CHECK_PERIOD}. */
  check(): void {
    const now = this.#now;
    const stalls = this.#stalls.check(now);
    const silent = new Set(stalls.streams);
    if (silent.size > 0) {
      for (const run of [...this.#sent]) {
        if (run.current !== null && silent.has(run.current.watched)) {
          this.#moveOn(run, false);
        }
      }
    }
    for (const group of stalls.groups) {
      this.#parts.metrics.count("stalled_groups");
      this.#parts.log.warn("group_suspected", { group });
    }
    if (stalls.groups.length > 0) {
      this.#parts.onSuspected();
    }
    for (const [key, queue] of this.#queues) {
      this.#place(key);
      this.#refuseHopeless(queue);
    }
  }

  heard(run: ModelRun): void {
    const now = this.#now;
    const { times } = run;
    times.firstEventAt ??= now;
    const pause = now - (times.lastEventAt ?? now);
    times.longestPause = Math.max(times.longestPause, pause);
    times.lastEventAt = now;
    if (run.current !== null) {
      this.#stalls.heard(run.current.watched, now);
    }
  }

  sendEnded(run: ModelRun, end: SendEnd, detail: string): void {
    const group = run.current?.group.group ?? "";
    this.#release(run);
    if (end === SendEnd.Whole) {
      const stride = this.#engineOf(run.call)?.engine.stride ?? 0;
      const written = run.events * stride;
      this.#rateOf(run.call).written(written, run.call.tokens.output);
      this.#finish(run, WHOLE, { group, detail });
      run.reply.end();
    } else {
      this.#stalls.distrust(group, this.#now);
      this.#parts.log.info("send_failed", {
        request: run.call.id,
        group,
        end,
        detail,
      });
      this.#goOn(run, end);
    }
    this.#place(keyOf(run.call));
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #countWork(call: ICall): void {
    const found = this.#engineOf(call);
    if (found !== null) {
      const { tokens } = call;
      const arrival = { tokens, now: this.#now };
      this.#rateOf(call).arrived(arrival, found.engine, found.model);
    }
  }

  #rateOf(call: ICall): WorkRate {
    const key = keyOf(call);
    let rate = this.#rates.get(key);
    if (rate === undefined) {
      rate = new WorkRate();
      this.#rates.set(key, rate);
    }
    return rate;
  }

  #wait(run: ModelRun): void {
    const key = keyOf(run.call);
    let queue = this.#queues.get(key);
    if (queue === undefined) {
      queue = new ModelQueue();
      this.#queues.set(key, queue);
    }
    const pushedOut = queue.add(run);
    if (pushedOut !== null) {
      this.#refuse(pushedOut, CallReason.QueueFull, queue);
    }
  }

  #place(key: string): void {
    const queue = this.#queues.get(key);
    if (queue === undefined || queue.size === 0) {
      return;
    }
    const now = this.#now;
    const { groups, zone, random } = this.#parts;
    const [service, model] = key.split(KEY_SEPARATOR);
    const usable = groups
      .of(service ?? "", model ?? "")
      .filter(({ group }) => !this.#stalls.isSuspect(group, now));
    queue.hasGroups(usable.length > 0, now);
    let open: ILoadedGroup[] = [...usable];
    while (queue.size > 0) {
      const group = chooseGroup(open, zone, () => random.next());
      if (group === null) {
        return;
      }
      const run = queue.take(now);
      if (run === null) {
        return;
      }
      if (!this.#mayRepeat(run)) {
        continue;
      }
      this.#send(run, group);
      open = open.map((one) =>
        one === group ? { ...one, inFlight: one.inFlight + 1 } : one,
      );
    }
  }

  /** A second send is taken from the allowance; without it the call ends. */
  #mayRepeat(run: ModelRun): boolean {
    const { repeats } = this.#parts;
    const { service } = run.call;
    if (run.sends === 0) {
      repeats.firstSend(service, this.#now);
      return true;
    }
    if (repeats.take(service, this.#now)) {
      return true;
    }
    this.#giveUp(run, CallReason.TargetLost);
    return false;
  }

  #send(run: ModelRun, group: ILoadedGroup): void {
    const now = this.#now;
    const { call } = run;
    const engine = this.#engineOf(call);
    const watched = {
      group: group.group,
      longestGap: engine ? longestGap(engine.engine, engine.model) : 0,
      readTime: engine
        ? readTime(engine.engine, call.tokens.prompt) * engine.model.pace
        : 0,
      sentAt: now,
      heardAt: null,
    };
    this.#sent.add(run);
    this.#parts.groups.sent(group.group);
    this.#stalls.sent(watched);
    run.begin({ group, watched, sentAt: now }, () =>
      this.#parts.sender.send(group.head, call, {
        timeLeft: call.deadline - now,
        lastEvent: run.lastEvent,
        onNewConnection: false,
        receiver: run,
      }),
    );
  }

  #release(run: ModelRun): void {
    const { current } = run;
    if (current === null) {
      return;
    }
    run.current = null;
    this.#sent.delete(run);
    this.#parts.groups.done(current.group.group);
    this.#stalls.ended(current.watched);
  }

  /**
   * The present send is silent: it is given up and made elsewhere. A call that
   * may not be sent once more is ended only when its group is known to be
   * lost: its caller can ask again at once, while a wait would be in vain.
   */
  #moveOn(run: ModelRun, isLost: boolean): void {
    const silentFor = Math.round(
      this.#now - (run.current?.watched.heardAt ?? run.current?.sentAt ?? 0),
    );
    const isHopeless = isLost || silentFor > HOPELESS_SILENCE;
    if (!run.mayGoOnAfterAbort && !isHopeless) {
      return;
    }
    this.#parts.log.info("send_silent", {
      request: run.call.id,
      group: run.current?.group.group,
      silent_ms: silentFor,
      last_event: run.lastEvent,
    });
    run.abort();
    this.#release(run);
    this.#goOn(run, SendEnd.Broken);
  }

  #goOn(run: ModelRun, end: SendEnd): void {
    if (run.isOver) {
      return;
    }
    if (run.mayGoOn && this.#now < run.call.deadline) {
      if (run.reply.isBegun) {
        run.work = workOfBegun(run.call);
      }
      this.#wait(run);
      return;
    }
    const isRefused = end === SendEnd.NotRun;
    this.#giveUp(
      run,
      isRefused ? CallReason.TargetRefused : CallReason.TargetLost,
    );
  }

  #refuseHopeless(queue: ModelQueue): void {
    const hopeless = queue.takeHopeless(this.#now, (run) =>
      this.#shortestRun(run.call),
    );
    for (const run of hopeless) {
      this.#refuse(run, CallReason.Hopeless, queue);
    }
  }

  #shortestRun(call: ICall): number {
    const found = this.#engineOf(call);
    if (found === null) {
      return 0;
    }
    const { engine, model } = found;
    const { prompt, output } = call.tokens;
    const tokens = { prompt, output: output * USUAL_OUTPUT_SHARE };
    const whole = runTime(engine, model, { tokens, running: 1 });
    return whole * SHORTEST_RUN_SHARE + fullBatchGap(engine, model);
  }

  #refuse(run: ModelRun, reason: CallReason, queue: ModelQueue): void {
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue.retryAfter(this.#now, chance));
  }

  #giveUp(run: ModelRun, reason: CallReason): void {
    const queue = this.#queues.get(keyOf(run.call));
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue?.retryAfter(this.#now, chance) ?? 0);
  }

  #end(run: ModelRun, reason: CallReason, retryAfter: number): void {
    if (run.isOver) {
      return;
    }
    const end = endOf(run, reason);
    this.#finish(run, end, { reason, retry_after: Math.round(retryAfter) });
    if (run.reply.isBegun) {
      run.reply.breakOff();
    } else {
      run.reply.refuse({ end, reason, retryAfter });
    }
  }

  #timedOut(run: ModelRun): void {
    if (run.isOver) {
      return;
    }
    if (run.current !== null) {
      run.abort();
      this.#release(run);
    }
    this.#queues.get(keyOf(run.call))?.remove(run);
    this.#end(run, CallReason.DeadlinePassed, 0);
    this.#place(keyOf(run.call));
  }

  #callerLeft(run: ModelRun): void {
    if (run.isOver) {
      return;
    }
    if (run.current !== null) {
      run.abort();
      this.#release(run);
    }
    this.#queues.get(keyOf(run.call))?.remove(run);
    this.#finish(run, "caller_left", {});
    this.#place(keyOf(run.call));
  }

  #finish(
    run: ModelRun,
    outcome: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    run.isOver = true;
    run.deadlineTimer?.dispose();
    const { arrivedAt } = run.call;
    const { firstSentAt, firstEventAt, longestPause } = run.times;
    this.#observe(run);
    this.#parts.metrics.count("model_calls", { outcome });
    const line = {
      request: run.call.id,
      route: run.call.route.name,
      model: run.call.model,
      outcome,
      waited_ms: since(arrivedAt, firstSentAt),
      first_event_ms: since(arrivedAt, firstEventAt),
      longest_pause_ms: Math.round(longestPause),
      took_ms: since(arrivedAt, this.#now),
      sends: run.sends,
      ...fields,
    };
    if (outcome === WHOLE) {
      this.#parts.log.info("model_call", line);
    } else {
      this.#parts.log.warn("model_call", line);
    }
  }

  #observe(run: ModelRun): void {
    const { metrics } = this.#parts;
    const { arrivedAt, model } = run.call;
    const { firstSentAt, firstEventAt } = run.times;
    const stages = [
      ["waiting", firstSentAt],
      ["first_event", firstEventAt],
      ["whole", this.#now],
    ] as const;
    for (const [stage, at] of stages) {
      if (at !== null) {
        const labels = { model: model ?? "", stage };
        metrics.observe("model_call_duration", at - arrivedAt, labels);
      }
    }
  }

  #engineOf(
    call: ICall,
  ): { readonly engine: IEngineModel; readonly model: IModel } | null {
    const engine = this.#parts.service(call.service)?.engine ?? null;
    const model = engine?.models.find(({ name }) => name === call.model);
    return engine && model ? { engine, model } : null;
  }
}

/** Only what no target can have begun is told to have not run. */
function endOf(run: ModelRun, reason: CallReason): CallEnd {
  if (!run.mayHaveRun) {
    return CallEnd.NotRun;
  }
  return reason === CallReason.DeadlinePassed
    ? CallEnd.TimedOut
    : CallEnd.TargetFailed;
}

/** Whole milliseconds; null when it never came to it. */
function since(start: MonotonicTime, end: MonotonicTime | null): number | null {
  return end === null ? null : Math.round(end - start);
}

function keyOf(call: ICall): string {
  return `${call.service}${KEY_SEPARATOR}${call.model ?? ""}`;
}
