/**
 * What one process sees of crashes: which calls an engine had when it broke off
 * their answers, whether it had crashed, and which answers went on.
 *
 * A broken answer alone proves nothing, since engines break single answers off
 * and links fail. The engine has crashed if it reports to nobody now, or reports
 * a later start.
 */
import type { ISendTarget } from "../calls/types.ts";
import type { IClock, ILog } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import { partKey } from "./types.ts";
import type {
  ICrashCause,
  ICrashReport,
  IEngineStartReader,
  IObservedSend,
  IPromptedCall,
  IRequestCrash,
  ISuspectCounts,
  PartKey,
  ProofAges,
} from "./types.ts";

/**
 * Milliseconds for which an answer must go on to prove its parts harmless: an
 * engine may write some events before it crashes.
 */
export const PROOF_TIME = 1_000;

/** Milliseconds in which all answers of a crashed engine break off. */
const GATHERING_TIME = 100;

/** Timeout of a report that shows whether an engine still runs, milliseconds. */
const REPORT_TIMEOUT = 400;

/** Milliseconds for which a verdict on an engine is remembered. */
const VERDICT_LIFETIME = 5_000;

/** Parts whose latest proof is remembered; the oldest is forgotten first. */
const MAXIMUM_PROOFS = 4_096;

/** Crash reports kept for another lease holder. */
const MAXIMUM_REPORTS = 16;

/** Milliseconds for which they are kept. */
const REPORT_LIFETIME = 600_000;

/** Parts named in a log line. */
const MAXIMUM_LOGGED_PARTS = 16;

enum Verdict {
  Pending = "pending",
  Crashed = "crashed",
  Running = "running",
}

interface IBreak {
  readonly target: InstanceId;
  readonly service: ServiceName;
  readonly startedAt: number;
  readonly at: MonotonicTime;
  verdict: Verdict;
  /** Whether the verdict is known, and the peers have answered. */
  isSettled: boolean;
  isReported: boolean;
  /** Fingerprints of the suspects. */
  readonly requests: Set<string>;
  readonly suspects: Map<string, { calls: number; newCalls: number }>;
  waiting: (() => void)[];
  /** What the reports that were asked for showed, for the log. */
  readonly reports: string[];
}

interface IBegunAnswer {
  readonly send: IObservedSend;
  readonly at: MonotonicTime;
  readonly isSound: () => boolean;
}

/** Dependencies of {@link CrashWitness}. */
export interface ICrashWitnessParts {
  readonly engines: IEngineStartReader;
  /**
   * Start of an engine, which rises with each start; null if it is not known.
   */
  readonly startOf: (target: InstanceId) => number | null;
  readonly clock: IClock;
  readonly log: ILog;
  /** Called with each crash. */
  readonly onCrash: (report: ICrashReport) => void;
  /** Resolves once the peers have received crashes, or a timeout. */
  readonly onRequestCrashes: (
    crashes: readonly IRequestCrash[],
  ) => Promise<void>;
  /** Called with each answer that has proved its call harmless. */
  readonly onProof: (call: IPromptedCall) => void;
}

/** The crashes and proofs of one process. */
export class CrashWitness {
  readonly #parts: ICrashWitnessParts;
  /** The latest break of each target. */
  readonly #breaks = new Map<InstanceId, IBreak>();
  #begun: IBegunAnswer[] = [];
  readonly #provedAt = new Map<PartKey, MonotonicTime>();
  #reports: { readonly report: ICrashReport; readonly at: MonotonicTime }[] =
    [];
  #serial = 0;

  constructor(parts: ICrashWitnessParts) {
    this.#parts = parts;
  }

  /** Crash reports after a serial, for the lease holder. */
  reportsAfter(serial: number): readonly ICrashReport[] {
    const now = this.#now;
    return this.#reports
      .filter(({ report }) => report.serial > serial)
      .map(({ report, at }) => ({ ...report, age: now - at }));
  }

  /** Ages of the proofs that are known for some parts. */
  proofsOf(keys: readonly PartKey[]): ProofAges {
    const now = this.#now;
    return Object.fromEntries(
      keys.flatMap((key) => {
        const provedAt = this.#provedAt.get(key);
        return provedAt === undefined ? [] : [[key, now - provedAt]];
      }),
    );
  }

  /** Forgets the crashes that a cause explains, as it is released. */
  forgetExplained({ service, parts }: ICrashCause): void {
    this.#reports = this.#reports.filter(
      ({ report }) =>
        report.service !== service ||
        !parts.every((part) => part in report.suspects),
    );
  }

  recordBegin(send: IObservedSend, isSound: () => boolean): void {
    const { promptParts, fingerprint } = send.call;
    if (promptParts.length > 0 || fingerprint !== null) {
      this.#begun.push({ send, at: this.#now, isSound });
    }
  }

  /** Returns whether the call is a suspect. */
  recordBroken(send: IObservedSend, isRepeated: boolean): boolean {
    const { call, target, beganAt } = send;
    const one = this.#breakOf(target, call.service);
    const isSuspect = beganAt === null || this.#now - beganAt < PROOF_TIME;
    if (isSuspect) {
      for (const part of call.promptParts) {
        const counts = one.suspects.get(part) ?? { calls: 0, newCalls: 0 };
        counts.calls += 1;
        counts.newCalls += isRepeated ? 0 : 1;
        one.suspects.set(part, counts);
      }
      this.#recordRequest(one, call);
    }
    return isSuspect;
  }

  /** Number of targets that may have crashed under a request. */
  pendingCrashes({ service, fingerprint }: IPromptedCall): number {
    const pending = [...this.#breaks.values()].filter(
      (one) =>
        one.verdict === Verdict.Pending &&
        one.service === service &&
        one.requests.has(fingerprint ?? ""),
    );
    return pending.length;
  }

  waitForVerdicts(targets: readonly InstanceId[], callback: () => void): void {
    const open = targets
      .map((target) => this.#breaks.get(target))
      .find((one) => one !== undefined && !one.isSettled);
    if (open === undefined) {
      callback();
    } else {
      open.waiting.push(() => this.waitForVerdicts(targets, callback));
    }
  }

  hasCrashed(target: InstanceId): boolean {
    return this.#breaks.get(target)?.verdict === Verdict.Crashed;
  }

  /** Evaluates the answers that have gone on for long enough. */
  check(): void {
    const now = this.#now;
    let due = 0;
    for (const { send, at, isSound } of this.#begun) {
      if (now - at < PROOF_TIME) {
        break;
      }
      due += 1;
      if (isSound() && !this.#hasBrokenSince(send.target.id, at)) {
        this.#recordProof(send);
      }
    }
    this.#begun = due === 0 ? this.#begun : this.#begun.slice(due);
    this.#forgetOld(now);
  }

  #recordRequest(one: IBreak, { fingerprint }: IPromptedCall): void {
    if (fingerprint !== null && !one.requests.has(fingerprint)) {
      one.requests.add(fingerprint);
      if (one.verdict === Verdict.Crashed) {
        void this.#shareRequests(one, [fingerprint]);
      }
    }
  }

  #shareRequests(one: IBreak, fingerprints: readonly string[]): Promise<void> {
    const { target, service, startedAt, at } = one;
    const age = this.#now - at;
    return this.#parts.onRequestCrashes(
      fingerprints.map((fingerprint) => {
        return { service, fingerprint, target, startedAt, age };
      }),
    );
  }

  #recordProof({ call }: IObservedSend): void {
    this.#parts.onProof(call);
    for (const part of call.promptParts) {
      const key = partKey(call.service, part);
      // Set again, so that the parts in use are the last to be forgotten.
      this.#provedAt.delete(key);
      this.#provedAt.set(key, this.#now);
    }
    for (const key of this.#provedAt.keys()) {
      if (this.#provedAt.size <= MAXIMUM_PROOFS) {
        return;
      }
      this.#provedAt.delete(key);
    }
  }

  #hasBrokenSince(target: InstanceId, since: MonotonicTime): boolean {
    const one = this.#breaks.get(target);
    return (
      one !== undefined && one.at >= since && one.verdict !== Verdict.Running
    );
  }

  /** The break that a broken answer belongs to. */
  #breakOf({ id: target, address }: ISendTarget, service: ServiceName): IBreak {
    const known = this.#breaks.get(target);
    const startedAt = this.#parts.startOf(target) ?? known?.startedAt ?? 0;
    const isSameCrash =
      known?.verdict === Verdict.Crashed && known.startedAt === startedAt;
    const isOpen =
      known?.verdict === Verdict.Pending || (isSameCrash && !known.isReported);
    if (known !== undefined && isOpen) {
      return known;
    }
    const one: IBreak = {
      ...{ target, service, startedAt },
      at: isSameCrash ? known.at : this.#now,
      verdict: isSameCrash ? Verdict.Crashed : Verdict.Pending,
      isSettled: isSameCrash,
      isReported: false,
      requests: new Set(),
      suspects: new Map(),
      waiting: [],
      reports: [],
    };
    this.#breaks.set(target, one);
    if (isSameCrash) {
      this.#parts.clock.after(GATHERING_TIME, () => this.#report(one));
    } else {
      void this.#judge(one, address);
    }
    return one;
  }

  /** Finds out whether an engine still runs after it broke an answer off. */
  async #judge(one: IBreak, address: string): Promise<void> {
    const engine = { id: one.target, address };
    const hasCrashed =
      !(await this.#isRunning(engine, one)) &&
      // Asked again through another process, in case only this path is lost.
      !(await this.#isRunning(engine, one));
    one.verdict = hasCrashed ? Verdict.Crashed : Verdict.Running;
    this.#parts.log.info("engine_judged", {
      target: one.target,
      verdict: one.verdict,
      reports: one.reports.join(","),
      requests: one.requests.size,
      after_ms: Math.round(this.#now - one.at),
    });
    if (hasCrashed) {
      const told = this.#shareRequests(one, [...one.requests]);
      this.#scheduleReport(one);
      await told;
    }
    one.isSettled = true;
    const { waiting } = one;
    one.waiting = [];
    waiting.forEach((callback) => callback());
  }

  #scheduleReport(one: IBreak): void {
    const left = Math.max(0, one.at + GATHERING_TIME - this.#now);
    this.#parts.clock.after(left, () => this.#report(one));
  }

  async #isRunning(
    engine: { readonly id: InstanceId; readonly address: string },
    { startedAt, reports }: Pick<IBreak, "startedAt" | "reports">,
  ): Promise<boolean> {
    const report = await this.#parts.engines.fetchReport(
      engine,
      REPORT_TIMEOUT,
    );
    reports.push(report.isErr() ? report.error.kind : "answered");
    if (report.isErr()) {
      return report.error.kind === CallFailureKind.NoPath;
    }
    return startedAt === 0 || report.value.startedAt <= startedAt;
  }

  #report(one: IBreak): void {
    const { target, service, startedAt, at } = one;
    one.isReported = true;
    this.#serial += 1;
    const suspects: Record<string, ISuspectCounts> = Object.fromEntries(
      one.suspects,
    );
    const report = {
      ...{ serial: this.#serial, target, startedAt, service, suspects },
      requests: [...one.requests],
      age: this.#now - at,
    };
    this.#reports.push({ report, at });
    this.#reports = this.#reports.slice(-MAXIMUM_REPORTS);
    this.#parts.log.warn("engine_crashed", {
      target,
      service,
      suspects: [...one.suspects]
        .slice(0, MAXIMUM_LOGGED_PARTS)
        .map(([part, { calls }]) => `${part}:${calls}`)
        .join(","),
    });
    this.#parts.onCrash(report);
  }

  #forgetOld(now: MonotonicTime): void {
    for (const [target, { at, verdict }] of this.#breaks) {
      if (verdict !== Verdict.Pending && now - at > VERDICT_LIFETIME) {
        this.#breaks.delete(target);
      }
    }
    const isKept = ({ at }: { readonly at: MonotonicTime }) =>
      now - at <= REPORT_LIFETIME;
    if (!this.#reports.every(isKept)) {
      this.#reports = this.#reports.filter(isKept);
    }
  }

  get #now(): MonotonicTime {
    return this.#parts.clock.now();
  }
}
