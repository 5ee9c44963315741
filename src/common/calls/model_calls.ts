/** Sends model calls to replica groups, and on to others where one fails. */
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { MonotonicTime, ZoneName } from "../types.ts";
import {
  busyGap,
  fullBatchGap,
  longestGap,
  readTime,
  runTime,
} from "./engine_timing.ts";
import { FirstEventTime } from "./first_event_time.ts";
import { chooseGroup } from "./group_choice.ts";
import { ModelQueue, workOf, workOfBegun } from "./model_queue.ts";
import { ModelRun, SendEnd } from "./model_run.ts";
import type { IModelRunOwner } from "./model_run.ts";
import type { RepeatBook } from "./repeat_book.ts";
import type { ServingGroups } from "./serving_groups.ts";
import type { ILoadedGroup } from "./serving_groups.ts";
import { StallWatch } from "./stall_watch.ts";
import { WorkRate } from "./work_rate.ts";
import { ZoneReach } from "./zone_reach.ts";
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

/** Lost groups remembered: all that calls on their way can have been sent to. */
const MOST_LOST_GROUPS = 500;

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
  /** Processes that place calls, as far as is known. */
  readonly processes: () => number;
  /** Groups were found standing still. */
  readonly onSuspected: () => void;
}

/** What is kept of one model of one service. */
interface IModelLane {
  readonly queue: ModelQueue;
  readonly rate: WorkRate;
  readonly firstEvents: FirstEventTime;
}

/** All model calls of one process. */
export class ModelCalls implements IModelRunOwner {
  readonly #parts: IModelCallParts;
  readonly #lanes = new Map<string, IModelLane>();
  readonly #stalls = new StallWatch();
  readonly #reach: ZoneReach;
  readonly #sent = new Set<ModelRun>();
  /** Groups given up of late; their names are not used again. */
  readonly #lost = new Set<string>();

  constructor(parts: IModelCallParts) {
    this.#parts = parts;
    this.#reach = new ZoneReach(parts.zone);
  }

  /** Groups that this process found standing still. */
  get suspects(): readonly string[] {
    return this.#stalls.suspects(this.#now);
  }

  /** What this process's calls ask of each model. */
  get work(): readonly IModelWork[] {
    const now = this.#now;
    return [...this.#lanes].map(([key, { rate, queue }]) => {
      const [service, model] = key.split(KEY_SEPARATOR);
      return {
        service: service ?? "",
        model: model ?? "",
        groups: rate.groups(now),
        waiting: queue.size,
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
    this.#noteLost(lost);
    if (lost.length > 0) {
      for (const run of [...this.#sent]) {
        if (lost.includes(run.current?.group.group ?? "")) {
          this.#moveOn(run, true);
        }
      }
    }
    for (const key of this.#lanes.keys()) {
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
    const all = this.#parts.groups.all;
    for (const group of stalls.groups) {
      const zone = all.find((one) => one.group === group)?.zone;
      if (zone !== undefined) {
        this.#reach.missed(zone, group, now);
      }
      this.#parts.metrics.count("stalled_groups");
      this.#parts.log.warn("group_suspected", { group });
    }
    if (stalls.groups.length > 0) {
      this.#parts.onSuspected();
    }
    for (const [key, { queue }] of this.#lanes) {
      this.#place(key);
      this.#refuseHopeless(queue);
    }
  }

  isLost(group: string): boolean {
    return this.#lost.has(group);
  }

  heard(run: ModelRun): void {
    const now = this.#now;
    const { times, current } = run;
    times.firstEventAt ??= now;
    const pause = now - (times.lastEventAt ?? now);
    times.longestPause = Math.max(times.longestPause, pause);
    times.lastEventAt = now;
    if (current !== null) {
      const { watched, sentAt, group } = current;
      if (watched.heardAt === null) {
        const time = now - sentAt - watched.readTime;
        this.#laneOf(run.call).firstEvents.add(time);
        this.#parts.groups.read(group.group, watched.readTime);
      }
      this.#reach.heard(group.zone);
      this.#stalls.heard(watched, now);
    }
  }

  sendEnded(run: ModelRun, end: SendEnd, detail: string): void {
    const { group = "", zone = "" } = run.current?.group ?? {};
    this.#release(run);
    if (end === SendEnd.Whole) {
      const stride = this.#engineOf(run.call)?.engine.stride ?? 0;
      const written = run.events * stride;
      const { rate } = this.#laneOf(run.call);
      rate.written(written, run.call.tokens.output);
      this.#finish(run, WHOLE, { group, detail });
      run.reply.end();
    } else {
      this.#stalls.distrust(group, this.#now);
      if (end === SendEnd.Missed) {
        this.#reach.missed(zone, group, this.#now);
      }
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

  #noteLost(lost: readonly string[]): void {
    lost.forEach((group) => this.#lost.add(group));
    for (const group of this.#lost) {
      if (this.#lost.size <= MOST_LOST_GROUPS) {
        return;
      }
      this.#lost.delete(group);
    }
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #countWork(call: ICall): void {
    const found = this.#engineOf(call);
    if (found !== null) {
      const { tokens } = call;
      const arrival = { tokens, now: this.#now };
      const { rate } = this.#laneOf(call);
      rate.arrived(arrival, found.engine, found.model);
    }
  }

  #laneOf(call: ICall): IModelLane {
    const key = keyOf(call);
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      const firstEvents = new FirstEventTime();
      const queue = new ModelQueue(
        (one) => firstEvents.time + this.#readTime(one),
      );
      lane = { queue, firstEvents, rate: new WorkRate() };
      this.#lanes.set(key, lane);
    }
    return lane;
  }

  /** Milliseconds that a group takes to read a call's prompt. */
  #readTime(call: ICall): number {
    const found = this.#engineOf(call);
    return found === null
      ? 0
      : readTime(found.engine, call.tokens.prompt) * found.model.pace;
  }

  #wait(run: ModelRun): void {
    const { queue } = this.#laneOf(run.call);
    const pushedOut = queue.add(run);
    if (pushedOut !== null) {
      this.#refuse(pushedOut, CallReason.QueueFull, queue);
    }
  }

  #place(key: string): void {
    const queue = this.#lanes.get(key)?.queue;
    if (queue === undefined || queue.size === 0) {
      return;
    }
    const now = this.#now;
    const { groups, zone, random, processes } = this.#parts;
    const options = {
      zone,
      processes: processes(),
      chance: () => random.next(),
    };
    const [service, model] = key.split(KEY_SEPARATOR);
    const usable = groups
      .of(service ?? "", model ?? "")
      .filter(({ group }) => !this.#stalls.isSuspect(group, now));
    queue.hasGroups(usable.length > 0, now);
    let open: ILoadedGroup[] = [...usable];
    while (queue.size > 0) {
      const inReach = open.filter((one) => this.#reach.mayTry(one.zone, now));
      const group = chooseGroup(inReach, options);
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
      open = open.map((one) => (one === group ? withOneMore(one, run) : one));
    }
  }

  /**
   * A second send is taken from the allowance; without it the call ends. What
   * has reached no target yet, for want of a connection, repeats nothing.
   */
  #mayRepeat(run: ModelRun): boolean {
    if (run.sends === 0) {
      this.#parts.repeats.firstSend(run.call.service, this.#now);
      return true;
    }
    if (!run.hasArrived || this.#hasRepeat(run)) {
      run.hasRepeat = false;
      return true;
    }
    this.#giveUp(run, CallReason.TargetLost);
    return false;
  }

  /** Whether a repeat was taken from the allowance, now or before. */
  #hasRepeat(run: ModelRun): boolean {
    const { repeats } = this.#parts;
    run.hasRepeat ||= repeats.take(run.call.service, this.#now);
    return run.hasRepeat;
  }

  #send(run: ModelRun, group: ILoadedGroup): void {
    const now = this.#now;
    const { call } = run;
    const engine = this.#engineOf(call);
    const watched = {
      group: group.group,
      model: keyOf(call),
      busyGap: engine ? busyGap(engine.engine, engine.model) : 0,
      longestGap: engine ? longestGap(engine.engine, engine.model) : 0,
      readTime: this.#readTime(call),
      sentAt: now,
      heardAt: null,
    };
    this.#sent.add(run);
    this.#parts.groups.sent(group.group, watched.readTime);
    this.#reach.sent(group.zone, now);
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
    const { watched, group } = current;
    if (watched.heardAt === null) {
      this.#parts.groups.read(group.group, watched.readTime);
    }
    this.#parts.groups.done(group.group);
    this.#stalls.ended(current.watched);
  }

  /**
   * The present send is silent: it is given up and made elsewhere. A call that
   * may not be sent once more, or for which no repeat is left, is ended only
   * when its group is known to be lost: its caller can ask again at once, while
   * a wait would be in vain. A group may only be slow, and then its answers are
   * late but whole.
   */
  #moveOn(run: ModelRun, isLost: boolean): void {
    const silentFor = Math.round(
      this.#now - (run.current?.watched.heardAt ?? run.current?.sentAt ?? 0),
    );
    const isHopeless = isLost || silentFor > HOPELESS_SILENCE;
    const mayGoOn = run.mayGoOnAfterAbort && this.#hasRepeat(run);
    if (!mayGoOn && !isHopeless) {
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
    const isRefused = end === SendEnd.NotRun || end === SendEnd.Missed;
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
    const { queue } = this.#laneOf(run.call);
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue.retryAfter(this.#now, chance));
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
    this.#laneOf(run.call).queue.remove(run);
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
    this.#laneOf(run.call).queue.remove(run);
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

/** A group with a call that was just sent to it. */
function withOneMore(group: ILoadedGroup, run: ModelRun): ILoadedGroup {
  const readTime = run.current?.watched.readTime ?? 0;
  return {
    ...group,
    own: group.own + 1,
    ownReading: group.ownReading + readTime,
  };
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
