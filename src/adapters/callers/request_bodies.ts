/** Receives the bodies of one server's requests. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { ProcessLimit } from "../../common/calls/limit_recorder.ts";
import type { LimitRecorder } from "../../common/calls/limit_recorder.ts";
import type {
  RequestMemory,
  RequestShare,
} from "../../common/calls/request_memory.ts";
import type { IClock } from "../../common/services/services.ts";
import { BodyFailure, BodyReceiver } from "./body_receiver.ts";

/** Bytes that a request takes beside its headers and its body. */
const REQUEST_OVERHEAD = 8_192;

/** Bytes that each header takes beside its text. */
const HEADER_OVERHEAD = 64;

/** Copies of a head's text: as received, and as forwarded. */
const HEAD_COPIES = 2;

/** Dependencies of {@link RequestBodies}. */
export interface IRequestBodyParts {
  readonly memory: RequestMemory;
  readonly limits: LimitRecorder;
  readonly clock: Pick<IClock, "after">;
}

/** A request and the response that ends what it takes. */
export interface IServerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** A request that is complete. */
export interface IReceivedBody {
  readonly body: Uint8Array;
  /** What the request takes until it is answered. */
  readonly share: RequestShare;
}

/** Owns the requests that are not complete. */
export class RequestBodies {
  readonly #parts: IRequestBodyParts;
  readonly #receivers = new Set<BodyReceiver>();

  constructor(parts: IRequestBodyParts) {
    this.#parts = parts;
  }

  /**
   * Receives a request, whose memory is released with its response.
   *
   * @param limit - bytes of the longest body
   * @param timeout - milliseconds until the body must be complete
   */
  async receive(
    { request, response }: IServerExchange,
    { limit, timeout }: { readonly limit: number; readonly timeout: number },
  ): Promise<Result<IReceivedBody, BodyFailure>> {
    const { memory, limits, clock } = this.#parts;
    let receiver: BodyReceiver | null = null;
    const share = memory.createShare(() => receiver?.fail(BodyFailure.NoRoom));
    response.once("close", () => share.dispose());
    if (!share.resize(headSize(request))) {
      limits.record(ProcessLimit.RequestMemory);
      request.resume();
      return Err(BodyFailure.NoRoom);
    }
    receiver = new BodyReceiver(request, { limit, share });
    if (request.headers.expect !== undefined && !receiver.isFinished) {
      response.writeContinue();
    }
    const timer = clock.after(timeout, () => {
      receiver.fail(BodyFailure.TimedOut);
    });
    this.#receivers.add(receiver);
    const received = await receiver.result;
    this.#receivers.delete(receiver);
    timer.dispose();
    return received.map((body) => {
      share.complete();
      return { body, share };
    });
  }

  /** Gives up all requests that are not complete. */
  failAll(failure: BodyFailure): void {
    for (const receiver of this.#receivers) {
      receiver.fail(failure);
    }
  }
}

/** Bytes that a request takes without its body. */
function headSize({ rawHeaders, url = "" }: IncomingMessage): number {
  const length = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return (
    REQUEST_OVERHEAD +
    rawHeaders.length * HEADER_OVERHEAD +
    (length + url.length) * HEAD_COPIES
  );
}
