/** Settings of an entry process: a YAML file, validated at the start. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import { limitsSchema } from "../adapters/limits_schema.ts";
import { readTextFile } from "../adapters/text_file.ts";
import { checkDocument } from "../common/plans/findings.ts";
import type { IFinding } from "../common/plans/types.ts";

const addressSchema = z.string().regex(/^[\d.]+:\d{1,5}$/, "expected IP:PORT");
const positive = z.number().positive();

const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: z.string().min(1),
    zone: z.string().min(1),
    /** IP address at which other processes reach this one. */
    address: z.string().min(1),
  }),
  listen: z.strictObject({
    callers: addressSchema,
    /** Probed by the platform's balancer. */
    readiness: addressSchema,
    /** For other processes and metrics. */
    inner_port: z.number().int().positive(),
  }),
  /** What the process gets of a processor; unknown if left out. */
  processor: z
    .strictObject({
      /** Share of one core, and how many times as fast that core is. */
      share: positive,
      speed: positive,
    })
    .optional(),
  limits: limitsSchema.prefault({}),
  store: z.strictObject({ address: addressSchema }),
  /** The region of each zone. */
  zones: z.record(z.string(), z.string()),
  /** How often targets renew their entries, milliseconds. */
  heartbeat_ms: positive,
  /** True when the whole deployment starts for the first time. */
  first_start: z.boolean(),
  bounds: z.strictObject({
    /** Time from a stop signal until the process is killed, seconds. */
    grace_s: positive,
    /** Retries: ratio to first sends, window, and number beyond the ratio. */
    repeat_ratio: z.number().nonnegative(),
    repeat_window_s: positive,
    repeat_slack: z.number().nonnegative(),
    /** Time without a member after which its group breaks, milliseconds. */
    stall_ms: positive,
    /** Loads from the weight store: window and factor on its rate. */
    load_window_s: positive,
    load_factor: positive,
  }),
});

/** Validated settings. */
export type EntrySettings = z.infer<typeof settingsSchema>;

/** Settings as they stand in a file: those with defaults may be left out. */
export type EntrySettingsInput = z.input<typeof settingsSchema>;

/** Validates settings; every finding has its place in the file. */
export function checkEntrySettings(
  source: string,
  text: string,
): Result<EntrySettings, readonly IFinding[]> {
  const schema = settingsSchema as z.ZodType<EntrySettings>;
  return checkDocument(source, text, { schema }).map(({ content }) => content);
}

/** Reads and validates a settings file. */
export function loadEntrySettings(
  path: string,
): Result<EntrySettings, readonly IFinding[]> {
  return readTextFile(path).andThen((text) => checkEntrySettings(path, text));
}
