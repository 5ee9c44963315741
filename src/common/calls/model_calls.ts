/** Sends model calls to replica groups and retries failed ones elsewhere. */
import type { IClock, ILog, IMetrics, IRandom } from "../services/services.ts";
import type { MonotonicTime, ZoneName } from "../types.ts";
import type { IAnswerBoundRecorder } from "./answer_bounds.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import { gapDuringPrefill, longestGap } from "./engine_timing.ts";
import { chooseGroup } from "./group_choice.ts";
import {
  describeParts,
  ModelCallRecorder,
  WHOLE,
} from "./model_call_recorder.ts";
import { modelKey, ModelStates } from "./model_states.ts";
import type { IModelState } from "./model_states.ts";
import { queueItemOf, startedQueueItemOf } from "./model_queue.ts";
import type { ModelQueue } from "./model_queue.ts";
import { ModelRun } from "./model_run.ts";
import type { IModelRunOwner } from "./model_run.ts";
import { SendOutcome } from "./model_send.ts";
import type { ISendEnd, ModelSend } from "./model_send.ts";
import type { ServiceRetryAllowances } from "./service_retry_allowances.ts";
import type { ServingGroups } from "./serving_groups.ts";
import type { ILoadedGroup } from "./serving_groups.ts";
import { PROOF_TIME } from "../quarantine/crash_witness.ts";
import type { ICallQuarantine } from "../quarantine/types.ts";
import type { ITargetPaths } from "../forwarding/types.ts";
import type { TargetCooldowns } from "../target_cooldowns.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";
import { StallDetector } from "./stall_detector.ts";
import { ServingPeriod, STOPPING_RETRY_AFTER } from "./stopping.ts";
import type { IStopTimes } from "./stopping.ts";
import { ZoneReachability } from "./zone_reachability.ts";
import { CallRefusalKind, CallRefusalReason } from "./types.ts";
import type { ICall, ICallReply, ICallSender, IServiceEntry } from "./types.ts";

/** Interval of the checks for stalls and hopeless calls, milliseconds. */
export const CHECK_PERIOD = 20;

/** Retry-after while no path to the targets is known, milliseconds. */
const UNREACHABLE_RETRY_AFTER = 250;

/** Milliseconds over which these callers return. */
const UNREACHABLE_SPREAD = 500;

/** Retry-after of a call that no group can serve, milliseconds. */
const UNSERVED_RETRY_AFTER = 1_000;

/** Retry-after of a call that would crash an engine, milliseconds. */
const QUARANTINE_RETRY_AFTER = 60_000;

/** Milliseconds; an answer that goes on for so long shows a sound engine. */
const PROGRESS_TIME = 500;

/** Engines that may crash under one call; it is sent to no further one. */
const MAXIMUM_CRASHES = 2;

/** Lost groups remembered: enough for all that open calls were sent to. */
const MAXIMUM_LOST_GROUPS = 500;

/** The demand of one process for a model. */
export interface IModelDemand {
  readonly service: string;
  readonly model: string;
  /** Groups that the arriving calls fully occupy. */
  readonly groups: number;
  /** Calls queued for a group. */
  readonly waiting: number;
}

/** Dependencies of {@link ModelCalls}. */
export interface IModelCallParts {
  readonly groups: ServingGroups;
  readonly sender: ICallSender;
  readonly retries: ServiceRetryAllowances;
  readonly limits: Pick<TargetRateLimits, "maySend" | "isAssignedElsewhere">;
  readonly cooldowns: Pick<
    TargetCooldowns,
    "isActive" | "maySend" | "retryAfter" | "shortestWait"
  >;
  readonly paths: ITargetPaths;
  readonly memory: AnswerMemory;
  readonly bounds: IAnswerBoundRecorder;
  readonly quarantine: ICallQuarantine;
  readonly service: (name: string) => IServiceEntry | null;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly zone: ZoneName;
  /** Milliseconds by which this process is behind; see {@link EventLoopLag}. */
  readonly lag: () => number;
  /** Number of processes known to place calls. */
  readonly processes: () => number;
  /** Called when groups become suspected of a stall. */
  readonly onGroupsSuspected: () => void;
}

/** All model calls of one process. */
export class ModelCalls implements IModelRunOwner {
  readonly #parts: IModelCallParts;
  readonly #models: ModelStates;
  readonly #recorder: ModelCallRecorder;
  readonly #stallDetector = new StallDetector();
  readonly #reachability: ZoneReachability;
  readonly #unfinished = new Set<ModelRun>();
  readonly #openRuns = new Set<ModelRun>();
  /** Runs whose sends may all be lost, and that another group may take. */
  readonly #seekingRuns = new Set<ModelRun>();
  readonly #servingPeriod = new ServingPeriod();
  /** Groups recently reported as lost; their names are not used again. */
  readonly #lostGroups = new Set<string>();

  constructor(parts: IModelCallParts) {
    this.#parts = parts;
    this.#models = new ModelStates(parts.service);
    this.#recorder = new ModelCallRecorder(parts.log, parts.metrics);
    this.#reachability = new ZoneReachability(parts.zone);
  }

  /** Groups that this process suspects of a stall. */
  get suspectedGroups(): readonly string[] {
    return this.#stallDetector.suspectedGroups(this.#now);
  }

  /** The demand of this process for each model. */
  get demand(): readonly IModelDemand[] {
    const now = this.#now;
    return this.#models.all.map(({ service, model, demand, queue }) => ({
      service,
      model,
      groups: demand.groupsNeeded(now),
      waiting: queue.size,
    }));
  }

  /** Accepts a call; returns the handler for its caller's disconnect. */
  submit(call: ICall, reply: ICallReply): () => void {
    const reason = this.#findRefusal(call);
    if (reason !== null) {
      this.#refuseUnserved(call, reply, reason);
      return () => undefined;
    }
    const { memory, bounds } = this.#parts;
    const work = queueItemOf(call);
    const run = new ModelRun({ call, reply, work, memory, bounds }, this);
    run.times.lagWhenRead = this.#parts.lag();
    this.#unfinished.add(run);
    const { clock } = this.#parts;
    const timeLeft = call.deadline - this.#now;
    run.deadlineTimer = clock.after(timeLeft, () => this.#handleTimeout(run));
    if (this.#parts.quarantine.isQuarantined(call)) {
      this.#endQuarantined(run);
      return () => undefined;
    }
    this.#models.recordArrival(call, this.#now);
    const { queue } = this.#models.getOrCreate(call);
    if (this.#isAdmitted(call, queue.expectedWait(this.#now))) {
      this.#enqueue(run);
      this.#placeWaiting(this.#models.getOrCreate(call));
    } else {
      this.#end(run, CallRefusalReason.Stopping, STOPPING_RETRY_AFTER);
    }
    return () => this.#handleDisconnect(run);
  }

  /**
   * Why no group can serve a call; null if one can. State is kept for each
   * model, and callers may invent any number of them.
   */
  #findRefusal(call: ICall): CallRefusalReason | null {
    const found = this.#models.engineOf(call);
    if (found === null) {
      return CallRefusalReason.NoGroup;
    }
    return call.tokens.prompt > found.engine.memoryTokens
      ? CallRefusalReason.Hopeless
      : null;
  }

  #refuseUnserved(
    call: ICall,
    reply: ICallReply,
    reason: CallRefusalReason,
  ): void {
    this.#recorder.recordUnserved(call, reason);
    reply.refuse({
      kind: CallRefusalKind.NotRun,
      reason,
      retryAfter: UNSERVED_RETRY_AFTER,
    });
  }

  /**
   * From now on calls that have not run, and are not expected to end in time,
   * are refused: another process can serve them, while here they would be cut.
   * Calls that may have run are served until then.
   */
  stopAt(times: IStopTimes): void {
    this.#servingPeriod.stopAt(times);
    for (const { queue } of this.#models.all) {
      this.#refuseLateEnding(queue);
    }
  }

  /**
   * Ends the calls that outlast the process. Those without an answer get one,
   * since a closed connection does not show whether to try elsewhere.
   */
  endUnfinished(): void {
    const now = this.#now;
    const stoppingFor = this.#servingPeriod.timeSinceStop(now);
    for (const run of this.#unfinished) {
      this.#recorder.recordCut(run, { now, stoppingFor });
      this.#abortSends(run);
      this.#models.getOrCreate(run.call).queue.remove(run);
      this.#end(run, CallRefusalReason.Stopping, STOPPING_RETRY_AFTER);
    }
  }

  /**
   * Retries the calls of lost groups and places waiting calls on the new list.
   *
   * @param lost - groups abandoned by the lease holder: no call starts there
   */
  handleGroupsChanged(lost: readonly string[]): void {
    this.#rememberLost(lost);
    if (lost.length > 0) {
      this.#doubt(({ group }) => lost.includes(group.group));
    }
    for (const state of this.#models.all) {
      this.#placeWaiting(state);
    }
  }

  /**
   * Handles that this process has lost its own path to a service. What it saw
   * of the groups proves nothing, and calls go over another path from now on.
   */
  handlePathLost(service: string): void {
    this.#stallDetector.clearSuspicions();
    this.#reachability.clear();
    for (const { call, openSends } of this.#openRuns) {
      if (call.service === service) {
        openSends.forEach(({ stream }) =>
          this.#stallDetector.detachStream(stream),
        );
      }
    }
    this.check();
  }

  /** Ends the calls that must not reach an engine any more. */
  handleQuarantineChanged(): void {
    const { quarantine } = this.#parts;
    const isRefused = ({ call }: ModelRun) => quarantine.isQuarantined(call);
    for (const { queue } of this.#models.all) {
      for (const run of queue.removeWhere(isRefused)) {
        this.#endQuarantined(run);
      }
    }
    const now = this.#now;
    const isEarly = ({ openSends }: ModelRun) =>
      openSends.every(({ beganAt }) => now - (beganAt ?? now) < PROOF_TIME);
    const open = [...this.#openRuns];
    for (const run of open.filter(isRefused).filter(isEarly)) {
      this.#abortSends(run);
      this.#endQuarantined(run);
    }
  }

  /** Handles stalls and places waiting calls, every {@link CHECK_PERIOD}. */
  check(): void {
    const now = this.#now;
    const stalls = this.#stallDetector.check(now);
    const stalled = new Set(stalls.stalledStreams);
    if (stalled.size > 0) {
      this.#doubt(({ stream }) => stalled.has(stream));
    }
    const all = this.#parts.groups.all;
    for (const group of stalls.suspectedGroups) {
      const known = all.find((one) => one.group === group);
      if (known !== undefined) {
        this.#reachability.recordUnreachable(known.zone, group, now);
        this.#parts.paths.recordSilence(known.service, known.head.id);
      }
      this.#parts.metrics.count("stalled_groups");
      this.#parts.log.warn("group_suspected", { group });
    }
    if (stalls.suspectedGroups.length > 0) {
      this.#parts.onGroupsSuspected();
    }
    for (const state of this.#models.all) {
      this.#placeWaiting(state);
      this.#refuseHopeless(state.queue);
    }
  }

  onEvents(run: ModelRun, send: ModelSend): void {
    const now = this.#now;
    const { times } = run;
    this.#seekingRuns.delete(run);
    times.firstEventAt ??= now;
    const pause = now - (times.lastEventAt ?? now);
    times.longestPause = Math.max(times.longestPause, pause);
    times.lastEventAt = now;
    const { stream, sentAt, group } = send;
    if (send.beganAt === null) {
      send.beganAt = now;
      this.#recordBegin(run, send);
    }
    if (stream.lastEventAt === null) {
      const time = now - sentAt - stream.prefillTime;
      const state = this.#models.getOrCreate(run.call);
      state.firstEventTime.addSample(time);
      state.startDelay.addSample(time);
      this.#parts.groups.recordPrefillEnd(group.group, stream.prefillTime);
    }
    this.#reachability.recordEvent(group.zone);
    this.#stallDetector.recordEvent(stream, now);
  }

  #recordBegin(run: ModelRun, send: ModelSend): void {
    const { beganAt, stream, group } = send;
    const isSound = () => {
      const progress = (stream.lastEventAt ?? 0) - (beganAt ?? 0);
      const isGoingOn = run.hasOpen(send) && progress >= PROGRESS_TIME;
      return isGoingOn || send.isWhole;
    };
    const observed = { call: run.call, target: group.head, beganAt };
    this.#parts.quarantine.recordBegin(observed, isSound);
  }

  onSendReplaced(run: ModelRun, send: ModelSend): void {
    this.#releaseSend(run, send);
    this.#placeWaiting(this.#models.getOrCreate(run.call));
  }

  onSendEnded(run: ModelRun, send: ModelSend, end: ISendEnd): void {
    this.#releaseSend(run, send);
    if (end.outcome === SendOutcome.Whole) {
      send.isWhole = true;
      const stride = this.#models.engineOf(run.call)?.engine.stride ?? 0;
      const written = run.eventCount * stride;
      const { demand } = this.#models.getOrCreate(run.call);
      demand.recordOutput(written, run.call.tokens.output);
      this.#recordDecoding(run);
      const { group } = send.group;
      this.#finish(run, WHOLE, { group, detail: end.detail });
      run.reply.end();
    } else {
      this.#recordFailure(run, send, end);
      if (end.outcome === SendOutcome.Broken) {
        this.#retryAfterBreak(run, send);
      } else {
        this.#retryOrEnd(run, end.outcome);
      }
    }
    this.#placeWaiting(this.#models.getOrCreate(run.call));
  }

  onSendSilent(run: ModelRun, send: ModelSend, detail: string): void {
    if (send.isDoubtful) {
      return;
    }
    send.doubt();
    this.#logDoubt(run, send, detail);
    if (run.needsAnotherSend) {
      this.#seekingRuns.add(run);
      this.#placeWaiting(this.#models.getOrCreate(run.call));
    }
  }

  #recordFailure(run: ModelRun, send: ModelSend, end: ISendEnd): void {
    const { group, zone, head } = send.group;
    const { outcome, detail } = end;
    const { beganAt } = send;
    if (
      outcome !== SendOutcome.Unreachable &&
      outcome !== SendOutcome.PathLost
    ) {
      this.#stallDetector.suspect(group, this.#now);
    }
    if (outcome === SendOutcome.NotDelivered) {
      this.#reachability.recordUnreachable(zone, group, this.#now);
    }
    this.#parts.log.info("send_failed", {
      request: run.call.id,
      group,
      target: head.id,
      end: outcome,
      detail,
      answering_ms: beganAt === null ? null : Math.round(this.#now - beganAt),
      counted_targets: run.countedTargets,
      attempts: run.call.route.maximumAttempts,
      parts: describeParts(run.call.promptParts),
      fingerprint: run.call.fingerprint,
    });
  }

  /**
   * A call under which an engine has crashed may be the cause, so its number of
   * engines is bounded. Another broken answer is retried once that is known.
   */
  #retryAfterBreak(run: ModelRun, { group, beganAt }: ModelSend): void {
    const { quarantine } = this.#parts;
    const { head } = group;
    const isRepeated = run.suspectedTargets.size > 0;
    const send = { call: run.call, target: head, beganAt };
    if (quarantine.recordBroken(send, isRepeated)) {
      run.suspectedTargets.add(head.id);
    }
    if (this.#mayCrashAnother(run)) {
      this.#retryOrEnd(run, SendOutcome.Broken);
      return;
    }
    const suspected = [...run.suspectedTargets];
    quarantine.waitForVerdicts(suspected, () => {
      const crashed = suspected.filter((target) =>
        quarantine.hasCrashed(target),
      );
      if (crashed.length >= MAXIMUM_CRASHES) {
        this.#abandon(run, CallRefusalReason.TargetLost);
      } else {
        this.#retryOrEnd(run, SendOutcome.Broken);
      }
    });
  }

  #mayCrashAnother({ call, suspectedTargets }: ModelRun): boolean {
    const hasAttempt = suspectedTargets.size < MAXIMUM_CRASHES;
    return hasAttempt && this.#parts.quarantine.mayCrashAnother(call);
  }

  /** Responses of several sends are left out: they contain pauses. */
  #recordDecoding({ call, eventCount, sendCount, times }: ModelRun): void {
    const { firstEventAt, lastEventAt } = times;
    if (sendCount === 1 && firstEventAt !== null && lastEventAt !== null) {
      const time = lastEventAt - firstEventAt;
      this.#models.recordDecoding(call, { events: eventCount, time });
    }
  }

  #rememberLost(lost: readonly string[]): void {
    lost.forEach((group) => this.#lostGroups.add(group));
    for (const group of this.#lostGroups) {
      if (this.#lostGroups.size <= MAXIMUM_LOST_GROUPS) {
        return;
      }
      this.#lostGroups.delete(group);
    }
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #enqueue(run: ModelRun): void {
    if (this.#parts.quarantine.isQuarantined(run.call)) {
      this.#endQuarantined(run);
      return;
    }
    const { queue } = this.#models.getOrCreate(run.call);
    const evicted = queue.add(run);
    if (evicted !== null) {
      this.#refuse(evicted, CallRefusalReason.QueueFull, queue);
    }
  }

  #placeWaiting(state: IModelState): void {
    const { service, model, queue } = state;
    const seeking = this.#seekingOf(state);
    if (queue.size === 0 && seeking.length === 0) {
      return;
    }
    this.#refuseLateEnding(queue);
    this.#refuseWhileOverloaded(state);
    if (!this.#parts.paths.hasPath(service)) {
      this.#refuseUnreachable(queue);
      return;
    }
    const now = this.#now;
    const { groups, limits, cooldowns } = this.#parts;
    const usable = groups
      .ofModel(service, model)
      .filter(({ group }) => !this.#stallDetector.isSuspected(group, now))
      .filter(({ head }) => !limits.isAssignedElsewhere(head.id))
      .filter(({ head }) => !cooldowns.isActive(head.id));
    queue.setHasGroups(usable.length > 0, now);
    let open: ILoadedGroup[] = [...usable];
    for (const run of seeking) {
      const group = this.#chooseAnotherGroup(run, open, state);
      if (group !== null && this.#takeRetry(run)) {
        run.hasRetryGrant = false;
        this.#detachStreams(run);
        this.#send(run, group);
        open = open.map((one) => (one === group ? withCall(one, run) : one));
      }
    }
    while (queue.size > 0) {
      const group = this.#chooseGroup(open, state);
      if (group === null) {
        return;
      }
      const run = queue.takeNext(now);
      if (run === null) {
        return;
      }
      if (!this.#reserveSend(run)) {
        continue;
      }
      this.#send(run, group);
      open = open.map((one) => (one === group ? withCall(one, run) : one));
    }
  }

  /** The runs of a model that another group is to take, started ones first. */
  #seekingOf({ service, model }: IModelState): readonly ModelRun[] {
    const seeking = [...this.#seekingRuns].filter(
      ({ call }) => call.service === service && (call.model ?? "") === model,
    );
    const isStarted = ({ reply }: ModelRun) => Number(reply.isStarted);
    return seeking.sort((left, right) => isStarted(right) - isStarted(left));
  }

  #chooseGroup(
    open: readonly ILoadedGroup[],
    state: IModelState,
  ): ILoadedGroup | null {
    const { limits, cooldowns, zone, random, processes } = this.#parts;
    const now = this.#now;
    const candidates = open.filter(
      ({ head, zone: groupZone }) =>
        this.#reachability.mayTry(groupZone, now) &&
        limits.maySend(head.id) &&
        cooldowns.maySend(head.id),
    );
    return chooseGroup(candidates, {
      zone,
      processes: processes(),
      prefillBudget: Math.max(
        0,
        state.objective - state.firstEventTime.estimate,
      ),
      chance: () => random.next(),
    });
  }

  /** A group without a send of the call; null if the call may take none. */
  #chooseAnotherGroup(
    run: ModelRun,
    open: readonly ILoadedGroup[],
    state: IModelState,
  ): ILoadedGroup | null {
    const { call, openSends } = run;
    const isAllowed =
      this.#mayCrashAnother(run) && !this.#parts.quarantine.isQuarantined(call);
    const heads = openSends.map(({ group }) => group.head.id);
    const others = open.filter(({ head }) => !heads.includes(head.id));
    return isAllowed ? this.#chooseGroup(others, state) : null;
  }

  /**
   * What is silent beside a new send is judged alone: its path may be what is
   * lost, and would keep its group suspected.
   */
  #detachStreams({ openSends }: ModelRun): void {
    openSends.forEach(({ stream }) => this.#stallDetector.detachStream(stream));
  }

  /** Whether a call that starts after a wait is served by a stopping process. */
  #isAdmitted(call: ICall, wait: number): boolean {
    const now = this.#now;
    const end = now + wait + this.#models.longestRun(call);
    return this.#servingPeriod.admits(call, { now, end });
  }

  /** Refuses the waiting calls that would be cut by the end of the process. */
  #refuseLateEnding(queue: ModelQueue): void {
    if (!this.#servingPeriod.hasEnd) {
      return;
    }
    const refused = queue.removeWhere(
      (run) => !run.mayHaveRun && !this.#isAdmitted(run.call, 0),
    );
    for (const run of refused) {
      this.#end(run, CallRefusalReason.Stopping, STOPPING_RETRY_AFTER);
    }
  }

  /**
   * Refuses the waiting calls while no group of a model takes any. A started
   * stream waits if its caller is still there when the first one does.
   */
  #refuseWhileOverloaded({ service, model, queue }: IModelState): void {
    const heads = this.#headsOf(service, model);
    const wait = this.#parts.cooldowns.shortestWait(heads);
    if (wait === 0) {
      return;
    }
    const end = this.#now + wait;
    const refused = queue.removeWhere(({ call, reply, times }) => {
      const leavesAt = (times.lastEventAt ?? 0) + call.route.patience;
      return !reply.isStarted || end > Math.min(call.deadline, leavesAt);
    });
    for (const run of refused) {
      this.#refuse(run, CallRefusalReason.Overloaded, queue);
    }
  }

  /** A started stream waits, as a path may be found in time. */
  #refuseUnreachable(queue: ModelQueue): void {
    const refused = queue.removeWhere(({ reply }) => !reply.isStarted);
    for (const run of refused) {
      this.#endUnreachable(run);
    }
  }

  #endUnreachable(run: ModelRun): void {
    const spread = this.#parts.random.next() * UNREACHABLE_SPREAD;
    const retryAfter = UNREACHABLE_RETRY_AFTER + spread;
    this.#end(run, CallRefusalReason.Unreachable, retryAfter);
  }

  #endQuarantined(run: ModelRun): void {
    const reason = CallRefusalReason.Quarantined;
    this.#end(run, reason, QUARANTINE_RETRY_AFTER);
  }

  #headsOf(service: string, model: string): readonly string[] {
    const groups = this.#parts.groups.ofModel(service, model);
    return groups.map(({ head }) => head.id);
  }

  /**
   * Takes a further send from the retry allowance; without one the call ends. A
   * call that has reached no target yet, for lack of a connection, needs none.
   */
  #reserveSend(run: ModelRun): boolean {
    if (run.sendCount === 0) {
      this.#parts.retries.recordFirstSend(run.call.service, this.#now);
      return true;
    }
    if (!run.mayHaveReachedTarget || this.#takeRetry(run)) {
      run.hasRetryGrant = false;
      return true;
    }
    this.#abandon(run, CallRefusalReason.TargetLost);
    return false;
  }

  /** Takes a retry from the allowance unless the call already has one. */
  #takeRetry(run: ModelRun): boolean {
    const { retries } = this.#parts;
    run.hasRetryGrant ||= retries.tryTake(run.call.service, this.#now);
    return run.hasRetryGrant;
  }

  #send(run: ModelRun, group: ILoadedGroup): void {
    const now = this.#now;
    const { call } = run;
    const engine = this.#models.engineOf(call);
    const stream = {
      group: group.group,
      model: modelKey(call),
      gapDuringPrefill: engine
        ? gapDuringPrefill(engine.engine, engine.model)
        : 0,
      longestGap: engine ? longestGap(engine.engine, engine.model) : 0,
      prefillTime: this.#models.prefillTime(call),
      sentAt: now,
      lastEventAt: null,
    };
    this.#openRuns.add(run);
    this.#parts.groups.recordSend(group.group, stream.prefillTime);
    this.#reachability.recordSend(group.zone, now);
    this.#stallDetector.recordSend(stream);
    this.#seekingRuns.delete(run);
    run.startSend({ group, stream, sentAt: now }, (receiver) =>
      this.#parts.sender.send(group.head, call, {
        timeLeft: call.deadline - now,
        lastEventId: run.lastEventId,
        needsNewConnection: false,
        receiver,
      }),
    );
  }

  #releaseSend(run: ModelRun, { stream, group }: ModelSend): void {
    if (run.openSends.length === 0) {
      this.#openRuns.delete(run);
      this.#seekingRuns.delete(run);
    }
    if (stream.lastEventAt === null) {
      this.#parts.groups.recordPrefillEnd(group.group, stream.prefillTime);
    }
    this.#parts.groups.recordEnd(group.group);
    this.#stallDetector.removeStream(stream);
  }

  #abortSends(run: ModelRun): void {
    for (const send of run.abort()) {
      this.#releaseSend(run, send);
    }
  }

  /**
   * Looks for another group for the calls whose sends are silent, or whose
   * groups are lost. Until one answers, the sends go on: a slow group answers
   * late but completely, and one believed to be lost may still deliver.
   */
  #doubt(isDoubtful: (send: ModelSend) => boolean): void {
    for (const run of this.#openRuns) {
      for (const send of run.openSends) {
        if (!send.isDoubtful && isDoubtful(send)) {
          send.doubt();
          this.#logDoubt(run, send, "target");
        }
      }
      if (run.needsAnotherSend) {
        this.#seekingRuns.add(run);
      }
    }
  }

  #logDoubt(
    run: ModelRun,
    { group, stream, sentAt }: ModelSend,
    detail: string,
  ): void {
    const now = this.#now;
    const silence = now - (stream.lastEventAt ?? sentAt);
    this.#parts.log.info("send_silent", {
      request: run.call.id,
      group: group.group,
      is_lost: this.#lostGroups.has(group.group),
      silent_ms: Math.round(silence),
      counted_targets: run.countedTargets,
      attempts: run.call.route.maximumAttempts,
      last_event: run.lastEventId,
      detail,
      stopping_ms: this.#servingPeriod.timeSinceStop(now),
    });
  }

  #retryOrEnd(run: ModelRun, end: SendOutcome): void {
    if (run.isFinished) {
      return;
    }
    if (run.openSends.length > 0) {
      if (run.needsAnotherSend) {
        this.#seekingRuns.add(run);
      }
      return;
    }
    if (end === SendOutcome.Unreachable && !run.reply.isStarted) {
      this.#endUnreachable(run);
      return;
    }
    if (run.canRetry && this.#now < run.call.deadline) {
      if (run.reply.isStarted) {
        run.queueItem = startedQueueItemOf(run.call);
      }
      this.#logWait(run);
      this.#enqueue(run);
      return;
    }
    const isRefused =
      end === SendOutcome.NotRun || end === SendOutcome.NotDelivered;
    this.#abandon(
      run,
      isRefused
        ? CallRefusalReason.TargetRefused
        : CallRefusalReason.TargetLost,
    );
  }

  /** Logs what a call that is to be sent again waits for. */
  #logWait(run: ModelRun): void {
    const { service, model } = run.call;
    const { groups, paths, log } = this.#parts;
    const known = groups.ofModel(service, model ?? "");
    const suspected = known.filter(({ group }) =>
      this.#stallDetector.isSuspected(group, this.#now),
    );
    log.info("call_waits", {
      request: run.call.id,
      groups: known.length,
      suspected: suspected.length,
      has_path: paths.hasPath(service),
      waiting: this.#models.getOrCreate(run.call).queue.size,
    });
  }

  #refuseHopeless(queue: ModelQueue): void {
    const hopeless = queue.removeHopeless(this.#now, (run) =>
      this.#models.shortestRun(run.call),
    );
    for (const run of hopeless) {
      this.#refuse(run, CallRefusalReason.Hopeless, queue);
    }
  }

  #refuse(run: ModelRun, reason: CallRefusalReason, queue: ModelQueue): void {
    const { service, model } = run.call;
    const chance = this.#parts.random.next();
    const heads = this.#headsOf(service, model ?? "");
    const retryAfter =
      this.#parts.cooldowns.retryAfter(heads, chance) ??
      queue.retryAfter(this.#now, chance);
    this.#end(run, reason, retryAfter);
  }

  #abandon(run: ModelRun, reason: CallRefusalReason): void {
    if (run.openSends.length > 0) {
      return;
    }
    this.#refuse(run, reason, this.#models.getOrCreate(run.call).queue);
  }

  #end(run: ModelRun, reason: CallRefusalReason, retryAfter: number): void {
    if (run.isFinished) {
      return;
    }
    const kind = refusalKindOf(run, reason);
    this.#finish(run, kind, { reason, retry_after: Math.round(retryAfter) });
    if (run.reply.isStarted) {
      run.reply.reset();
    } else {
      run.reply.refuse({ kind, reason, retryAfter });
    }
  }

  #handleTimeout(run: ModelRun): void {
    if (run.isFinished) {
      return;
    }
    this.#abortSends(run);
    this.#models.getOrCreate(run.call).queue.remove(run);
    this.#end(run, CallRefusalReason.DeadlinePassed, 0);
    this.#placeWaiting(this.#models.getOrCreate(run.call));
  }

  #handleDisconnect(run: ModelRun): void {
    if (run.isFinished) {
      return;
    }
    this.#abortSends(run);
    this.#models.getOrCreate(run.call).queue.remove(run);
    this.#finish(run, "caller_left", {});
    this.#placeWaiting(this.#models.getOrCreate(run.call));
  }

  #finish(
    run: ModelRun,
    outcome: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    run.isFinished = true;
    this.#unfinished.delete(run);
    run.deadlineTimer?.dispose();
    const now = this.#now;
    const stoppingFor = this.#servingPeriod.timeSinceStop(now);
    this.#recorder.recordEnd(run, { outcome, fields, now, stoppingFor });
  }
}

/** The load of a group with one more call sent to it. */
function withCall(group: ILoadedGroup, run: ModelRun): ILoadedGroup {
  const prefillTime = run.openSends.at(-1)?.stream.prefillTime ?? 0;
  return {
    ...group,
    ownInFlight: group.ownInFlight + 1,
    ownPrefillTime: group.ownPrefillTime + prefillTime,
  };
}

/** Reports a call as not run only if no target can have started it. */
function refusalKindOf(
  run: ModelRun,
  reason: CallRefusalReason,
): CallRefusalKind {
  if (!run.mayHaveRun) {
    return CallRefusalKind.NotRun;
  }
  return reason === CallRefusalReason.DeadlinePassed
    ? CallRefusalKind.TimedOut
    : CallRefusalKind.TargetFailed;
}
