/** The peer protocol's descriptor, loaded from generated code. */
import { loadPackageDefinition } from "@grpc/grpc-js";
import { fromJSON } from "@grpc/proto-loader";
import type { ProtoGrpcType } from "../../generated/peer.ts";
import { peerDescriptor } from "../../generated/peer_descriptor.ts";

const descriptor = peerDescriptor as Parameters<typeof fromJSON>[0];

const definition = fromJSON(descriptor, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});

/** Constructors and definitions of the peer service. */
export const peerApi = loadPackageDefinition(
  definition,
) as unknown as ProtoGrpcType;
