/** The server side of requests forwarded by daemons of other zones. */
import type { ServerWritableStream } from "@grpc/grpc-js";
import { once } from "node:events";
import type {
  IForwardedRequest,
  TokenBatch,
} from "../../common/services/forwarding.ts";
import type { ForwardHandlers } from "../../generated/cranberryledge/Forward.ts";
import type { ForwardReply } from "../../generated/cranberryledge/ForwardReply.ts";
import type { ForwardRequest__Output } from "../../generated/cranberryledge/ForwardRequest.ts";

type ForwardCall = ServerWritableStream<ForwardRequest__Output, ForwardReply>;

/** Answers a forwarded request. */
export type ForwardRequestHandler = (
  request: IForwardedRequest,
  signal: AbortSignal,
) => AsyncIterable<TokenBatch>;

/** Creates the handlers for a gRPC server. */
export function createForwardHandlers(
  handleRequest: ForwardRequestHandler,
): ForwardHandlers {
  return { Generate: (call) => void serve(call, handleRequest) };
}

async function serve(
  call: ForwardCall,
  handleRequest: ForwardRequestHandler,
): Promise<void> {
  const cancellation = new AbortController();
  call.on("cancelled", () => cancellation.abort());
  try {
    const { body, ...fields } = call.request;
    const request = { ...fields, body: JSON.parse(body) as unknown };
    for await (const batch of handleRequest(request, cancellation.signal)) {
      const hasRoom = call.write(writeBatch(batch));
      if (cancellation.signal.aborted) {
        return;
      }
      if (!hasRoom) {
        await once(call, "drain", { signal: cancellation.signal });
      }
    }
    call.end();
  } catch (error) {
    call.destroy(error instanceof Error ? error : new Error(String(error)));
  }
}

function writeBatch(batch: TokenBatch): ForwardReply {
  return batch.isErr()
    ? { refusal: { ...batch.error } }
    : { tokens: [...batch.value] };
}
