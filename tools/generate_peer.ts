/**
 * Generates src/generated from proto/: the types of the messages, and the
 * descriptor as a module, so that neither build nor start reads a .proto file.
 */
import { writeFileSync } from "node:fs";
import protobuf from "protobufjs";

const descriptor = protobuf.loadSync("proto/peer.proto").toJSON();
const text = JSON.stringify(descriptor, null, 2);
writeFileSync(
  "src/generated/peer_descriptor.ts",
  `export const peerDescriptor: unknown = ${text};\n`,
);
