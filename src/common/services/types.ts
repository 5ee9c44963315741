/** What passes between the caller's side and the services that answer. */
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

/** A caller's request, checked for who asks and for which operation. */
export interface ICallerRequest {
  readonly requestId: RequestId;
  readonly account: IEffectiveAccount;
  readonly service: IServiceDefinition;
  readonly operation: IOperationDefinition;
  readonly body: unknown;
  /** Digest of the body as received; empty when there is no key. */
  readonly bodyDigest: string;
  /** The caller's Idempotency-Key, or null. */
  readonly key: string | null;
  readonly arrivedAt: MonotonicTime;
  /** When an answer is worth nothing any more. */
  readonly deadline: MonotonicTime;
  /** Aborted when the caller's connection is gone. */
  readonly signal: AbortSignal;
  /** Sequence number of the first token wanted; 0 for a new run. */
  readonly resumeFrom: number;
}

/** A whole answer. */
export interface IBufferedAnswer {
  readonly body: unknown;
  /** Stands for a recorded answer that was too large to keep. */
  readonly omitted?: OmittedAnswer | null;
}

/** An answer sent as it comes. */
export interface IStreamedAnswer {
  /**
   * Tokens in order without gaps; whole once one has `isEnd`. An error, or an
   * end without it, means the caller's connection must be reset.
   */
  readonly tokens: AsyncIterable<Result<readonly IEngineToken[], IRefusal>>;
}

/** What the dispatcher hands to the caller's side. */
export type CallerAnswer =
  | { readonly kind: "buffered"; readonly answer: IBufferedAnswer }
  | { readonly kind: "stream"; readonly answer: IStreamedAnswer };
