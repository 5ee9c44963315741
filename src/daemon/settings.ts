/** The daemon's settings: a YAML file, validated before anything starts. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import { limitsSchema } from "../adapters/limits_schema.ts";
import { readTextFile } from "../adapters/text_file.ts";
import { durationSchema } from "../common/plans/duration.ts";
import { checkDocument } from "../common/plans/findings.ts";
import type { IFinding } from "../common/plans/types.ts";
import type { Objectives } from "../common/reports/burn_types.ts";
import { AnswerKind, ServiceKind } from "../common/types.ts";
import type {
  IOperationDefinition,
  IServiceDefinition,
  ServiceName,
} from "../common/types.ts";

const addressSchema = z
  .string()
  .regex(/^(\[[0-9a-fA-F:]+\]|[\d.]+):\d{1,5}$/, "expected IP:PORT");

const operationSchema = z.strictObject({
  answer: z.enum(AnswerKind).default(AnswerKind.Buffered),
  repeatable: z.boolean().default(true),
});

const serviceSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(ServiceKind.Engine),
    model: z.string().min(1),
    operations: z.record(z.string().min(1), operationSchema),
  }),
  z.strictObject({
    kind: z.literal(ServiceKind.Plain),
    operations: z.record(z.string().min(1), operationSchema),
  }),
]);

const groupsSchema = z.strictObject({
  members: z.number().int().positive().default(4),
  /** Relative costs of a group's downtime and of a stranded instance. */
  weights: z
    .strictObject({
      group_downtime: z.number().positive().default(1),
      stranded_accelerators: z.number().positive().default(1),
    })
    .prefault({}),
  /** Failures of one instance a day; 42 of 2,300 at the target size. */
  failures_a_day: z.number().positive().default(0.018),
  /** From an instance's failure until the platform provides a replacement. */
  return_time: durationSchema.default(30 * 60_000),
  /** From a failure until a group serves again when a spare is available. */
  heal_time: durationSchema.default(60_000),
  /** Fixed share of spare engines, not one computed from the fields above. */
  spare_share: z.number().min(0).max(0.5).optional(),
  /** Duration of a domain's lease from each renewal. */
  lease: durationSchema.default(5_000),
  /** How long other daemons wait beyond the lease before they take over. */
  takeover_margin: durationSchema.default(2_000),
  /** How often the holder renews its lease. */
  renew_every: durationSchema.default(1_500),
  /** Maximum age of the reports by which a group or target may serve. */
  freshness: durationSchema.default(2_000),
  /** How long a member may be silent before it counts as lost. */
  replace_after: durationSchema.default(4_000),
  /** Maximum engines of a domain that load from the weight store at once. */
  concurrent_loads: z.number().int().positive().default(8),
  /**
   * How long a member that was lost twice is excluded from groups; each further
   * loss more than doubles it.
   */
  hold_after_loss: durationSchema.default(15_000),
  /** The longest exclusion, however often a member was lost. */
  longest_hold: durationSchema.default(300_000),
});

/** How changes to the plan lists on the platform are detected. */
const listsSchema = z.strictObject({
  /** Daemons per zone that watch; others poll and are notified by peers. */
  watchers: z.number().int().positive().max(10).default(2),
  /** How long a watch waits for a change. */
  watch: durationSchema.default(2_500),
  /** How often all lists are read, also by daemons that watch. */
  poll: durationSchema.default(30_000),
  /** The longest pause after failures. */
  longest_retry: durationSchema.default(2_500),
});

/** How often each is read, and the timeout of reading a target's report. */
const pollingSchema = z.strictObject({
  targets: durationSchema.default(500),
  timeout: durationSchema.default(1_000),
  instances: durationSchema.default(1_000),
  domains: durationSchema.default(1_000),
});

const shareSchema = z.number().gt(0).lt(1);

/** Service level objectives of the burn report. */
const objectivesSchema = z.strictObject({
  whole_on_time: z
    .strictObject({ share: shareSchema.default(0.999) })
    .prefault({}),
  /** Target: 0.82 s for 95 %. */
  first_token: z
    .strictObject({
      share: shareSchema.default(0.95),
      within: durationSchema.default(820),
    })
    .prefault({}),
  /** Target: 58 ms for 95 %. */
  between_tokens: z
    .strictObject({
      share: shareSchema.default(0.95),
      within: durationSchema.default(58),
    })
    .prefault({}),
});

/** Maximum silence of an engine before its connection is suspected. */
const callsSchema = z.strictObject({
  first_token: durationSchema.default(5_000),
  next_token: durationSchema.default(1_000),
});

const certificateSchema = z.strictObject({
  certificate: z.string().min(1),
  key: z.string().min(1),
});

const tlsSchema = z.strictObject({
  /** The certificate for callers; without it, the server uses plain HTTP. */
  callers: certificateSchema.optional(),
  /** The certificate for mutual TLS between daemons; without it, no TLS. */
  peers: certificateSchema.extend({ authority: z.string().min(1) }).optional(),
});

const settingsSchema = z.strictObject({
  daemon: z.strictObject({
    name: z.string().min(1),
    zone: z.string().min(1),
    callers: addressSchema,
    peers: addressSchema,
    /** The address for peers, if different from the listening address. */
    peers_advertised: addressSchema.optional(),
    operations: addressSchema,
    /** Peers to contact when the platform cannot list them. */
    seeds: z.array(addressSchema).max(100).default([]),
  }),
  platform: z.strictObject({ address: addressSchema }),
  services: z.record(z.string().min(1), serviceSchema),
  groups: groupsSchema.prefault({}),
  polling: pollingSchema.prefault({}),
  calls: callsSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  tls: tlsSchema.prefault({}),
  lists: listsSchema.prefault({}),
  objectives: objectivesSchema.prefault({}),
});

/** Validated settings; durations are in milliseconds. */
export type Settings = z.infer<typeof settingsSchema>;

/** Validates settings and reports every finding with its location. */
export function checkSettings(
  source: string,
  text: string,
): Result<Settings, readonly IFinding[]> {
  const schema = settingsSchema as z.ZodType<Settings>;
  return checkDocument(source, text, { schema }).map(({ content }) => content);
}

/** Reads and validates a settings file. */
export function loadSettings(
  path: string,
): Result<Settings, readonly IFinding[]> {
  return readTextFile(path).andThen((text) => checkSettings(path, text));
}

/** Returns the service level objectives of the burn report. */
export function burnObjectives(settings: Settings): Objectives {
  const { whole_on_time: whole, ...tokens } = settings.objectives;
  return { whole_on_time: { ...whole, within: null }, ...tokens };
}

/** Returns the definitions of the services in the settings. */
export function serviceDefinitions(
  settings: Settings,
): ReadonlyMap<ServiceName, IServiceDefinition> {
  const found = new Map<ServiceName, IServiceDefinition>();
  for (const [name, service] of Object.entries(settings.services)) {
    const operations = new Map<string, IOperationDefinition>();
    for (const [operation, definition] of Object.entries(service.operations)) {
      operations.set(operation, { name: operation, ...definition });
    }
    const model = service.kind === ServiceKind.Engine ? service.model : "";
    found.set(name, { name, kind: service.kind, model, operations });
  }
  return found;
}
