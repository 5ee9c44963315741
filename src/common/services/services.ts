/**
 * Ports: the interfaces to the outside that src/common depends on. Adapters
 * implement them; the daemon passes them in by constructor.
 */
import type { Option, Result } from "ts-results-es";
import type { IDisposable } from "../disposable.ts";
import type { EventSource } from "../emitter.ts";
import type { PlanListName } from "../plans/types.ts";
import type {
  DaemonId,
  GroupId,
  ICallFailure,
  IFencingToken,
  IInstance,
  InstanceId,
  ITargetReport,
  MonotonicTime,
  RequestId,
} from "../types.ts";

/** The process's clocks and timers. */
export interface IClock {
  /** Monotonic time in milliseconds; comparable only within this process. */
  now(): MonotonicTime;
  /** Wall-clock time, milliseconds since 1970; only for people and records. */
  calendar(): number;
  /** Calls back once, after a delay in milliseconds. */
  after(delay: number, callback: () => void): IDisposable;
  /** Calls back repeatedly, with a period in milliseconds. */
  every(period: number, callback: () => void): IDisposable;
}

/** Random numbers and identifiers; tests pass a seeded source. */
export interface IRandom {
  /** A number in [0, 1). */
  next(): number;
  /** A new, globally unique identifier. */
  identifier(): string;
}

/** A hash function that gives the same result in every daemon. */
export interface IHash {
  /** An integer in [0, 2^32), uniformly distributed. */
  hash(text: string): number;
}

/**
 * The daemons that this daemon considers live. Only a hint: views differ
 * between daemons, so nothing that must be unique may depend on it.
 */
export interface ILiveDaemons {
  readonly self: DaemonId;
  /** Live daemons of this zone, sorted; always includes this one. */
  readonly inZone: readonly DaemonId[];
  /**
   * Whether this daemon is one of the `count` of its zone assigned to a duty.
   * A daemon that sees no other is assigned to every duty.
   */
  isChosen(duty: string, count: number): boolean;
  /** Fires after the live daemons of the zone have changed. */
  readonly onChanged: EventSource<void>;
}

/** The fields of a log line; the adapter encodes the values. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Logs one event per line, as key=value pairs. */
export interface ILog {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** An object of the platform's object API. */
export interface IPlatformObject {
  readonly kind: string;
  readonly name: string;
  /** Increases with each write to any object. */
  readonly version: number;
  /** The JSON value as stored; not validated. */
  readonly value: unknown;
}

/** How a conditional write failed. */
export enum WriteFailureKind {
  /** The object is at another version: the write had no effect. */
  Conflict = "conflict",
  /** The platform certainly did not apply the write. */
  NotApplied = "not_applied",
  /** The answer was lost: the write may have taken effect, or may yet. */
  Unknown = "unknown",
}

/** A failed conditional write. */
export interface IWriteFailure {
  readonly kind: WriteFailureKind;
  readonly detail: string;
}

/** A write that takes effect only at the expected version. */
export interface IConditionalWrite {
  readonly kind: string;
  readonly name: string;
  readonly value: unknown;
  /** Null if the object must not exist yet. */
  readonly expectedVersion: number | null;
}

/** Changed objects, and the version to watch from next. */
export interface IWatchResult {
  readonly version: number;
  readonly objects: readonly IPlatformObject[];
  /** Names of removed objects, where the platform reports them. */
  readonly removed?: readonly string[];
  /** Number of objects left out since they cannot be read; 0 by default. */
  readonly unreadable?: number;
  /** Names of objects whose values are too long to be read, and are null. */
  readonly skipped?: readonly string[];
}

/** A store of versioned objects with conditional writes and watches. */
export interface IObjectStore {
  read(
    kind: string,
    name: string,
  ): Promise<Result<Option<IPlatformObject>, ICallFailure>>;
  list(kind: string): Promise<Result<IWatchResult, ICallFailure>>;
  /** Resolves with objects newer than `after`, or with none at the timeout. */
  watch(
    kind: string,
    after: number,
    options: { readonly timeout: number; readonly signal: AbortSignal },
  ): Promise<Result<IWatchResult, ICallFailure>>;
  /** Resolves with the new version, or with the failure. */
  write(write: IConditionalWrite): Promise<Result<number, IWriteFailure>>;
  remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<void, IWriteFailure>>;
}

/** The platform's object API and its list of instances. */
export interface IPlatform extends IObjectStore {
  instances(): Promise<Result<readonly IInstance[], ICallFailure>>;
}

/** What an order makes an engine do. */
export enum OrderKind {
  /** Join a group and load its model. */
  Join = "join",
  /** Load a model's weights while in no group, as a warm spare. */
  Load = "load",
  /** Leave its group and become free. */
  Release = "release",
}

/** An order to an engine member. */
export interface IEngineOrder extends IFencingToken {
  readonly kind: OrderKind;
  readonly group: GroupId;
  readonly rank: number;
  readonly model: string;
  /** Addresses of all members, by rank. */
  readonly members: readonly string[];
  /** Milliseconds after which the engine must discard the order. */
  readonly validFor: number;
}

/** How an order is sent. */
export interface IOrderOptions {
  /** Milliseconds. */
  readonly timeout: number;
  /**
   * Checked immediately before the order is written to the connection. If the
   * process is paused while connecting, the lease checked before may have
   * expired, and an engine that ignores fencing tokens would obey.
   */
  readonly isStillDue: () => boolean;
}

/** A request as sent to the member of a group with rank 0. */
export interface IEngineCall {
  readonly requestId: RequestId;
  readonly group: GroupId;
  readonly generation: number;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly priority: number;
  /** Sequence number to resume from; 0 for a new run. */
  readonly resumeFrom: number;
}

/** One token of an engine's answer. */
export interface IEngineToken {
  readonly sequence: number;
  readonly text: string;
  /** True on the last token, which ends the answer and has no text. */
  readonly isEnd: boolean;
}

/** A call to a plain service. */
export interface IServiceCall {
  readonly requestId: RequestId;
  readonly operation: string;
  readonly body: unknown;
  /** Milliseconds without a response after which the call fails. */
  readonly timeout: number;
  /**
   * Milliseconds without a response after which no further call uses its
   * connection; by default its timeout.
   */
  readonly suspectAfter?: number;
  /**
   * Whether to open a new connection: an existing one may be dead, and a
   * request that must not be sent twice must not be lost on it.
   */
  readonly needsNewConnection: boolean;
  /** Checked right before the call is sent. */
  readonly isStillDue?: () => boolean;
}

/** Timeouts of an engine's answer, and the signal that cancels it. */
export interface IGenerateOptions {
  /** Longest time to the first token, milliseconds. */
  readonly firstTokenWithin: number;
  /** Longest time between two tokens, milliseconds. */
  readonly nextTokenWithin: number;
  readonly signal: AbortSignal;
}

/** Calls to targets: engine instances and plain services. */
export interface ITargets {
  report(
    address: string,
    timeout: number,
  ): Promise<Result<ITargetReport, ICallFailure>>;
  order(
    address: string,
    order: IEngineOrder,
    options: IOrderOptions,
  ): Promise<Result<void, ICallFailure>>;
  /**
   * Streams tokens in batches as they arrive, in order and without gaps. The
   * last token of a complete answer has `isEnd`; a failure is the last value
   * of the iteration.
   */
  generate(
    address: string,
    call: IEngineCall,
    options: IGenerateOptions,
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>>;
  call(
    address: string,
    call: IServiceCall,
    signal: AbortSignal,
  ): Promise<Result<unknown, ICallFailure>>;
}

/** A plan list's version, as exchanged between peers. */
export interface IListVersion {
  readonly list: PlanListName;
  readonly version: number;
}

/** A daemon's addresses for its peers and for operators. */
export interface IDaemonEntry {
  readonly daemon: string;
  readonly instance: InstanceId;
  readonly zone: string;
  readonly peerAddress: string;
  readonly operationsAddress: string;
}

/** Counters, latencies and gauges, exposed for collection. */
export interface IMetrics {
  /** Increments a counter. */
  count(name: string, labels?: Readonly<Record<string, string>>): void;
  /** Records a duration in milliseconds. */
  observe(
    name: string,
    milliseconds: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
  /** Sets a gauge. */
  gauge(
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
}
