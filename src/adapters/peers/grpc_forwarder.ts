/** Forwards requests to daemons of other zones over gRPC. */
import { Err, Ok } from "ts-results-es";
import type { ClientReadableStream } from "@grpc/grpc-js";
import {
  AnswerBound,
  AnswerBoundError,
} from "../../common/calls/answer_bounds.ts";
import type { IAnswerBoundRecorder } from "../../common/calls/answer_bounds.ts";
import { LONGEST_ANSWER } from "../../common/calls/answer_memory.ts";
import type { IInputBarrier } from "../../common/calls/input_barrier.ts";
import type {
  IForwardedRequest,
  IForwarder,
  TokenBatch,
} from "../../common/services/forwarding.ts";
import { notRun, outcomeUnknown } from "../../common/services/refusal.ts";
import { Outcome, Reason } from "../../common/types.ts";
import type { IRefusal } from "../../common/types.ts";
import type { ForwardClient } from "../../generated/cranberryledge/Forward.ts";
import type { ForwardRefusal__Output } from "../../generated/cranberryledge/ForwardRefusal.ts";
import type { ForwardReply__Output } from "../../generated/cranberryledge/ForwardReply.ts";
import type { IPeerCredentials } from "../tls/peer_credentials.ts";
import { forwardApi } from "./forward_api.ts";

/** Retry delay after losing a peer, milliseconds. */
const LOST_RETRY_AFTER = 2_000;

/**
 * Bytes that a reply, and each of its tokens, counts for beyond its text. The
 * longest sound answer, of 32,768 tokens in a reply each, stays far below the
 * bound on an answer.
 */
const REPLY_SIZE = 64;
const TOKEN_SIZE = 16;

/** Keepalives detect a connection that goes silent during a stream. */
const CHANNEL_OPTIONS = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.keepalive_time_ms": 2_000,
  "grpc.keepalive_timeout_ms": 1_000,
  "grpc.enable_http_proxy": 0,
  "grpc.enable_retries": 0,
};

/**
 * Keeps one client per peer address. A client whose stream fails is dropped
 * together with its connection, since a new connection may work where the old
 * one never will.
 */
export class GrpcForwarder implements IForwarder {
  readonly #clients = new Map<string, ForwardClient>();
  readonly #credentials: IPeerCredentials;
  readonly #barrier: IInputBarrier;
  readonly #recorder: IAnswerBoundRecorder;

  /** @param parts.barrier - delays requests until the news on callers is fresh */
  constructor(
    credentials: IPeerCredentials,
    parts: {
      readonly barrier: IInputBarrier;
      readonly recorder: IAnswerBoundRecorder;
    },
  ) {
    this.#credentials = credentials;
    this.#barrier = parts.barrier;
    this.#recorder = parts.recorder;
  }

  async *generate(
    address: string,
    request: IForwardedRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenBatch> {
    await this.#barrier.pass();
    if (signal.aborted) {
      yield Err(notRun(Reason.CallerLeft, "the caller is gone"));
      return;
    }
    const client = this.#client(address);
    const deadline = Date.now() + request.remaining;
    const message = { ...request, body: JSON.stringify(request.body) };
    const stream = client.generate(message, { deadline });
    const cancel = () => stream.cancel();
    signal.addEventListener("abort", cancel, { once: true });
    try {
      yield* readStream(stream, request.resumeFrom);
    } catch (error) {
      if (error instanceof AnswerBoundError) {
        this.#recorder.record(error.bound, address);
      }
      this.#drop(address, client);
      const detail = `peer ${address}: ${String(error)}`;
      yield Err(outcomeUnknown(Reason.TargetLost, detail, LOST_RETRY_AFTER));
    } finally {
      signal.removeEventListener("abort", cancel);
      stream.cancel();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }

  #client(address: string): ForwardClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      const { Forward } = forwardApi.cranberryledge;
      const channelCredentials = this.#credentials.forChannel();
      client = new Forward(address, channelCredentials, CHANNEL_OPTIONS);
      this.#clients.set(address, client);
    }
    return client;
  }

  #drop(address: string, client: ForwardClient): void {
    if (this.#clients.get(address) === client) {
      this.#clients.delete(address);
    }
    client.close();
  }
}

/**
 * @param resumeFrom - sequence number of the first token
 * @throws {AnswerBoundError} if the answer has no end
 * @throws {Error} if a token is not the next one
 */
async function* readStream(
  stream: ClientReadableStream<ForwardReply__Output>,
  resumeFrom: number,
): AsyncIterable<TokenBatch> {
  let next = resumeFrom;
  let bytes = 0;
  for await (const item of stream) {
    const reply = item as ForwardReply__Output;
    if (reply.refusal !== null) {
      yield Err(readRefusal(reply.refusal));
      return;
    }
    bytes += REPLY_SIZE;
    for (const { sequence, text } of reply.tokens) {
      if (sequence !== next) {
        throw new Error(`token ${sequence} where ${next} was due`);
      }
      next += 1;
      bytes += text.length + TOKEN_SIZE;
    }
    if (bytes > LONGEST_ANSWER) {
      throw new AnswerBoundError(AnswerBound.Length);
    }
    yield Ok(reply.tokens);
  }
}

/**
 * An unrecognized outcome is read as {@link Outcome.Unknown}, since the request
 * may have run, and an unrecognized reason as {@link Reason.TargetLost}.
 */
function readRefusal(refusal: ForwardRefusal__Output): IRefusal {
  const { detail, outcome, retryAfter } = refusal;
  const reasons = Object.values(Reason);
  const reason =
    reasons.find((known) => known === refusal.reason) ?? Reason.TargetLost;
  const createRefusal = outcome === Outcome.NotRun ? notRun : outcomeUnknown;
  return createRefusal(reason, detail, retryAfter);
}
