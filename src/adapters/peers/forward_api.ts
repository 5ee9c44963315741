/** The forwarding protocol's descriptor, loaded from generated code. */
import { loadPackageDefinition } from "@grpc/grpc-js";
import { fromJSON } from "@grpc/proto-loader";
import type { ProtoGrpcType } from "../../generated/forward.ts";
import { forwardDescriptor } from "../../generated/forward_descriptor.ts";

const descriptor = forwardDescriptor as Parameters<typeof fromJSON>[0];

const definition = fromJSON(descriptor, {
  longs: Number,
  enums: String,
  defaults: true,
  oneofs: true,
});

/** Constructors and definitions of the forwarding service. */
export const forwardApi = loadPackageDefinition(
  definition,
) as unknown as ProtoGrpcType;
