/**
 * Refuses calls whose prompts crash engines. Each process reports the crashes
 * that it sees to the lease holder, which finds the cause and distributes it.
 * Without a holder a process decides by what it has seen itself. The platform's
 * store keeps the causes, since a part that is tried again crashes engines
 * again, however long it was away and whatever was restarted meanwhile.
 */
import type { IDisposable } from "../disposable.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IObjectStore,
} from "../services/services.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import type { CrashingRequests } from "./crashing_requests.ts";
import { MAXIMUM_REQUEST_CRASHES } from "./crashing_requests.ts";
import { CrashWitness } from "./crash_witness.ts";
import { isSameCause, QuarantineList } from "./quarantine_list.ts";
import { QuarantineRecord } from "./quarantine_record.ts";
import { QuarantineSynchronizer } from "./quarantine_synchronizer.ts";
import { QuarantineTrials } from "./quarantine_trials.ts";
import { partKey } from "./types.ts";
import type {
  ICallQuarantine,
  ICrashCause,
  ICrashReport,
  IEngineStartReader,
  IFoundCause,
  IObservedSend,
  IPromptedCall,
  IRequestCrash,
  IQuarantineEntry,
  IQuarantineMember,
  IQuarantineReply,
  IQuarantineReport,
  PartKey,
} from "./types.ts";

/** How often evidence is evaluated, milliseconds. */
const EVALUATION_PERIOD = 100;

/** How often answers that have begun are checked, milliseconds. */
const PROOF_CHECK_PERIOD = 50;

/** Milliseconds for which a cause is quarantined: one hour. */
const QUARANTINE_TIME = 3_600_000;

/**
 * Milliseconds for which a process that starts waits for the record: without the
 * store it would serve nobody.
 */
const LONGEST_LOADING_TIME = 3_000;

/** Number of released causes in replies to other processes. */
const MAXIMUM_RELEASES = 100;

/** Processes whose last report is remembered; more than run at once. */
const MAXIMUM_PROCESSES = 2_000;

/** Whose evidence a process decides by. */
export enum QuarantineRole {
  /** It holds the lease and decides for all processes. */
  Holder = "holder",
  /** It follows the decisions of the holder. */
  Follower = "follower",
  /** It has no connection to a holder. */
  Alone = "alone",
  /** It decides by itself, and shares what it finds through the store. */
  Independent = "independent",
}

/** Dependencies of {@link Quarantine}. */
export interface IQuarantineParts {
  readonly engines: IEngineStartReader;
  readonly startOf: (target: InstanceId) => number | null;
  readonly store: Pick<IObjectStore, "read" | "write">;
  readonly role: () => QuarantineRole;
  /** Increases with each lease epoch; the versions of a holder's lists do too. */
  readonly firstVersion: () => number;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /** Called when calls have to be checked again. */
  readonly onListChanged: () => void;
  /** Called at the holder when its replies to other processes have changed. */
  readonly onNews: () => void;
  /** Called when there is a new crash to report to the holder. */
  readonly onCrash: () => void;
  /** Crashes by request, as this process and others know them. */
  readonly requests: CrashingRequests;
  /** Resolves once the peers have received crashes, or a timeout. */
  readonly tellOthers: (crashes: readonly IRequestCrash[]) => Promise<void>;
}

/** The quarantine as one process knows it. */
export class Quarantine
  implements ICallQuarantine, IQuarantineMember, IDisposable
{
  readonly #parts: IQuarantineParts;
  readonly #list = new QuarantineList();
  readonly #evidence = new CrashEvidence();
  readonly #witness: CrashWitness;
  readonly #synchronizer: QuarantineSynchronizer;
  readonly #timers: IDisposable[] = [];
  /** Serial of the last crash report received, by process. */
  readonly #received = new Map<string, number>();
  /** Serial that the present holder has acknowledged. */
  #acknowledged = 0;
  /** Parts on which answers are of interest, at the holder. */
  #suspects: readonly PartKey[] = [];
  /** Parts on which the holder asked for answers. */
  #askedFor: readonly PartKey[] = [];
  readonly #trials = new QuarantineTrials();
  /** Causes that this process has found to be wrong. */
  #released: readonly ICrashCause[] = [];
  #heardVersion = 0;
  #changes = 0;
  /** Whether a change has not been sent to the other processes yet. */
  #hasNews = false;
  /** Whether the holder has sent its entries. */
  #hasHolderEntries = false;
  readonly #createdAt: MonotonicTime;

  constructor(parts: IQuarantineParts) {
    this.#parts = parts;
    this.#createdAt = parts.clock.now();
    this.#synchronizer = new QuarantineSynchronizer({
      record: new QuarantineRecord(parts.store),
      list: this.#list,
      clock: parts.clock,
      log: parts.log,
      onChanged: (released) => {
        this.#logReleased(released);
        this.#handleListChanged();
      },
    });
    this.#witness = new CrashWitness({
      ...parts,
      onCrash: (report) => this.#handleCrash(report),
      onRequestCrashes: (crashes) => this.#handleRequestCrashes(crashes),
      onProof: (call) => this.#handleProof(call),
    });
  }

  start(): void {
    const { clock } = this.#parts;
    this.#timers.push(
      clock.every(EVALUATION_PERIOD, () => this.#evaluate()),
      clock.every(PROOF_CHECK_PERIOD, () => this.#witness.check()),
    );
    this.#evaluate();
  }

  dispose(): void {
    this.#timers.forEach((timer) => timer.dispose());
  }

  /**
   * Whether the entries are known, from the store or from the holder, or are not
   * to be waited for any longer.
   */
  get isLoaded(): boolean {
    const hasWaited = this.#now - this.#createdAt > LONGEST_LOADING_TIME;
    return this.#hasHolderEntries || this.#synchronizer.isLoaded || hasWaited;
  }

  get entries(): readonly IQuarantineEntry[] {
    return this.#list.entries;
  }

  isQuarantined(call: IPromptedCall): boolean {
    if (this.#crashCount(call) >= MAXIMUM_REQUEST_CRASHES) {
      return true;
    }
    const entry = this.#list.find(call.service, call.promptParts);
    return entry !== null && !this.#isTrial(call, entry);
  }

  /** Whether a call is sent to find out if a finding is wrong. */
  #isTrial(call: IPromptedCall, entry: IQuarantineEntry): boolean {
    const role = this.#parts.role();
    const isFoundHere = this.#trials.isScheduled(entry);
    if (role === QuarantineRole.Holder && !isFoundHere) {
      this.#trials.schedule(entry, false, this.#now);
    }
    const mayTry =
      role === QuarantineRole.Holder ||
      (role === QuarantineRole.Independent && isFoundHere);
    return mayTry
      ? this.#trials.admits(call, entry, this.#now)
      : this.#trials.isTrial(call);
  }

  mayCrashAnother(call: IPromptedCall): boolean {
    const pending = this.#witness.pendingCrashes(call);
    return this.#crashCount(call) + pending < MAXIMUM_REQUEST_CRASHES;
  }

  recordBegin(send: IObservedSend, isSound: () => boolean): void {
    this.#witness.recordBegin(send, isSound);
  }

  recordBroken(send: IObservedSend, isRepeated: boolean): boolean {
    this.#trials.recordBroken(send.call);
    return this.#witness.recordBroken(send, isRepeated);
  }

  waitForVerdicts(targets: readonly InstanceId[], callback: () => void): void {
    this.#witness.waitForVerdicts(targets, callback);
  }

  hasCrashed(target: InstanceId): boolean {
    return this.#witness.hasCrashed(target);
  }

  /** What this process reports to the holder. */
  composeReport(): IQuarantineReport {
    const crashes = this.#witness.reportsAfter(this.#acknowledged);
    const suspects = crashes.flatMap((crash) =>
      Object.keys(crash.suspects).map((part) => partKey(crash.service, part)),
    );
    return {
      crashes,
      proofs: this.#witness.proofsOf([...this.#askedFor, ...suspects]),
      listVersion: this.#heardVersion,
      unsaved: this.#list.unsaved,
    };
  }

  /** Handles the report of another process; only at the holder. */
  handleReport(process: string, report: IQuarantineReport): void {
    const now = this.#now;
    const received = this.#received.get(process) ?? 0;
    const crashes = report.crashes.filter(({ serial }) => serial > received);
    for (const crash of crashes) {
      this.#evidence.record(crash, now);
      this.#received.set(process, crash.serial);
    }
    forgetOldest(this.#received, MAXIMUM_PROCESSES);
    for (const [key, age] of Object.entries(report.proofs)) {
      this.#evidence.recordProof(key, now - age);
    }
    const unsaved = report.unsaved.filter(
      (entry) => !this.#released.some((cause) => isSameCause(cause, entry)),
    );
    if (this.#list.add(unsaved)) {
      this.#handleListChanged();
    }
    // Several processes report each crash; the others are updated once for all.
    this.#hasNews ||= crashes.length > 0;
  }

  /** The holder's reply to the report of another process. */
  composeReply(process: string, listVersion: number): IQuarantineReply {
    return {
      received: this.#received.get(process) ?? 0,
      suspects: this.#suspects,
      listVersion: this.#version,
      entries: listVersion === this.#version ? null : this.#list.entries,
      released: this.#released,
    };
  }

  /** Handles the holder's reply; absent if the holder is of an older build. */
  handleReply(reply: IQuarantineReply | undefined): void {
    if (reply === undefined) {
      return;
    }
    this.#acknowledged = reply.received;
    this.#askedFor = reply.suspects;
    this.#heardVersion = reply.listVersion;
    if (reply.entries !== null) {
      this.#hasHolderEntries = true;
      this.#logReleased(this.#list.replaceSaved(reply.entries));
      this.#logReleased(this.#list.remove(reply.released ?? []));
      this.#parts.onListChanged();
    }
  }

  get #version(): number {
    return this.#parts.firstVersion() + this.#changes;
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }

  #handleCrash(report: ICrashReport): void {
    this.#parts.metrics.count("engine_crashes", { service: report.service });
    this.#evidence.record(report, this.#now);
    this.#hasNews = true;
    this.#parts.onCrash();
  }

  /** A call that met an entry and was answered shows that it is wrong. */
  #handleProof(call: IPromptedCall): void {
    this.#parts.requests.recordProof(call);
    const entry = this.#list.find(call.service, call.promptParts);
    if (entry === null || this.#parts.role() === QuarantineRole.Follower) {
      return;
    }
    const { service, parts } = entry;
    this.#released = [...this.#released, { service, parts }].slice(
      -MAXIMUM_RELEASES,
    );
    this.#list.release(entry);
    this.#logReleased([entry]);
    this.#handleListChanged();
  }

  #crashCount(call: IPromptedCall): number {
    return this.#parts.requests.count(call, this.#now);
  }

  async #handleRequestCrashes(
    crashes: readonly IRequestCrash[],
  ): Promise<void> {
    const { log, requests, tellOthers } = this.#parts;
    for (const crash of crashes) {
      const { service, fingerprint, target } = crash;
      requests.record(crash, this.#now);
      const count = this.#crashCount({
        ...{ service, fingerprint, promptParts: [] },
      });
      if (count >= MAXIMUM_REQUEST_CRASHES) {
        const fields = { service, fingerprint, target, crashes: count };
        log.warn("request_quarantined", fields);
      }
    }
    if (crashes.length > 0) {
      await tellOthers(crashes);
    }
  }

  #evaluate(): void {
    const role = this.#parts.role();
    this.#suspects = [];
    if (
      role !== QuarantineRole.Follower &&
      !this.#evidence.isQuiet(this.#now)
    ) {
      this.#suspects = this.#evidence.suspects(this.#now);
      this.#recordOwnProofs();
      this.#findCauses(role);
    }
    const expired = this.#list.removeExpired(this.#parts.clock.calendar());
    if (expired.length > 0) {
      this.#logReleased(expired);
      this.#changes += 1;
      this.#parts.onListChanged();
    }
    if (role !== QuarantineRole.Follower || !this.isLoaded) {
      this.#synchronizer.update(role === QuarantineRole.Alone);
    }
    if (this.#hasNews && role === QuarantineRole.Holder) {
      this.#hasNews = false;
      this.#parts.onNews();
    }
  }

  #recordOwnProofs(): void {
    const now = this.#now;
    const proofs = this.#witness.proofsOf(this.#suspects);
    for (const [key, age] of Object.entries(proofs)) {
      this.#evidence.recordProof(key, now - age);
    }
  }

  #findCauses(role: QuarantineRole): void {
    const causes = this.#evidence.findCauses(this.#list.entries, this.#now);
    if (causes.length === 0) {
      return;
    }
    const { clock, log } = this.#parts;
    const since = clock.calendar();
    const until = since + QUARANTINE_TIME;
    for (const { service, parts, crashes, calls } of causes) {
      const named = parts.join(",");
      const fields = {
        service,
        parts: named,
        crashes,
        calls,
        decided_by: role,
      };
      log.warn("prompt_parts_quarantined", fields);
    }
    for (const cause of causes) {
      this.#trials.schedule(cause, cause.isInDoubt, this.#now);
    }
    this.#released = this.#released.filter(
      (one) => !causes.some((cause) => isSameCause(cause, one)),
    );
    this.#list.add(causes.map((cause) => entryOf(cause, { since, until })));
    this.#handleListChanged();
  }

  #handleListChanged(): void {
    this.#changes += 1;
    this.#parts.metrics.gauge(
      "quarantined_prompt_parts",
      this.#list.entries.length,
    );
    this.#parts.onListChanged();
    this.#hasNews = true;
  }

  /** What was released is not quarantined again for the same crashes. */
  #logReleased(entries: readonly IQuarantineEntry[]): void {
    for (const entry of entries) {
      this.#evidence.forgetExplained(entry);
      this.#witness.forgetExplained(entry);
      const { service, parts } = entry;
      const named = parts.join(",");
      this.#parts.log.info("prompt_parts_released", { service, parts: named });
    }
  }
}

function forgetOldest(map: Map<string, number>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) {
      return;
    }
    map.delete(key);
  }
}

function entryOf(
  { service, parts, crashes }: IFoundCause,
  times: { readonly since: number; readonly until: number },
): IQuarantineEntry {
  return { service, parts, crashes, ...times, isSaved: false };
}
