/** The server side of calls between daemons. */
import { Server, status } from "@grpc/grpc-js";
import type { sendUnaryData } from "@grpc/grpc-js";
import type { IPeerRequestHandler } from "../../common/membership/peers.ts";
import type { PlanListName } from "../../common/plans/types.ts";
import type { PeerHandlers } from "../../generated/cranberryledge/Peer.ts";
import type { ProbeRequest__Output } from "../../generated/cranberryledge/ProbeRequest.ts";
import type { ProbeResponse } from "../../generated/cranberryledge/ProbeResponse.ts";
import type { IPeerCredentials } from "../tls/peer_credentials.ts";
import { forwardApi } from "./forward_api.ts";
import { createForwardHandlers } from "./forward_handlers.ts";
import type { ForwardRequestHandler } from "./forward_handlers.ts";
import { peerApi } from "./peer_api.ts";
import {
  readProbe,
  readZonesRequest,
  writeMemberUpdate,
  writeProbe,
  writeDigestRow,
  writeZoneSummary,
  writeListVersions,
} from "./peer_messages.ts";

/** The credentials of a peer server, and the handler of forwarded requests. */
export interface IPeerServerOptions {
  readonly credentials: IPeerCredentials;
  readonly onForwardedRequest: ForwardRequestHandler;
}

/** Answers calls of peers. */
export class GrpcPeerServer {
  readonly #server = new Server();
  readonly #handler: IPeerRequestHandler;

  readonly #credentials: IPeerCredentials;

  constructor(answers: IPeerRequestHandler, options: IPeerServerOptions) {
    this.#credentials = options.credentials;
    this.#handler = answers;
    const handlers = this.#handlers();
    this.#server.addService(peerApi.cranberryledge.Peer.service, {
      ...handlers,
    });
    this.#server.addService(forwardApi.cranberryledge.Forward.service, {
      ...createForwardHandlers(options.onForwardedRequest),
    });
  }

  /** Listens and returns the bound port. */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      const serverCredentials = this.#credentials.forServer();
      this.#server.bindAsync(address, serverCredentials, (error, port) => {
        if (error) {
          reject(error);
        } else {
          resolve(port);
        }
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.forceShutdown();
  }

  #handlers(): PeerHandlers {
    const handler = this.#handler;
    return {
      Probe: (call, reply) =>
        void sendReply(reply, () => this.#probe(call.request)),
      Synchronize: (_, reply) =>
        void sendReply(reply, () => ({
          view: handler.view().map(writeMemberUpdate),
        })),
      PullDigests: (call, reply) =>
        void sendReply(reply, () => ({
          rows: handler.digests(call.request.held).map(writeDigestRow),
        })),
      PullZones: (call, reply) =>
        void sendReply(reply, () => {
          const { zones, versions } = handler.zones(
            readZonesRequest(call.request),
          );
          return {
            zones: zones.map(writeZoneSummary),
            versions: writeListVersions(versions),
          };
        }),
      FetchList: (call, reply) =>
        void sendReply(reply, () => {
          const { list } = call.request;
          const text = handler.listText(list as PlanListName);
          return text ?? { list, version: 0, text: "" };
        }),
    };
  }

  async #probe(request: ProbeRequest__Output): Promise<ProbeResponse> {
    const probe = readProbe(request);
    const target = request.throughTo;
    if (target === "") {
      return writeProbe(this.#handler.handleProbe(probe));
    }
    const answer = await this.#handler.relayProbe(probe, target);
    if (answer.isErr()) {
      throw new Error(answer.error.detail);
    }
    return writeProbe(answer.value);
  }
}

/**
 * Sends the function's result or its error. A message with a missing part must
 * only fail its own call; an uncaught error would end the process.
 */
async function sendReply<T>(
  reply: sendUnaryData<T>,
  createReply: () => T | Promise<T>,
): Promise<void> {
  try {
    reply(null, await createReply());
  } catch (error) {
    reply({ code: status.UNAVAILABLE, details: String(error) });
  }
}
