/**
 * Generates the descriptors of proto/ as modules in src/generated, so that
 * neither build nor start reads a .proto file.
 */
import { writeFileSync } from "node:fs";
import protobuf from "protobufjs";

for (const name of ["peer", "forward"]) {
  const descriptor = protobuf.loadSync(`proto/${name}.proto`).toJSON();
  const text = JSON.stringify(descriptor, null, 2);
  writeFileSync(
    `src/generated/${name}_descriptor.ts`,
    `export const ${name}Descriptor: unknown = ${text};\n`,
  );
}
