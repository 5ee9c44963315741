/** Requests and answers as passed between caller servers and dispatcher. */
import type { Result } from "ts-results-es";
import type { IEffectiveAccount } from "../plans/types.ts";
import type { OmittedAnswer } from "../runs/run_record.ts";
import type {
  IOperationDefinition,
  IRefusal,
  IServiceDefinition,
  MonotonicTime,
  RequestId,
} from "../types.ts";
import type { IEngineToken } from "./services.ts";

/** A caller's request with its account and operation resolved. */
export interface ICallerRequest {
  readonly requestId: RequestId;
  readonly account: IEffectiveAccount;
  readonly service: IServiceDefinition;
  readonly operation: IOperationDefinition;
  readonly body: unknown;
  /** Digest of the body as received; empty without an Idempotency-Key. */
  readonly bodyDigest: string;
  /** The caller's Idempotency-Key, or null. */
  readonly key: string | null;
  readonly arrivedAt: MonotonicTime;
  /** Time from which an answer is of no use to the caller. */
  readonly deadline: MonotonicTime;
  /** Aborted when the caller's connection closes. */
  readonly signal: AbortSignal;
  /** Sequence number of the first token requested; 0 for a new run. */
  readonly resumeFrom: number;
}

/** A complete answer. */
export interface IBufferedAnswer {
  readonly body: unknown;
  /** Digest and size of a recorded answer that was too large to store. */
  readonly omitted?: OmittedAnswer | null;
}

/** An answer that is sent token by token. */
export interface IStreamedAnswer {
  /**
   * Tokens in order without gaps; complete once one has `isEnd`. After an
   * error, or an end without it, the caller's connection must be reset.
   */
  readonly tokens: AsyncIterable<Result<readonly IEngineToken[], IRefusal>>;
}

/** The dispatcher's answer to a request. */
export type CallerAnswer =
  | { readonly kind: "buffered"; readonly answer: IBufferedAnswer }
  | { readonly kind: "stream"; readonly answer: IStreamedAnswer };
