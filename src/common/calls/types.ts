/**
 * Types of the request path: calls, responses, routes and targets. Times are
 * milliseconds on the process's monotonic clock unless a name says otherwise.
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

/** Whether a call may run more than once. */
export enum CallKind {
  /** May run more than once. */
  Safe = "safe",
  /** Runs at most once for each attempt of the caller. */
  Unsafe = "unsafe",
  /** Answered by events; {@link IRoute.isResumable} decides on retries. */
  Stream = "stream",
}

/** A service of a route, and its share of the calls. */
export interface IRouteShare {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route of the active configuration. */
export interface IRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time that a caller is kept waiting. */
  readonly timeout: number;
  /** Time within which a response is on time. */
  readonly objective: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly IRouteShare[];
  /** Maximum number of targets that one attempt may be sent to. */
  readonly maximumAttempts: number;
  /** Whether it is open to callers without a key. */
  readonly isPublic: boolean;
  /** Whether another target may continue a stream. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream that is on time; 0: none. */
  readonly longestPause: number;
  /** Longest silence that a caller waits through before it leaves. */
  readonly patience: number;
}

/** A client account of the configuration. */
export interface IAccount {
  readonly name: AccountName;
  /** Overrides the route's priority; null if the account has none. */
  readonly priority: number | null;
}

/** A model that replica groups of a service serve. */
export interface IModel {
  readonly name: string;
  /** Members of one group. */
  readonly size: number;
  /** Initial share of the service's work, 0 to 1. */
  readonly share: number;
  /** Factor on all times of a group. */
  readonly pace: number;
  /** Milliseconds to load its weights from the weight store. */
  readonly loadTime: number;
  /** Milliseconds to load its weights from the host. */
  readonly warmTime: number;
}

/** Performance figures of a service's engines, published with the service. */
export interface IEngineProfile {
  readonly models: readonly IModel[];
  /** Requests that a group runs at once. */
  readonly slots: number;
  /** Tokens that the memory of a group holds. */
  readonly memoryTokens: number;
  /** Milliseconds of one token step of an empty batch. */
  readonly stepTime: number;
  /** Milliseconds added to a step for each request in decoding. */
  readonly stepTimePerRequest: number;
  /** Milliseconds added for each 1,000 tokens of context. */
  readonly stepTimePerThousandTokens: number;
  /** Prompt tokens prefilled in a millisecond. */
  readonly promptTokensPerMillisecond: number;
  /** Milliseconds that a million pairs of prompt tokens add to prefill. */
  readonly timePerMillionPairs: number;
  /** Maximum number of prompt tokens prefilled between two steps. */
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

/** Limits on what callers send. */
export interface ICallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: number;
  readonly idleTimeout: number;
}

/** One version of the configuration. */
export interface IConfiguration {
  readonly version: number;
  readonly routes: readonly IRoute[];
  readonly services: ReadonlyMap<ServiceName, IServiceEntry>;
  readonly limits: ICallerLimits;
  /** By key; null if the configuration has no accounts at all. */
  readonly accountsByKey: ReadonlyMap<string, IAccount> | null;
}

/** Whether a target accepts work, according to the platform. */
export enum ListedState {
  Ready = "ready",
  Draining = "draining",
}

/** State of a group's member, as reported by its engine. */
export enum GroupMemberState {
  Joining = "joining",
  Ready = "ready",
  Open = "open",
  Closing = "closing",
  Broken = "broken",
}

/** The group that an engine reports to be in. */
export interface IMembership {
  readonly group: string;
  readonly epoch: number;
  /** 0 is the head, which receives the requests. */
  readonly rank: number;
  readonly state: GroupMemberState;
}

/** What an engine reports about itself, in the list or in a report. */
export interface IEngineState {
  /** Models whose weights are on the host. */
  readonly staged: readonly string[];
  /** The model that its group serves; null without one. */
  readonly model: string | null;
  readonly membership: IMembership | null;
  /** Fabric domain; empty if it is not reported. */
  readonly domain: DomainName;
}

/** One entry of the platform's list of targets. */
export interface IListedTarget {
  readonly id: InstanceId;
  /** Start in calendar milliseconds; changes on a restart under the same id. */
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
  /** Alternating names and values, without those that the path sets itself. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
}

/** Estimated work of a model call, in tokens. */
export interface ITokenEstimate {
  readonly prompt: number;
  /** Maximum number of tokens that may be generated. */
  readonly output: number;
}

/** What a target receives of a call. */
export interface IOutgoingCall {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly account: AccountName | null;
  readonly message: IOpaqueMessage;
}

/** One attempt of a caller. */
export interface ICall extends IOutgoingCall {
  readonly route: IRoute;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Null for a plain call. */
  readonly model: string | null;
  /**
   * Identifiers of the prompt's parts that other calls may share, in order.
   * Without the last part, which belongs to this call or its session.
   */
  readonly promptParts: readonly string[];
  /**
   * Recognizes the attempts of one request, which have ids of their own: the
   * last part of its prompt, or a digest of a plain request. Null if the call
   * has neither.
   */
  readonly fingerprint: string | null;
  readonly tokens: ITokenEstimate;
  readonly arrivedAt: MonotonicTime;
  /** When the caller stops waiting or must no longer be kept waiting. */
  readonly deadline: MonotonicTime;
  /** Id of the last event that the caller has; null for a new stream. */
  readonly lastEventId: string | null;
}

/** Status and headers of a target's response. */
export interface IResponseHead {
  readonly status: number;
  /** Alternating names and values, ready to be passed on. */
  readonly headers: readonly string[];
  /** The target reported that it has not run the call and will not. */
  readonly isNotRun: boolean;
  /**
   * The response names another request, or lacks what shows that it is to this
   * one, and must not be used.
   */
  readonly isForOtherRequest: boolean;
  /** Requests running and waiting, and slots; null if not reported. */
  readonly load: ITargetLoad | null;
  /**
   * Requests per second that the target takes from all processes together;
   * null if it names no limit.
   */
  readonly rateLimit: number | null;
  /**
   * Milliseconds for which a target that rejected the call wants no more from
   * this process; null if it names no time.
   */
  readonly retryAfter: number | null;
  /** The target is about to leave and takes calls only for a little longer. */
  readonly isLeaving: boolean;
}

/** A plain target's load as reported in its responses. */
export interface ITargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Why a send ended without a complete response. */
export enum SendFailure {
  /** Nothing was written to the target: it cannot have run. */
  NotSent = "not_sent",
  /** Nothing was written, since the target wants no calls any more. */
  Withheld = "withheld",
  /** The connection broke, or its bytes were not a valid response. */
  Broken = "broken",
  /** Nothing was written: no process is known that reaches the target. */
  Unreachable = "unreachable",
  /** The process that forwarded the call was lost; the target may have run it. */
  PathLost = "path_lost",
}

/** Receives one response. The last call is either `onEnd` or `onFailure`. */
export interface IResponseReceiver {
  onHead(head: IResponseHead): void;
  onData(bytes: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: SendFailure, detail: string): void;
  /**
   * Nothing is heard on the path of the response, which may still go on; the
   * send may be replaced, or awaited.
   */
  onSilence?(detail: string): void;
}

/** A call that is being sent to one target. */
export interface ISendHandle {
  /** Aborts the send; the receiver is not called again. */
  abort(): void;
  /** The response is silent: its path is avoided while another one works. */
  handleSilence?(): void;
}

/** Where a call is sent. */
export interface ISendTarget {
  readonly id: InstanceId;
  readonly address: string;
}

/** How a call is sent. */
export interface ISendOptions {
  /** Milliseconds left to the target. */
  readonly timeLeft: number;
  /** Id of the last event that the caller has; null from the start. */
  readonly lastEventId: string | null;
  /** Whether to open a connection, since a pooled one may have gone dead. */
  readonly needsNewConnection: boolean;
  /**
   * Checked immediately before the call is written, which may have waited for a
   * connection. If false, the send fails as {@link SendFailure.Withheld}.
   */
  readonly mayWrite?: () => boolean;
}

/** Sends calls to targets. */
export interface ICallSender {
  send(
    target: ISendTarget,
    call: IOutgoingCall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle;
}

/** How a call ended without a target's response. */
export enum CallRefusalKind {
  /** It has not run and will not; the caller may retry. */
  NotRun = "not_run",
  /** It may have run; a target broke off. */
  TargetFailed = "target_failed",
  /** It may have run; its time is over. */
  TimedOut = "timed_out",
}

/** The reason of a refusal, as logged and counted. */
export enum CallRefusalReason {
  Starting = "starting",
  Stopping = "stopping",
  NoGroup = "no_group",
  NoTarget = "no_target",
  /** Neither this process nor another known one reaches the targets. */
  Unreachable = "unreachable",
  /** All targets left have got as many requests as they take. */
  RateLimited = "rate_limited",
  /** All targets have rejected calls and want no more for a time. */
  Overloaded = "overloaded",
  Hopeless = "hopeless",
  QueueFull = "queue_full",
  /** This process keeps as many requests as its memory allows. */
  ProcessFull = "process_full",
  TargetRefused = "target_refused",
  TargetLost = "target_lost",
  TargetSilent = "target_silent",
  DeadlinePassed = "deadline_passed",
  /** Its prompt has parts that crash engines. */
  Quarantined = "quarantined",
}

/** The result of a call without a target's response. */
export interface ICallRefusal {
  readonly kind: CallRefusalKind;
  readonly reason: CallRefusalReason;
  /** Milliseconds after which the caller may retry; 0 at once. */
  readonly retryAfter: number;
}

/** The caller's side of a call. */
export interface ICallReply {
  /** Whether the head has been passed on. */
  readonly isStarted: boolean;
  /**
   * Passes on a head.
   *
   * @param length - bytes of the body; null for a stream
   */
  start(head: IResponseHead, length: number | null): void;
  write(bytes: Uint8Array): void;
  /** Completes the response. */
  end(): void;
  /** Ends a call that has no response; nothing may have been passed on. */
  refuse(refusal: ICallRefusal): void;
  /** Resets the connection, since a started response cannot be completed. */
  reset(): void;
}
