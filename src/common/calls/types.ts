/**
 * The vocabulary of the request path: calls, answers, routes and targets.
 * Times are milliseconds on the process's monotonic clock unless a name says
 * otherwise.
 */
import type {
  AccountName,
  DomainName,
  InstanceId,
  MonotonicTime,
  RequestId,
  ServiceName,
  ZoneName,
} from "../types.ts";

/** What may be done twice with a call. */
export enum CallKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once for each attempt of the caller. */
  Unsafe = "unsafe",
  /** Answered by events; see {@link IRoute.isResumable} for repeating it. */
  Stream = "stream",
}

/** A service that a route leads to, and its share of the calls. */
export interface IRouteShare {
  readonly service: ServiceName;
  readonly weight: number;
}

/** One route of the configuration in force. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time a caller is kept waiting. */
  readonly timeout: number;
  /** Time within which an answer is on time. */
  readonly objective: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly IRouteShare[];
  /** Most targets that one attempt may be sent to. */
  readonly maximumAttempts: number;
  /** Whether it is open to callers without a key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another target. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream that is on time; 0: none. */
  readonly longestPause: number;
  /** Longest silence that a caller sits out; it leaves after it. */
  readonly patience: number;
}

/** A client account as the configuration names it. */
export interface IAccount {
  readonly name: AccountName;
  /** Takes precedence over the route's; null where the account has none. */
  readonly priority: number | null;
}

/** A model that replica groups of a service serve. */
export interface IModel {
  readonly name: string;
  /** Members of one group. */
  readonly size: number;
  /** Share of the service's work at the start, 0 to 1. */
  readonly share: number;
  /** Factor on all times of a group. */
  readonly pace: number;
  /** Milliseconds to load its weights from the weight store. */
  readonly loadTime: number;
  /** Milliseconds to load its weights from the host. */
  readonly warmTime: number;
}

/** How the engines of a service run; figures published with the service. */
export interface IEngineProfile {
  readonly models: readonly IModel[];
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Tokens that a group's memory holds. */
  readonly memoryTokens: number;
  /** Milliseconds of one token step of an empty batch. */
  readonly stepTime: number;
  /** Milliseconds added to a step for each request that is writing. */
  readonly stepTimePerRequest: number;
  /** Milliseconds added for each 1,000 tokens of context. */
  readonly stepTimePerThousandTokens: number;
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMillisecond: number;
  /** Milliseconds a million pairs of prompt tokens add to the reading. */
  readonly timePerMillionPairs: number;
  /** Most prompt tokens read between two steps. */
  readonly chunk: number;
  /** Token steps in one event. */
  readonly stride: number;
  /** Age of the figures in a report. */
  readonly reportLag: number;
  /** Loads from the weight store that may start in a second. */
  readonly loadsPerSecond: number;
  /** Loads that run at once at full speed; with more, each takes longer. */
  readonly loadsAtOnce: number;
  /** Milliseconds from the order to open to the first request. */
  readonly openTime: number;
}

/** A service of the configuration. */
export interface IServiceEntry {
  readonly name: ServiceName;
  /** Null for a plain service. */
  readonly engine: IEngineProfile | null;
}

/** What callers may send. */
export interface ICallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** The whole configuration of one version. */
export interface IConfiguration {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: ReadonlyMap<ServiceName, IServiceEntry>;
  readonly limits: ICallerLimits;
  /** By key; null where the configuration has no accounts at all. */
  readonly accountsByKey: ReadonlyMap<string, IAccount> | null;
}

/** The platform's word on whether a target takes work. */
export enum ListedState {
  Ready = "ready",
  Draining = "draining",
}

/** What a group's member is doing; the engine's own word. */
export enum MemberState {
  Joining = "joining",
  Ready = "ready",
  Open = "open",
  Closing = "closing",
  Broken = "broken",
}

/** The group that an engine says it is in. */
export interface IMembership {
  readonly group: string;
  readonly epoch: number;
  /** 0 is the head, which takes the requests. */
  readonly rank: number;
  readonly state: MemberState;
}

/** What an engine says of itself, in the list or in a report. */
export interface IEngineState {
  /** Models whose weights are on the host. */
  readonly staged: readonly string[];
  /** The model that its group serves; null without one. */
  readonly model: string | null;
  readonly membership: IMembership | null;
  /** Fabric domain; empty where it is not told. */
  readonly domain: DomainName;
}

/** One entry of the platform's list of targets. */
export interface IListedTarget {
  readonly id: InstanceId;
  /** Calendar milliseconds of its start; tells a restart under the same id. */
  readonly startedAt: number;
  readonly service: ServiceName;
  /** `host:port`. */
  readonly address: string;
  readonly zone: ZoneName;
  readonly slots: number;
  readonly state: ListedState;
  readonly engine: IEngineState;
}

/** An HTTP request that is passed on unchanged. */
export interface IOpaqueMessage {
  readonly method: string;
  /** Path and query as received. */
  readonly requestTarget: string;
  /** Names and values by turns, without those that the path sets itself. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Estimated work of a model call, in tokens. */
export interface ITokenEstimate {
  readonly prompt: number;
  /** The most that may be generated. */
  readonly output: number;
}

/** One attempt of a caller. */
export interface ICall {
  readonly id: RequestId;
  readonly route: IRoute;
  readonly service: ServiceName;
  readonly account: AccountName | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Null for a plain call. */
  readonly model: string | null;
  readonly tokens: ITokenEstimate;
  readonly arrivedAt: MonotonicTime;
  /** When the caller no longer waits, or may no longer be kept waiting. */
  readonly deadline: MonotonicTime;
  /** The last event that the caller has; null for a new stream. */
  readonly lastEventId: string | null;
  readonly message: IOpaqueMessage;
}

/** Status and headers of a target's answer. */
export interface IResponseHead {
  readonly status: number;
  /** Names and values by turns, fit to be passed on. */
  readonly headers: readonly string[];
  /** The target said that it has not run the call and will not. */
  readonly isNotRun: boolean;
  /** The answer names another request: it is not ours. */
  readonly isForOtherRequest: boolean;
  /** Requests running and waiting, and slots, where the target tells them. */
  readonly load: ITargetLoad | null;
}

/** A plain target's load as told in its answers. */
export interface ITargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Why a send ended without a whole answer. */
export enum SendFailure {
  /** Nothing was written to the target: it cannot have run. */
  NotSent = "not_sent",
  /** The connection broke, or its bytes were no answer. */
  Broken = "broken",
}

/** Receives one answer. Exactly one of `ended` and `failed` comes last. */
export interface IResponseReceiver {
  onHead(head: IResponseHead): void;
  onData(bytes: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: SendFailure, detail: string): void;
}

/** A call on its way to one target. */
export interface ISendHandle {
  /** Gives it up; the receiver hears nothing more. */
  abort(): void;
}

/** Where a call is sent. */
export interface ISendTarget {
  readonly id: InstanceId;
  readonly address: string;
}

/** How a call is sent. */
export interface ISendOptions {
  /** Milliseconds that are left to the target. */
  readonly timeLeft: number;
  /** The last event that the caller has; null from the start. */
  readonly lastEventId: string | null;
  /** A connection of its own, since a kept one may have gone silent. */
  readonly onNewConnection: boolean;
}

/** Sends calls to targets. */
export interface ICallSender {
  send(
    target: ISendTarget,
    call: ICall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle;
}

/** Why a call ended without a target's answer. */
export enum CallRefusalKind {
  /** It has not run and will not; the caller may come back. */
  NotRun = "not_run",
  /** It may have run; a target broke off. */
  TargetFailed = "target_failed",
  /** It may have run; the time is over. */
  TimedOut = "timed_out",
}

/** The reason of a call's end, as logged and counted. */
export enum CallRefusalReason {
  Starting = "starting",
  Stopping = "stopping",
  NoGroup = "no_group",
  NoTarget = "no_target",
  Hopeless = "hopeless",
  QueueFull = "queue_full",
  TargetRefused = "target_refused",
  TargetLost = "target_lost",
  TargetSilent = "target_silent",
  DeadlinePassed = "deadline_passed",
}

/** The final word on a call without a target's answer. */
export interface ICallRefusal {
  readonly kind: CallRefusalKind;
  readonly reason: CallRefusalReason;
  /** Milliseconds after which to come back; 0 at once. */
  readonly retryAfter: number;
}

/** The caller's side of a call. */
export interface ICallReply {
  /** Whether the head has been passed on. */
  readonly isStarted: boolean;
  /** Passes on a head. @param length - bytes of the body; null: a stream. */
  start(head: IResponseHead, length: number | null): void;
  write(bytes: Uint8Array): void;
  /** The answer is whole. */
  end(): void;
  /** Ends a call that has no answer; nothing may have begun. */
  refuse(refusal: ICallRefusal): void;
  /** Resets the connection, since a begun answer cannot be completed. */
  reset(): void;
}
