/** Settings of what the platform gives one process. */
import { z } from "zod";

/** Megabytes of the platform's smallest instances. */
const DEFAULT_MEMORY = 350;

/** File descriptors of the platform's smallest instances. */
const DEFAULT_DESCRIPTORS = 4_100;

/** Limits beyond which the platform ends a process, or it cannot go on. */
export const limitsSchema = z.strictObject({
  /** Memory of the process, megabytes. */
  memory_mb: z.number().positive().default(DEFAULT_MEMORY),
  /** File descriptors of the process. */
  max_descriptors: z.number().int().positive().default(DEFAULT_DESCRIPTORS),
});

/** Validated limits. */
export type LimitSettings = z.infer<typeof limitsSchema>;
