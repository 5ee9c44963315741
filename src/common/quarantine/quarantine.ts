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
import { CrashWitness } from "./crash_witness.ts";
import { QuarantineList } from "./quarantine_list.ts";
import { QuarantineRecord } from "./quarantine_record.ts";
import { QuarantineSynchronizer } from "./quarantine_synchronizer.ts";
import { partKey } from "./types.ts";
import type {
  ICallQuarantine,
  ICrashReport,
  IEngineStartReader,
  IFoundCause,
  IObservedSend,
  IPromptedCall,
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

  isQuarantined({ service, promptParts }: IPromptedCall): boolean {
    return this.#list.find(service, promptParts) !== null;
  }

  recordBegin(send: IObservedSend, isSound: () => boolean): void {
    this.#witness.recordBegin(send, isSound);
  }

  recordBroken(send: IObservedSend, isRepeated: boolean): boolean {
    return this.#witness.recordBroken(send, isRepeated);
  }

  waitForVerdict(target: InstanceId, callback: () => void): void {
    this.#witness.waitForVerdict(target, callback);
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
    if (this.#list.add(report.unsaved)) {
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
