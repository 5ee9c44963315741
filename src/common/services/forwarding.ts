/** Handing requests to daemons of other zones: the port and its messages. */
import type { Result } from "ts-results-es";
import type {
  AccountName,
  IRefusal,
  RequestId,
  ServiceName,
  ZoneName,
} from "../types.ts";
import type { IEngineToken } from "./services.ts";

/** Tokens, or the final word that there are no more. */
export type TokenBatch = Result<readonly IEngineToken[], IRefusal>;

/** A request as handed to a daemon of another zone. */
export interface IForwardedRequest {
  readonly requestId: RequestId;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly operation: string;
  readonly body: unknown;
  /** Milliseconds until an answer is worth nothing. */
  readonly remaining: number;
  /** Sequence number of the first token wanted. */
  readonly resumeFrom: number;
}

/** Calls to daemons of other zones. */
export interface IForwarder {
  /**
   * Tokens in order without gaps from `resumeFrom` on. An end without an end
   * mark is never whole.
   *
   * @param address - `host:port` of the peer
   */
  generate(
    address: string,
    request: IForwardedRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenBatch>;
}

/** A daemon of another zone that may take a request. */
export interface ISpillTarget {
  readonly zone: ZoneName;
  readonly address: string;
}
