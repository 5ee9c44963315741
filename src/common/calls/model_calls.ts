/** Sends model calls to replica groups, and on to others where one fails. */
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { MonotonicTime, ZoneName } from "../types.ts";
import { busyGap, longestGap } from "./engine_timing.ts";
import { chooseGroup } from "./group_choice.ts";
import { ModelCallRecord, WHOLE } from "./model_call_record.ts";
import { keyOf, ModelLanes } from "./model_lanes.ts";
import type { IModelLane } from "./model_lanes.ts";
import { workOf, workOfBegun } from "./model_queue.ts";
import type { ModelQueue } from "./model_queue.ts";
import { ModelRun, SendEnd } from "./model_run.ts";
import type { IModelRunOwner } from "./model_run.ts";
import type { RepeatBook } from "./repeat_book.ts";
import type { ServingGroups } from "./serving_groups.ts";
import type { ILoadedGroup } from "./serving_groups.ts";
import { StallWatch } from "./stall_watch.ts";
import { ZoneReach } from "./zone_reach.ts";
import { CallEnd, CallReason } from "./types.ts";
import type { ICall, ICallReply, ICallSender, IServiceEntry } from "./types.ts";

/** How often silences and deadlines are looked at, milliseconds. */
export const CHECK_PERIOD = 20;

/** A silence after which no answer is expected any more, milliseconds. */
const HOPELESS_SILENCE = 2_000;

/** Lost groups remembered: all that calls on their way can have been sent to. */
const MOST_LOST_GROUPS = 500;

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

/** All model calls of one process. */
export class ModelCalls implements IModelRunOwner {
  readonly #parts: IModelCallParts;
  readonly #lanes: ModelLanes;
  readonly #record: ModelCallRecord;
  readonly #stalls = new StallWatch();
  readonly #reach: ZoneReach;
  readonly #sent = new Set<ModelRun>();
  /** Groups given up of late; their names are not used again. */
  readonly #lost = new Set<string>();

  constructor(parts: IModelCallParts) {
    this.#parts = parts;
    this.#lanes = new ModelLanes(parts.service);
    this.#record = new ModelCallRecord(parts.log, parts.metrics);
    this.#reach = new ZoneReach(parts.zone);
  }

  /** Groups that this process found standing still. */
  get suspects(): readonly string[] {
    return this.#stalls.suspects(this.#now);
  }

  /** What this process's calls ask of each model. */
  get work(): readonly IModelWork[] {
    const now = this.#now;
    return this.#lanes.all.map(({ service, model, rate, queue }) => ({
      service,
      model,
      groups: rate.groups(now),
      waiting: queue.size,
    }));
  }

  /** Returns what to do when the caller leaves. */
  take(call: ICall, reply: ICallReply): () => void {
    const run = new ModelRun({ call, reply, work: workOf(call) }, this);
    const { clock } = this.#parts;
    const left = call.deadline - this.#now;
    run.deadlineTimer = clock.after(left, () => this.#timedOut(run));
    this.#lanes.arrived(call, this.#now);
    this.#wait(run);
    this.#place(this.#lanes.of(call));
    return () => this.#callerLeft(run);
  }

  /**
   * The belief about groups was renewed.
   *
   * @param lost - groups given up by the lease holder: nothing begins there
   */
  groupsChanged(lost: readonly string[]): void {
    this.#noteLost(lost);
    if (lost.length > 0) {
      for (const run of [...this.#sent]) {
        if (lost.includes(run.current?.group.group ?? "")) {
          this.#moveOn(run, { isSilent: false });
        }
      }
    }
    for (const lane of this.#lanes.all) {
      this.#place(lane);
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
          this.#moveOn(run, { isSilent: true });
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
    for (const lane of this.#lanes.all) {
      this.#place(lane);
      this.#refuseHopeless(lane.queue);
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
        this.#lanes.of(run.call).firstEvents.add(time);
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
      const stride = this.#lanes.engineOf(run.call)?.engine.stride ?? 0;
      const written = run.events * stride;
      const { rate } = this.#lanes.of(run.call);
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
    this.#place(this.#lanes.of(run.call));
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

  #wait(run: ModelRun): void {
    const { queue } = this.#lanes.of(run.call);
    const pushedOut = queue.add(run);
    if (pushedOut !== null) {
      this.#refuse(pushedOut, CallReason.QueueFull, queue);
    }
  }

  #place(lane: IModelLane): void {
    const { service, model, queue } = lane;
    if (queue.size === 0) {
      return;
    }
    const now = this.#now;
    const { groups, zone, random, processes } = this.#parts;
    const options = {
      zone,
      processes: processes(),
      readingBudget: Math.max(0, lane.objective - lane.firstEvents.time),
      chance: () => random.next(),
    };
    const usable = groups
      .of(service, model)
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
    const engine = this.#lanes.engineOf(call);
    const watched = {
      group: group.group,
      model: keyOf(call),
      busyGap: engine ? busyGap(engine.engine, engine.model) : 0,
      longestGap: engine ? longestGap(engine.engine, engine.model) : 0,
      readTime: this.#lanes.readTime(call),
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
   * The present send is silent, or its group was given up: the call is sent
   * elsewhere. One that may not be sent once more, or for which no repeat is
   * left, is ended only when it is silent and its group is known to be lost, or
   * nothing came of it for long: its caller can ask again at once, while a wait
   * would be in vain. A group may only be slow, and then its answers are late
   * but whole; a lost one may still send the last of them.
   */
  #moveOn(run: ModelRun, { isSilent }: { readonly isSilent: boolean }): void {
    const silentFor = Math.round(
      this.#now - (run.current?.watched.heardAt ?? run.current?.sentAt ?? 0),
    );
    const isLost = this.isLost(run.current?.group.group ?? "");
    const isUnanswered = !run.reply.isBegun && silentFor > HOPELESS_SILENCE;
    const isHopeless = isSilent && (isLost || isUnanswered);
    const mayGoOn = run.mayGoOnAfterAbort && this.#hasRepeat(run);
    if (!mayGoOn && !isHopeless) {
      return;
    }
    this.#parts.log.info("send_silent", {
      request: run.call.id,
      group: run.current?.group.group,
      is_lost: isLost,
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
      this.#lanes.shortestRun(run.call),
    );
    for (const run of hopeless) {
      this.#refuse(run, CallReason.Hopeless, queue);
    }
  }

  #refuse(run: ModelRun, reason: CallReason, queue: ModelQueue): void {
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue.retryAfter(this.#now, chance));
  }

  #giveUp(run: ModelRun, reason: CallReason): void {
    const { queue } = this.#lanes.of(run.call);
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
    this.#lanes.of(run.call).queue.remove(run);
    this.#end(run, CallReason.DeadlinePassed, 0);
    this.#place(this.#lanes.of(run.call));
  }

  #callerLeft(run: ModelRun): void {
    if (run.isOver) {
      return;
    }
    if (run.current !== null) {
      run.abort();
      this.#release(run);
    }
    this.#lanes.of(run.call).queue.remove(run);
    this.#finish(run, "caller_left", {});
    this.#place(this.#lanes.of(run.call));
  }

  #finish(
    run: ModelRun,
    outcome: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    run.isOver = true;
    run.deadlineTimer?.dispose();
    this.#record.ended(run, { outcome, fields, now: this.#now });
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
