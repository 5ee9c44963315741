/** Calls to other daemons over gRPC. */
import type { ClientUnaryCall, ServiceError } from "@grpc/grpc-js";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type {
  IDigestRow,
  IHeldRow,
} from "../../common/membership/digest_types.ts";
import type {
  IPeers,
  IZonesResponse,
  IZonesRequest,
} from "../../common/membership/peers.ts";
import type { IMemberUpdate, IProbe } from "../../common/membership/types.ts";
import type { IListText, PlanListName } from "../../common/plans/types.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";
import type { PeerClient } from "../../generated/cranberryledge/Peer.ts";
import type { FetchListResponse__Output } from "../../generated/cranberryledge/FetchListResponse.ts";
import type { PullDigestsResponse__Output } from "../../generated/cranberryledge/PullDigestsResponse.ts";
import type { PullZonesResponse__Output } from "../../generated/cranberryledge/PullZonesResponse.ts";
import type { SynchronizeResponse__Output } from "../../generated/cranberryledge/SynchronizeResponse.ts";
import type { IPeerCredentials } from "../tls/peer_credentials.ts";
import { peerApi } from "./peer_api.ts";
import {
  readMemberUpdate,
  readProbe,
  readDigestRow,
  readZoneSummary,
  readListVersions,
  writeProbe,
  writeListVersions,
} from "./peer_messages.ts";

/** Maximum time of a call, milliseconds. */
const CALL_TIMEOUT = 1_000;

/** How long an unused client is kept, milliseconds. */
const CLIENT_IDLE_TIMEOUT = 60_000;

/**
 * Gives each client its own connections: by default, gRPC shares them among all
 * clients of an address, and a new client would reuse a connection that has
 * gone silent. Keepalives detect connections that go silent between calls.
 */
const CHANNEL_OPTIONS = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.keepalive_time_ms": 20_000,
  "grpc.keepalive_timeout_ms": 2_000,
  "grpc.enable_http_proxy": 0,
  "grpc.enable_retries": 0,
};

type ReplyCallback<T> = (error: ServiceError | null, answer?: T) => void;

interface IClientEntry {
  readonly client: PeerClient;
  usedAt: number;
}

/**
 * Keeps one client per peer address. A client whose call fails is dropped
 * together with its connection: the network may have lost the connection's
 * state, in which case only a new connection works.
 */
export class GrpcPeers implements IPeers {
  readonly #clients = new Map<string, IClientEntry>();
  readonly #credentials: IPeerCredentials;

  constructor(credentials: IPeerCredentials) {
    this.#credentials = credentials;
  }

  async probe(
    address: string,
    probe: IProbe,
    timeout: number,
  ): Promise<Result<IProbe, ICallFailure>> {
    return this.#call(
      address,
      timeout,
      (client, options, reply) =>
        client.probe(writeProbe(probe), options, reply),
      readProbe,
    );
  }

  async probeThrough(
    address: string,
    probe: IProbe,
    options: { readonly target: string; readonly timeout: number },
  ): Promise<Result<IProbe, ICallFailure>> {
    const request = { ...writeProbe(probe), throughTo: options.target };
    return this.#call(
      address,
      options.timeout,
      (client, deadline, reply) => client.probe(request, deadline, reply),
      readProbe,
    );
  }

  async synchronize(
    address: string,
  ): Promise<Result<readonly IMemberUpdate[], ICallFailure>> {
    return this.#call(
      address,
      CALL_TIMEOUT,
      (client, options, reply) => client.synchronize({}, options, reply),
      ({ view }: SynchronizeResponse__Output) => view.map(readMemberUpdate),
    );
  }

  async pullDigests(
    address: string,
    held: readonly IHeldRow[],
  ): Promise<Result<readonly IDigestRow[], ICallFailure>> {
    return this.#call(
      address,
      CALL_TIMEOUT,
      (client, options, reply) =>
        client.pullDigests({ held: [...held] }, options, reply),
      ({ rows }: PullDigestsResponse__Output) => rows.map(readDigestRow),
    );
  }

  async pullZones(
    address: string,
    zonesRequest: IZonesRequest,
  ): Promise<Result<IZonesResponse, ICallFailure>> {
    const versions = writeListVersions(zonesRequest.versions);
    const request = { from: { ...zonesRequest.from }, versions };
    return this.#call(
      address,
      CALL_TIMEOUT,
      (client, options, reply) => client.pullZones(request, options, reply),
      (answer: PullZonesResponse__Output) => ({
        zones: answer.zones.map(readZoneSummary),
        versions: readListVersions(answer.versions),
      }),
    );
  }

  async fetchList(
    address: string,
    list: PlanListName,
  ): Promise<Result<IListText, ICallFailure>> {
    return this.#call(
      address,
      CALL_TIMEOUT,
      (client, options, reply) => client.fetchList({ list }, options, reply),
      ({ version, text }: FetchListResponse__Output) => ({
        list,
        version,
        text,
      }),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#clients.forEach(({ client }) => client.close());
    this.#clients.clear();
  }

  #call<Answer, Value>(
    address: string,
    timeout: number,
    send: (
      client: PeerClient,
      options: { readonly deadline: number },
      reply: ReplyCallback<Answer>,
    ) => ClientUnaryCall,
    read: (answer: Answer) => Value,
  ): Promise<Result<Value, ICallFailure>> {
    const client = this.#client(address);
    const options = { deadline: Date.now() + timeout };
    return new Promise((resolve) => {
      send(client, options, (error, answer) => {
        if (error !== null || answer === undefined) {
          this.#drop(address, client);
          resolve(Err(peerFailure(address, error)));
          return;
        }
        try {
          resolve(Ok(read(answer)));
        } catch (parseError) {
          resolve(Err(peerFailure(address, parseError)));
        }
      });
    });
  }

  #client(address: string): PeerClient {
    const entry = this.#clients.get(address);
    if (entry !== undefined) {
      entry.usedAt = Date.now();
      return entry.client;
    }
    this.#dropUnused();
    const channelCredentials = this.#credentials.forChannel();
    const { Peer } = peerApi.cranberryledge;
    const client = new Peer(address, channelCredentials, CHANNEL_OPTIONS);
    this.#clients.set(address, { client, usedAt: Date.now() });
    return client;
  }

  #drop(address: string, client: PeerClient): void {
    if (this.#clients.get(address)?.client === client) {
      this.#clients.delete(address);
      client.close();
    }
  }

  #dropUnused(): void {
    const oldestUse = Date.now() - CLIENT_IDLE_TIMEOUT;
    for (const [address, { client, usedAt }] of this.#clients) {
      if (usedAt < oldestUse) {
        this.#drop(address, client);
      }
    }
  }
}

function peerFailure(address: string, error: unknown): ICallFailure {
  const detail = `peer ${address}: ${String(error)}`;
  return { kind: CallFailureKind.Unknown, detail };
}
