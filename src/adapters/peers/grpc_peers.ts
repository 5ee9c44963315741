/** Calls between daemons over gRPC. */
import { loadPackageDefinition, Server } from "@grpc/grpc-js";
import { fromJSON } from "@grpc/proto-loader";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { IListVersion } from "../../common/services/services.ts";
import type {
  PeerClient,
  PeerHandlers,
} from "../../generated/cranberryledge/Peer.ts";
import type { ListVersion } from "../../generated/cranberryledge/ListVersion.ts";
import { peerDescriptor } from "../../generated/peer_descriptor.ts";
import type { ProtoGrpcType } from "../../generated/peer.ts";
import type { PlanListName } from "../../common/plans/types.ts";
import type { IListText } from "../../common/plans/types.ts";
import type { IPeers, IPeerNews } from "../../common/services/peer_service.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { IPeerCredentials } from "../tls/peer_credentials.ts";
import type { ICallFailure } from "../../common/types.ts";

/** How long a peer may take to answer, milliseconds. */
const CALL_TIMEOUT = 1_000;

/** Heartbeats on open connections find those that have gone silent. */
const CHANNEL_OPTIONS = {
  "grpc.keepalive_time_ms": 5_000,
  "grpc.keepalive_timeout_ms": 2_000,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.enable_http_proxy": 0,
};

const descriptor = peerDescriptor as Parameters<typeof fromJSON>[0];
const definition = fromJSON(descriptor, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});
const api = loadPackageDefinition(definition) as unknown as ProtoGrpcType;

/** Keeps one client for each peer address. */
export class GrpcPeers implements IPeers {
  readonly #clients = new Map<string, PeerClient>();
  readonly #credentials: IPeerCredentials;

  constructor(credentials: IPeerCredentials) {
    this.#credentials = credentials;
  }

  exchange(
    address: string,
    news: IPeerNews,
  ): Promise<Result<IPeerNews, ICallFailure>> {
    const request = {
      daemon: news.daemon,
      zone: news.zone,
      versions: news.versions.map((entry) => ({ ...entry })),
    };
    return new Promise((resolve) => {
      this.#client(address).exchange(request, deadline(), (error, answer) => {
        if (error || !answer) {
          resolve(Err(failure(address, error)));
          return;
        }
        const { daemon, zone } = answer;
        const versions = toVersions(answer.versions);
        resolve(Ok({ daemon, zone, versions }));
      });
    });
  }

  fetchList(
    address: string,
    list: PlanListName,
  ): Promise<Result<IListText, ICallFailure>> {
    return new Promise((resolve) => {
      this.#client(address).fetchList({ list }, deadline(), (error, answer) => {
        if (error || !answer) {
          resolve(Err(failure(address, error)));
          return;
        }
        resolve(Ok({ list, version: answer.version, text: answer.text }));
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#clients.forEach((client) => client.close());
  }

  #client(address: string): PeerClient {
    let client = this.#clients.get(address);
    if (client === undefined) {
      const secrets = this.#credentials.forChannel();
      client = new api.cranberryledge.Peer(address, secrets, CHANNEL_OPTIONS);
      this.#clients.set(address, client);
    }
    return client;
  }
}

/** What a daemon answers its peers. */
export interface IPeerAnswers {
  news(): IPeerNews;
  learn(news: IPeerNews): void;
  text(list: PlanListName): IListText | null;
}

/** The listening side. */
export class GrpcPeerServer {
  readonly #server = new Server(CHANNEL_OPTIONS);
  readonly #credentials: IPeerCredentials;

  constructor(answers: IPeerAnswers, credentials: IPeerCredentials) {
    this.#credentials = credentials;
    const handlers: PeerHandlers = {
      Exchange: (call, reply) => {
        const { daemon, zone, versions } = call.request;
        answers.learn({ daemon, zone, versions: toVersions(versions) });
        const news = answers.news();
        const known = news.versions.map((entry) => ({ ...entry }));
        reply(null, { ...news, versions: known });
      },
      FetchList: (call, reply) => {
        const text = answers.text(call.request.list as PlanListName);
        reply(null, text ?? { list: call.request.list, version: 0, text: "" });
      },
    };
    this.#server.addService(api.cranberryledge.Peer.service, {
      ...handlers,
    });
  }

  /** Listens and returns the port taken. */
  listen(address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      const secrets = this.#credentials.forServer();
      this.#server.bindAsync(address, secrets, (error, port) => {
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
}

function deadline(): { deadline: number } {
  return { deadline: Date.now() + CALL_TIMEOUT };
}

function toVersions(versions: readonly ListVersion[]): IListVersion[] {
  return versions.map((entry) => ({
    list: entry.list as PlanListName,
    version: Number(entry.version),
  }));
}

function failure(address: string, error: unknown): ICallFailure {
  const detail = `peer ${address}: ${String(error)}`;
  return { kind: CallFailureKind.Unknown, detail };
}
