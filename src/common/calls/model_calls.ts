/** Sends model calls to replica groups, and on to others where one fails. */
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { MonotonicTime, ZoneName } from "../types.ts";
import { gapDuringPrefill, longestGap } from "./engine_timing.ts";
import { chooseGroup } from "./group_choice.ts";
import { ModelCallRecorder, WHOLE } from "./model_call_recorder.ts";
import { modelKey, ModelStates } from "./model_states.ts";
import type { IModelState } from "./model_states.ts";
import { queueItemOf, startedQueueItemOf } from "./model_queue.ts";
import type { ModelQueue } from "./model_queue.ts";
import { ModelRun, SendOutcome } from "./model_run.ts";
import type { IModelRunOwner } from "./model_run.ts";
import type { ServiceRetryAllowances } from "./service_retry_allowances.ts";
import type { ServingGroups } from "./serving_groups.ts";
import type { ILoadedGroup } from "./serving_groups.ts";
import { StallDetector } from "./stall_detector.ts";
import { ZoneReachability } from "./zone_reachability.ts";
import { CallRefusalKind, CallRefusalReason } from "./types.ts";
import type { ICall, ICallReply, ICallSender, IServiceEntry } from "./types.ts";

/** How often silences and deadlines are looked at, milliseconds. */
export const CHECK_PERIOD = 20;

/** A silence after which no answer is expected any more, milliseconds. */
const HOPELESS_SILENCE = 2_000;

/** Lost groups remembered: all that calls on their way can have been sent to. */
const MOST_LOST_GROUPS = 500;

/** What one process's calls ask of a model. */
export interface IModelDemand {
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
  readonly retries: ServiceRetryAllowances;
  readonly service: (name: string) => IServiceEntry | null;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly zone: ZoneName;
  /** Processes that place calls, as far as is known. */
  readonly processes: () => number;
  /** Groups were found standing still. */
  readonly onGroupsSuspected: () => void;
}

/** All model calls of one process. */
export class ModelCalls implements IModelRunOwner {
  readonly #parts: IModelCallParts;
  readonly #lanes: ModelStates;
  readonly #record: ModelCallRecorder;
  readonly #stalls = new StallDetector();
  readonly #reach: ZoneReachability;
  readonly #sent = new Set<ModelRun>();
  /** Groups given up of late; their names are not used again. */
  readonly #lost = new Set<string>();

  constructor(parts: IModelCallParts) {
    this.#parts = parts;
    this.#lanes = new ModelStates(parts.service);
    this.#record = new ModelCallRecorder(parts.log, parts.metrics);
    this.#reach = new ZoneReachability(parts.zone);
  }

  /** Groups that this process found standing still. */
  get suspectedGroups(): readonly string[] {
    return this.#stalls.suspectedGroups(this.#now);
  }

  /** What this process's calls ask of each model. */
  get demand(): readonly IModelDemand[] {
    const now = this.#now;
    return this.#lanes.all.map(({ service, model, demand, queue }) => ({
      service,
      model,
      groups: demand.groupsNeeded(now),
      waiting: queue.size,
    }));
  }

  /** Returns what to do when the caller leaves. */
  submit(call: ICall, reply: ICallReply): () => void {
    const run = new ModelRun({ call, reply, work: queueItemOf(call) }, this);
    const { clock } = this.#parts;
    const left = call.deadline - this.#now;
    run.deadlineTimer = clock.after(left, () => this.#timedOut(run));
    this.#lanes.recordArrival(call, this.#now);
    this.#wait(run);
    this.#place(this.#lanes.getOrCreate(call));
    return () => this.#callerLeft(run);
  }

  /**
   * The belief about groups was renewed.
   *
   * @param lost - groups given up by the lease holder: nothing begins there
   */
  handleGroupsChanged(lost: readonly string[]): void {
    this.#noteLost(lost);
    if (lost.length > 0) {
      for (const run of [...this.#sent]) {
        if (lost.includes(run.currentSend?.group.group ?? "")) {
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
    const silent = new Set(stalls.stalledStreams);
    if (silent.size > 0) {
      for (const run of [...this.#sent]) {
        if (run.currentSend !== null && silent.has(run.currentSend.stream)) {
          this.#moveOn(run, { isSilent: true });
        }
      }
    }
    const all = this.#parts.groups.all;
    for (const group of stalls.suspectedGroups) {
      const zone = all.find((one) => one.group === group)?.zone;
      if (zone !== undefined) {
        this.#reach.recordUnreachable(zone, group, now);
      }
      this.#parts.metrics.count("stalled_groups");
      this.#parts.log.warn("group_suspected", { group });
    }
    if (stalls.suspectedGroups.length > 0) {
      this.#parts.onGroupsSuspected();
    }
    for (const lane of this.#lanes.all) {
      this.#place(lane);
      this.#refuseHopeless(lane.queue);
    }
  }

  isLostGroup(group: string): boolean {
    return this.#lost.has(group);
  }

  onEvents(run: ModelRun): void {
    const now = this.#now;
    const { times, currentSend } = run;
    times.firstEventAt ??= now;
    const pause = now - (times.lastEventAt ?? now);
    times.longestPause = Math.max(times.longestPause, pause);
    times.lastEventAt = now;
    if (currentSend !== null) {
      const { stream, sentAt, group } = currentSend;
      if (stream.lastEventAt === null) {
        const time = now - sentAt - stream.prefillTime;
        this.#lanes.getOrCreate(run.call).firstEventTime.addSample(time);
        this.#parts.groups.recordPrefillEnd(group.group, stream.prefillTime);
      }
      this.#reach.recordEvent(group.zone);
      this.#stalls.recordEvent(stream, now);
    }
  }

  onSendEnded(run: ModelRun, end: SendOutcome, detail: string): void {
    const { group = "", zone = "" } = run.currentSend?.group ?? {};
    this.#release(run);
    if (end === SendOutcome.Whole) {
      const stride = this.#lanes.engineOf(run.call)?.engine.stride ?? 0;
      const written = run.eventCount * stride;
      const { demand } = this.#lanes.getOrCreate(run.call);
      demand.recordOutput(written, run.call.tokens.output);
      this.#finish(run, WHOLE, { group, detail });
      run.reply.end();
    } else {
      this.#stalls.suspect(group, this.#now);
      if (end === SendOutcome.NotDelivered) {
        this.#reach.recordUnreachable(zone, group, this.#now);
      }
      this.#parts.log.info("send_failed", {
        request: run.call.id,
        group,
        end,
        detail,
      });
      this.#goOn(run, end);
    }
    this.#place(this.#lanes.getOrCreate(run.call));
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
    const { queue } = this.#lanes.getOrCreate(run.call);
    const pushedOut = queue.add(run);
    if (pushedOut !== null) {
      this.#refuse(pushedOut, CallRefusalReason.QueueFull, queue);
    }
  }

  #place(lane: IModelState): void {
    const { service, model, queue } = lane;
    if (queue.size === 0) {
      return;
    }
    const now = this.#now;
    const { groups, zone, random, processes } = this.#parts;
    const options = {
      zone,
      processes: processes(),
      prefillBudget: Math.max(0, lane.objective - lane.firstEventTime.estimate),
      chance: () => random.next(),
    };
    const usable = groups
      .ofModel(service, model)
      .filter(({ group }) => !this.#stalls.isSuspected(group, now));
    queue.setHasGroups(usable.length > 0, now);
    let open: ILoadedGroup[] = [...usable];
    while (queue.size > 0) {
      const inReach = open.filter((one) => this.#reach.mayTry(one.zone, now));
      const group = chooseGroup(inReach, options);
      if (group === null) {
        return;
      }
      const run = queue.takeNext(now);
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
    if (run.sendCount === 0) {
      this.#parts.retries.recordFirstSend(run.call.service, this.#now);
      return true;
    }
    if (!run.mayHaveReachedTarget || this.#hasRepeat(run)) {
      run.hasRetryGrant = false;
      return true;
    }
    this.#giveUp(run, CallRefusalReason.TargetLost);
    return false;
  }

  /** Whether a repeat was taken from the allowance, now or before. */
  #hasRepeat(run: ModelRun): boolean {
    const { retries } = this.#parts;
    run.hasRetryGrant ||= retries.tryTake(run.call.service, this.#now);
    return run.hasRetryGrant;
  }

  #send(run: ModelRun, group: ILoadedGroup): void {
    const now = this.#now;
    const { call } = run;
    const engine = this.#lanes.engineOf(call);
    const watched = {
      group: group.group,
      model: modelKey(call),
      gapDuringPrefill: engine
        ? gapDuringPrefill(engine.engine, engine.model)
        : 0,
      longestGap: engine ? longestGap(engine.engine, engine.model) : 0,
      prefillTime: this.#lanes.prefillTime(call),
      sentAt: now,
      lastEventAt: null,
    };
    this.#sent.add(run);
    this.#parts.groups.recordSend(group.group, watched.prefillTime);
    this.#reach.recordSend(group.zone, now);
    this.#stalls.recordSend(watched);
    run.startSend({ group, stream: watched, sentAt: now }, () =>
      this.#parts.sender.send(group.head, call, {
        timeLeft: call.deadline - now,
        lastEventId: run.lastEventId,
        onNewConnection: false,
        receiver: run,
      }),
    );
  }

  #release(run: ModelRun): void {
    const { currentSend } = run;
    if (currentSend === null) {
      return;
    }
    run.currentSend = null;
    this.#sent.delete(run);
    const { stream, group } = currentSend;
    if (stream.lastEventAt === null) {
      this.#parts.groups.recordPrefillEnd(group.group, stream.prefillTime);
    }
    this.#parts.groups.recordEnd(group.group);
    this.#stalls.removeStream(currentSend.stream);
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
      this.#now -
        (run.currentSend?.stream.lastEventAt ?? run.currentSend?.sentAt ?? 0),
    );
    const isLost = this.isLostGroup(run.currentSend?.group.group ?? "");
    const isUnanswered = !run.reply.isStarted && silentFor > HOPELESS_SILENCE;
    const isHopeless = isSilent && (isLost || isUnanswered);
    const mayGoOn = run.canRetryAfterAbort && this.#hasRepeat(run);
    if (!mayGoOn && !isHopeless) {
      return;
    }
    this.#parts.log.info("send_silent", {
      request: run.call.id,
      group: run.currentSend?.group.group,
      is_lost: isLost,
      silent_ms: silentFor,
      last_event: run.lastEventId,
    });
    run.abort();
    this.#release(run);
    this.#goOn(run, SendOutcome.Broken);
  }

  #goOn(run: ModelRun, end: SendOutcome): void {
    if (run.isFinished) {
      return;
    }
    if (run.canRetry && this.#now < run.call.deadline) {
      if (run.reply.isStarted) {
        run.queueItem = startedQueueItemOf(run.call);
      }
      this.#wait(run);
      return;
    }
    const isRefused =
      end === SendOutcome.NotRun || end === SendOutcome.NotDelivered;
    this.#giveUp(
      run,
      isRefused
        ? CallRefusalReason.TargetRefused
        : CallRefusalReason.TargetLost,
    );
  }

  #refuseHopeless(queue: ModelQueue): void {
    const hopeless = queue.removeHopeless(this.#now, (run) =>
      this.#lanes.shortestRun(run.call),
    );
    for (const run of hopeless) {
      this.#refuse(run, CallRefusalReason.Hopeless, queue);
    }
  }

  #refuse(run: ModelRun, reason: CallRefusalReason, queue: ModelQueue): void {
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue.retryAfter(this.#now, chance));
  }

  #giveUp(run: ModelRun, reason: CallRefusalReason): void {
    const { queue } = this.#lanes.getOrCreate(run.call);
    const chance = this.#parts.random.next();
    this.#end(run, reason, queue.retryAfter(this.#now, chance));
  }

  #end(run: ModelRun, reason: CallRefusalReason, retryAfter: number): void {
    if (run.isFinished) {
      return;
    }
    const end = endOf(run, reason);
    this.#finish(run, end, { reason, retry_after: Math.round(retryAfter) });
    if (run.reply.isStarted) {
      run.reply.reset();
    } else {
      run.reply.refuse({ kind: end, reason, retryAfter });
    }
  }

  #timedOut(run: ModelRun): void {
    if (run.isFinished) {
      return;
    }
    if (run.currentSend !== null) {
      run.abort();
      this.#release(run);
    }
    this.#lanes.getOrCreate(run.call).queue.remove(run);
    this.#end(run, CallRefusalReason.DeadlinePassed, 0);
    this.#place(this.#lanes.getOrCreate(run.call));
  }

  #callerLeft(run: ModelRun): void {
    if (run.isFinished) {
      return;
    }
    if (run.currentSend !== null) {
      run.abort();
      this.#release(run);
    }
    this.#lanes.getOrCreate(run.call).queue.remove(run);
    this.#finish(run, "caller_left", {});
    this.#place(this.#lanes.getOrCreate(run.call));
  }

  #finish(
    run: ModelRun,
    outcome: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    run.isFinished = true;
    run.deadlineTimer?.dispose();
    this.#record.recordEnd(run, { outcome, fields, now: this.#now });
  }
}

/** A group with a call that was just sent to it. */
function withOneMore(group: ILoadedGroup, run: ModelRun): ILoadedGroup {
  const readTime = run.currentSend?.stream.prefillTime ?? 0;
  return {
    ...group,
    ownInFlight: group.ownInFlight + 1,
    ownPrefillTime: group.ownPrefillTime + readTime,
  };
}

/** Only what no target can have begun is told to have not run. */
function endOf(run: ModelRun, reason: CallRefusalReason): CallRefusalKind {
  if (!run.mayHaveRun) {
    return CallRefusalKind.NotRun;
  }
  return reason === CallRefusalReason.DeadlinePassed
    ? CallRefusalKind.TimedOut
    : CallRefusalKind.TargetFailed;
}
