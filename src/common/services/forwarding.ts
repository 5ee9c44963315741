/** Port and messages for forwarding requests to daemons of other zones. */
import type { Result } from "ts-results-es";
import type {
  AccountName,
  IRefusal,
  RequestId,
  ServiceName,
  ZoneName,
} from "../types.ts";
import type { IEngineToken } from "./services.ts";

/** Tokens, or the refusal that ends the answer. */
export type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** A request as forwarded to a daemon of another zone. */
export interface IForwardedRequest {
  readonly requestId: RequestId;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly operation: string;
  readonly body: unknown;
  /** Milliseconds until the deadline. */
  readonly remaining: number;
  /** Sequence number of the first token requested. */
  readonly resumeFrom: number;
}

/** Forwards requests to daemons of other zones. */
export interface IForwarder {
  /**
   * Streams tokens in order without gaps, starting at `resumeFrom`. An answer
   * without a token that has `isEnd` is incomplete.
   *
   * @param address - `host:port` of the peer
   */
  generate(
    address: string,
    request: IForwardedRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenBatch>;
}

/** A daemon of another zone that a request may be forwarded to. */
export interface ISpillTarget {
  readonly zone: ZoneName;
  readonly address: string;
}
