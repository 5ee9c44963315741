/**
 * The vocabulary shared by every module: identifiers, enums and the messages
 * that cross a port. Times are milliseconds unless a name says otherwise.
 */

/** Names one process run of a daemon; a restart gets a new one. */
export type DaemonId = string;
/** Names one instance of the platform. */
export type InstanceId = string;
/** Names an availability zone. */
export type ZoneName = string;
/** Names a fabric domain: instances joined by a fast interconnect. */
export type DomainName = string;
/** Names a service that callers ask for, such as `summarizer`. */
export type ServiceName = string;
/** Names a client account. */
export type AccountName = string;
/** Names one request; given by the caller or made by the daemon. */
export type RequestId = string;
/** Names a replica group; unique within its fabric domain. */
export type GroupId = string;
/** A monotonic time in milliseconds, comparable only within one process. */
export type MonotonicTime = number;

/** What became of a request. The three are never blurred. */
export enum Outcome {
  /** The request ran, and the whole answer is at hand. */
  Completed = "completed",
  /** The request certainly did not run and will not. */
  NotRun = "not_run",
  /** The request may have run. */
  Unknown = "unknown",
}

/** Why a request has no answer. */
export enum Reason {
  UnknownCaller = "unknown_caller",
  NotInPlan = "not_in_plan",
  NoSuchOperation = "no_such_operation",
  BadRequest = "bad_request",
  BodyTooLarge = "body_too_large",
  IdempotencyKeyRequired = "idempotency_key_required",
  IdempotencyKeyReused = "idempotency_key_reused",
  InProgress = "in_progress",
  OutcomeUnknown = "outcome_unknown",
  OverLimit = "over_limit",
  DeadlineTooNear = "deadline_too_near",
  QueueFull = "queue_full",
  NoReplicaAvailable = "no_replica_available",
  PlatformUnavailable = "platform_unavailable",
  PlanListsUnknown = "plan_lists_unknown",
  TargetLost = "target_lost",
  TargetRefused = "target_refused",
  ShuttingDown = "shutting_down",
  DeadlinePassed = "deadline_passed",
  CallerLeft = "caller_left",
}

/** Whether a target is a model engine member or a plain service. */
export enum ServiceKind {
  Engine = "engine",
  Plain = "plain",
}

/** How an operation's answer is sent to the caller. */
export enum AnswerKind {
  Buffered = "buffered",
  Stream = "stream",
}

/** The platform's word on an instance; it lags. */
export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

/** A target's own word on itself. */
export enum TargetState {
  /** An engine in no replica group. */
  Free = "free",
  /** An engine that is loading weights for its group. */
  Loading = "loading",
  /** A member of a group, or a plain service, that can serve. */
  Ready = "ready",
  /** Finishes what it runs and takes nothing new. */
  Leaving = "leaving",
}

/** One entry of the platform's lagging list of instances. */
export interface IInstance {
  readonly id: InstanceId;
  readonly zone: ZoneName;
  readonly domain: DomainName;
  /** `host:port` of the target's HTTP interface. */
  readonly address: string;
  readonly state: InstanceState;
  readonly kind: ServiceKind;
  /** The service of a plain target; empty for an engine. */
  readonly service: ServiceName;
}

/** Orders carry it, so that a superseded holder's orders can be refused. */
export interface IFencingToken {
  /** Rises by one each time a domain's lease changes hands. */
  readonly epoch: number;
  /** Rises by one each time a group's membership changes. */
  readonly generation: number;
}

/** The membership that one engine believes itself part of. */
export interface IGroupMembership extends IFencingToken {
  readonly group: GroupId;
  /** The member's place; rank 0 takes requests. */
  readonly rank: number;
}

/** What a target says of itself when polled. */
export interface ITargetReport {
  readonly instance: InstanceId;
  /** Changes when the target's process restarts. */
  readonly incarnation: string;
  readonly state: TargetState;
  /** The group an engine serves in; null for a free engine or a service. */
  readonly membership: IGroupMembership | null;
  /** The model whose weights are in memory; empty when none. */
  readonly model: string;
  /** Requests being run. */
  readonly running: number;
  /** Requests accepted and waiting in the target. */
  readonly queued: number;
  /** Tokens, prompt and generated, held by running requests. */
  readonly tokens: number;
  /** How old these load figures already are when sent, milliseconds. */
  readonly lag: number;
}

/** A report with the moment, on this daemon's clock, it describes. */
export interface ITimestampedReport {
  readonly report: ITargetReport;
  readonly seenAt: MonotonicTime;
}

/** How a service is served; from the settings. */
export interface IServiceDefinition {
  readonly name: ServiceName;
  readonly kind: ServiceKind;
  /** The model engines load for it; empty for a plain service. */
  readonly model: string;
  readonly operations: ReadonlyMap<string, IOperationDefinition>;
}

/** One operation of a service. */
export interface IOperationDefinition {
  readonly name: string;
  readonly answer: AnswerKind;
  /** False where a second run does harm, as with a publish. */
  readonly repeatable: boolean;
}

/** What kind of failure a call to a target met. */
export enum CallFailureKind {
  /** Nothing was written to the target: it cannot have acted. */
  NotSent = "not_sent",
  /** The target answered that it did not and will not act. */
  Refused = "refused",
  /** The target may have acted, or acted in part. */
  Unknown = "unknown",
}

/** A failed call to a target or to the platform. */
export interface ICallFailure {
  readonly kind: CallFailureKind;
  /** What was attempted, on what, and what was seen. */
  readonly detail: string;
}

/** A final word to a caller that gets no answer. */
export interface IRefusal {
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  readonly reason: Reason;
  readonly detail: string;
  /** When asking again makes sense, in milliseconds; 0 when it never does. */
  readonly retryAfter: number;
}
