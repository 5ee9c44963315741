/**
 * The ports: what the services of src/common need from the outside. Adapters
 * implement them; the daemon hands them in by constructor.
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

/** Time of this process, and timers on it. */
export interface IClock {
  /** Monotonic milliseconds; never goes back, not comparable elsewhere. */
  now(): MonotonicTime;
  /** Calendar time as milliseconds since 1970; only for people and records. */
  calendar(): number;
  /** Calls back once after a delay in milliseconds. */
  after(delay: number, callback: () => void): IDisposable;
  /** Calls back repeatedly, each period in milliseconds. */
  every(period: number, callback: () => void): IDisposable;
}

/** Chance, handed in so that tests can seed it. */
export interface IRandom {
  /** A number in [0, 1). */
  next(): number;
  /** A fresh identifier that no other process will make. */
  identifier(): string;
}

/** A hash that every daemon computes alike. */
export interface IHash {
  /** A whole number in [0, 2^32), spread evenly. */
  hash(text: string): number;
}

/**
 * The daemons that this daemon believes live. A hint: another daemon may see
 * others, so nothing that must be unique may rest on it.
 */
export interface ILiveDaemons {
  readonly self: DaemonId;
  /** Live daemons of this zone, this one always included, sorted. */
  readonly inZone: readonly DaemonId[];
  /**
   * Whether this daemon is one of the `count` of its zone that take a duty.
   * A daemon that sees no other takes every duty.
   */
  isChosen(duty: string, count: number): boolean;
  /** Fires after the live daemons of the zone have changed. */
  readonly onChanged: EventSource<void>;
}

/** The fields of a log line; values are encoded by the adapter. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** One event a line, as key=value pairs. */
export interface ILog {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** An object of the platform's object API. */
export interface IPlatformObject {
  readonly kind: string;
  readonly name: string;
  /** Rises with each write to any object. */
  readonly version: number;
  /** Whatever JSON was written; not checked. */
  readonly value: unknown;
}

/** How a conditional write failed. */
export enum WriteFailureKind {
  /** The object is at another version: the write had no effect. */
  Conflict = "conflict",
  /** The platform certainly did not apply the write. */
  NotApplied = "not_applied",
  /** The answer was lost: the write may have taken effect, or still may. */
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
  /** Null: the object must not exist yet. */
  readonly expectedVersion: number | null;
}

/** What a watch brought: changed objects, and where to go on from. */
export interface IWatchResult {
  readonly version: number;
  readonly objects: readonly IPlatformObject[];
  /** Names of objects that are gone, where the platform tells them. */
  readonly removed?: readonly string[];
}

/** Objects with versions, conditional writes and watches. */
export interface IObjectStore {
  read(
    kind: string,
    name: string,
  ): Promise<Result<Option<IPlatformObject>, ICallFailure>>;
  list(kind: string): Promise<Result<IWatchResult, ICallFailure>>;
  /** Resolves when something of the kind is newer, or empty at the timeout. */
  watch(
    kind: string,
    after: number,
    options: { readonly timeout: number; readonly signal: AbortSignal },
  ): Promise<Result<IWatchResult, ICallFailure>>;
  /** The new version, or why there is none. */
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

/** What an engine is told to become. */
export enum OrderKind {
  /** Join a group and load its model. */
  Join = "join",
  /** Load a model's weights while in no group, to be a warm spare. */
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
  /** Addresses of all members, in order of rank. */
  readonly members: readonly string[];
  /** Milliseconds after which the engine must drop the order unserved. */
  readonly validFor: number;
}

/** How an order is sent. */
export interface IOrderOptions {
  /** Milliseconds. */
  readonly timeout: number;
  /**
   * Asked at the last moment before the order's content is written out. A
   * process may be paused while it connects; the lease it checked before is
   * then over, and an engine that ignores fencing numbers would obey.
   */
  readonly isStillDue: () => boolean;
}

/** A request as sent to a replica group's first member. */
export interface IEngineCall {
  readonly requestId: RequestId;
  readonly group: GroupId;
  readonly generation: number;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly priority: number;
  /** Sequence number to go on from; 0 for a new run. */
  readonly resumeFrom: number;
}

/** One step of an engine's answer. */
export interface IEngineToken {
  readonly sequence: number;
  readonly text: string;
  /** True on the last: it ends the answer and carries no text. */
  readonly isEnd: boolean;
}

/** A call to a plain service. */
export interface IServiceCall {
  readonly requestId: RequestId;
  readonly operation: string;
  readonly body: unknown;
  /** Milliseconds of silence after which the call is given up. */
  readonly timeout: number;
  /**
   * Whether a new connection is made for it: an old one may have gone silent,
   * and what cannot be sent twice must not be sent into silence.
   */
  readonly onNewConnection: boolean;
}

/** Bounds on an engine's answer, and what cancels it. */
export interface IGenerateOptions {
  /** Milliseconds. */
  readonly firstTokenWithin: number;
  /** Longest time between two tokens, milliseconds. */
  readonly nextTokenWithin: number;
  readonly signal: AbortSignal;
}

/** Calls to targets: engine members and plain services. */
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
   * Streams tokens in batches as they arrive. Batches of one answer are in
   * order and without gaps; the last token of a whole answer has `isEnd`.
   * A failure ends the iteration as its last value.
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

/** A plan list's version, as peers tell one another. */
export interface IListVersion {
  readonly list: PlanListName;
  readonly version: number;
}

/** Where a daemon is reached by its peers and by operators. */
export interface IDaemonEntry {
  readonly daemon: string;
  readonly instance: InstanceId;
  readonly zone: string;
  readonly peerAddress: string;
  readonly operationsAddress: string;
}

/** Counters and latencies, exposed to whoever collects them. */
export interface IMetrics {
  /** Adds to a counter. */
  count(name: string, labels?: Readonly<Record<string, string>>): void;
  /** Records a duration in milliseconds. */
  observe(
    name: string,
    milliseconds: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
  /** Sets a level. */
  gauge(
    name: string,
    value: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
}
