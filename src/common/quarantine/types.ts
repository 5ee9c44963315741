/**
 * Types of the quarantine of prompt parts that crash engines, and what
 * processes tell each other about it. Times are milliseconds.
 */
import type { Result } from "ts-results-es";
import type { ISendTarget } from "../calls/types.ts";
import type {
  ICallFailure,
  InstanceId,
  MonotonicTime,
  ServiceName,
} from "../types.ts";

/** Calls with one part that an engine had and had hardly begun to answer. */
export interface ISuspectCounts {
  readonly calls: number;
  /** Of these, the calls that were not suspects of an earlier crash. */
  readonly newCalls: number;
}

/** A crash as one process saw it. */
export interface ICrashReport {
  /** Rises with each report of a process. */
  readonly serial: number;
  readonly target: InstanceId;
  /** Start of the crashed run in calendar milliseconds; 0 if unknown. */
  readonly startedAt: number;
  readonly service: ServiceName;
  /** Milliseconds since the crash. */
  readonly age: number;
  /** By part of a prompt. */
  readonly suspects: Readonly<Record<string, ISuspectCounts>>;
  /** Fingerprints of the suspects; absent in reports of older builds. */
  readonly requests?: readonly string[] | undefined;
}

/** A target that crashed while it had a request. */
export interface IRequestCrash {
  readonly service: ServiceName;
  readonly fingerprint: string;
  readonly target: InstanceId;
  /** Start of the crashed run in calendar milliseconds; 0 if unknown. */
  readonly startedAt: number;
  /** Milliseconds since the crash. */
  readonly age: number;
}

/** What a process tells its peers about requests that crash targets. */
export interface ICrashNews {
  readonly crashes: readonly IRequestCrash[];
  /** Whether all crashes are to be returned, as for a process that starts. */
  readonly wantsAll: boolean;
}

/** Identifies a part within a service; see {@link partKey}. */
export type PartKey = string;

/** Milliseconds since an answer on each part has proved it harmless. */
export type ProofAges = Readonly<Record<PartKey, number>>;

/** Calls that contain all of these parts crash engines. */
export interface ICrashCause {
  readonly service: ServiceName;
  /** More than one if they have only been seen together. */
  readonly parts: readonly string[];
}

/** A cause that has been found, and the evidence for it. */
export interface IFoundCause extends ICrashCause {
  readonly crashes: number;
  /** Calls that had the parts and were in these engines. */
  readonly calls: number;
  /** Whether the parts were sound before, or are common. */
  readonly isInDoubt: boolean;
}

/** A cause whose calls are refused. */
export interface IQuarantineEntry extends ICrashCause {
  /** Calendar milliseconds. */
  readonly since: number;
  readonly until: number;
  readonly crashes: number;
  /** Whether the platform's store has it. */
  readonly isSaved: boolean;
}

/** The part of a process's report to the lease holder. */
export interface IQuarantineReport {
  /** Crashes that this holder has not acknowledged. */
  readonly crashes: readonly ICrashReport[];
  /**
   * For the suspects of these crashes and {@link IQuarantineReply.suspects}.
   */
  readonly proofs: ProofAges;
  /** The list that it has from this holder; 0 for none. */
  readonly listVersion: number;
  /** Entries that the store may not have. */
  readonly unsaved: readonly IQuarantineEntry[];
}

/** The part of the lease holder's reply to a process. */
export interface IQuarantineReply {
  /** Serial of the last crash report received from the process. */
  readonly received: number;
  /** Parts on which answers are to be reported. */
  readonly suspects: readonly PartKey[];
  readonly listVersion: number;
  /** Null if the process has this version already. */
  readonly entries: readonly IQuarantineEntry[] | null;
  /** Causes that an answer has disproved; absent from an older build. */
  readonly released?: readonly ICrashCause[] | undefined;
}

/** A call with the parts of its prompt that other calls may share. */
export interface IPromptedCall {
  readonly service: ServiceName;
  readonly promptParts: readonly string[];
  /**
   * Recognizes the attempts of one request, which have ids of their own; null
   * if nothing does.
   */
  readonly fingerprint: string | null;
}

/** A send that an engine has begun to answer, or broke off. */
export interface IObservedSend {
  readonly call: IPromptedCall;
  readonly target: ISendTarget;
  /** When its first event arrived; null if none did. */
  readonly beganAt: MonotonicTime | null;
}

/** Asks engines when they started. */
export interface IEngineStartReader {
  /** Resolves with the start of the present run, or with the failure. */
  fetchReport(
    engine: ISendTarget,
    timeout: number,
  ): Promise<Result<{ readonly startedAt: number }, ICallFailure>>;
}

/** What the request path needs of the quarantine. */
export interface ICallQuarantine {
  /**
   * Whether a call must not reach any engine. Now and then a call with
   * quarantined parts is admitted, to find out whether the finding is wrong.
   */
  isQuarantined(call: IPromptedCall): boolean;
  /**
   * Records that an answer has begun.
   *
   * @param isSound - called some time later; whether the answer went on
   */
  recordBegin(send: IObservedSend, isSound: () => boolean): void;
  /** Records a send that its engine broke off; whether it is a suspect. */
  recordBroken(send: IObservedSend, isRepeated: boolean): boolean;
  /**
   * Whether a request may be sent to another target before it is known whether
   * those that broke it off have crashed.
   */
  mayCrashAnother(call: IPromptedCall): boolean;
  /**
   * Calls back once it is known whether targets have crashed, and
   * the peers have answered or timed out.
   */
  waitForVerdicts(targets: readonly InstanceId[], callback: () => void): void;
  hasCrashed(target: InstanceId): boolean;
}

/** What the exchange with the lease holder needs of the quarantine. */
export interface IQuarantineMember {
  composeReport(): IQuarantineReport;
  handleReport(process: string, report: IQuarantineReport): void;
  composeReply(process: string, listVersion: number): IQuarantineReply;
  handleReply(reply: IQuarantineReply | undefined): void;
}

/** Returns the key of a part; parts of two services are unrelated. */
export function partKey(service: ServiceName, part: string): PartKey {
  return `${service} ${part}`;
}
