/** Measures what a call between daemons costs on a real connection. */
import { GrpcPeers } from "../../src/adapters/peers/grpc_peers.ts";
import { GrpcPeerServer } from "../../src/adapters/peers/grpc_peer_server.ts";
import { peerApi } from "../../src/adapters/peers/peer_api.ts";
import { writeProbe } from "../../src/adapters/peers/peer_messages.ts";
import { InsecurePeerCredentials } from "../../src/adapters/tls/peer_credentials.ts";
import type { IPeerRequestHandler } from "../../src/common/membership/peers.ts";
import { MemberState } from "../../src/common/membership/types.ts";
import type { IProbe } from "../../src/common/membership/types.ts";
import { PlanListName } from "../../src/common/plans/types.ts";
import { startCountingRelay } from "./counting_relay.ts";

const WARM_UP = 500;
const CALLS = 3_000;

/** Costs of a unary call with its response. */
export interface ICallCost {
  /** Bytes on TCP besides the two messages: frames, headers, control. */
  readonly overheadBytes: number;
  /** Processor time of both ends together, microseconds. */
  readonly processorTime: number;
}

/** Plan list versions as piggybacked on each message. */
export const LIST_VERSIONS = Object.values(PlanListName).map((list, index) => ({
  list,
  version: 100_000 + index,
}));

/** Size of a probe as the gRPC library encodes it. */
export function encodedBytes(probe: IProbe): number {
  const { Probe } = peerApi.cranberryledge.Peer.service;
  return Probe.requestSerialize(writeProbe(probe)).length;
}

/** Counts bytes of probes through a relay, then measures time without it. */
export async function measureCallCost(): Promise<ICallCost> {
  const member = {
    daemon: "daemon/0",
    zone: "zone",
    peerAddress: "10.0.0.1:1",
  };
  const from = { member, incarnation: 0, state: MemberState.Alive };
  const probe: IProbe = {
    message: { from, viewHash: 1, news: [] },
    versions: LIST_VERSIONS,
  };
  const handler = {
    handleProbe: () => probe,
  } as unknown as IPeerRequestHandler;
  const plain = new InsecurePeerCredentials();
  await using server = new GrpcPeerServer(handler, {
    credentials: plain,
    onForwardedRequest: () => {
      throw new Error("unexpected forwarded request");
    },
  });
  const port = await server.listen("127.0.0.1:0");
  const relay = await startCountingRelay(port);
  await using peers = new GrpcPeers(plain);
  const call = async (port: number, times: number) => {
    for (let index = 0; index < times; index++) {
      await peers.probe(`127.0.0.1:${port}`, probe, 5_000);
    }
  };
  await call(relay.port, WARM_UP);
  const bytes = relay.bytes();
  await call(relay.port, CALLS);
  const perCall = (relay.bytes() - bytes) / CALLS;
  relay.close();
  await call(port, WARM_UP);
  const time = process.cpuUsage();
  await call(port, CALLS);
  const { user, system } = process.cpuUsage(time);
  return {
    overheadBytes: perCall - 2 * encodedBytes(probe),
    processorTime: (user + system) / CALLS,
  };
}
