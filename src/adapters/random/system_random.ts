/** Random numbers and identifiers from the host. */
import { randomUUID } from "node:crypto";
import type { IRandom } from "../../common/services/services.ts";

/** Unseeded randomness, for running daemons. */
export class SystemRandom implements IRandom {
  next(): number {
    return Math.random();
  }

  identifier(): string {
    return randomUUID();
  }
}
