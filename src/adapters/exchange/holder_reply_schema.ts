/**
 * Validates the answers of the process at the holder's address: it may be of
 * another build, or another program. Unknown fields are kept.
 */
import { z } from "zod";
import { GroupMemberState, ListedState } from "../../common/calls/types.ts";
import type { ExchangeAnswer } from "../../common/replicas/exchange.ts";

const texts = z.array(z.string());
const numbersByName = z.record(z.string(), z.number());

const groupSchema = z.looseObject({
  group: z.string(),
  service: z.string(),
  model: z.string(),
  head: z.looseObject({ id: z.string(), address: z.string() }),
  zone: z.string(),
  slots: z.number(),
  takesWork: z.boolean(),
  pace: z.number(),
  isZoneOnly: z.boolean(),
});

const targetSchema = z.looseObject({
  id: z.string(),
  startedAt: z.number(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  state: z.enum(ListedState),
  engine: z.looseObject({
    staged: texts,
    model: z.string().nullable(),
    membership: z
      .looseObject({
        group: z.string(),
        epoch: z.number(),
        rank: z.number(),
        state: z.enum(GroupMemberState),
      })
      .nullable(),
    domain: z.string(),
  }),
});

const kindStatusSchema = z.looseObject({
  version: z.number(),
  changedVersion: z.number(),
  age: z.number(),
  returnAge: z.number().optional(),
  service: z.looseObject({ age: z.number(), length: z.number() }).optional(),
  renewalAge: z.number().optional(),
});

const storeUpdateSchema = z.looseObject({
  configuration: kindStatusSchema,
  targets: kindStatusSchema,
  targetChanges: z
    .looseObject({
      targets: z.array(targetSchema),
      removed: texts,
      expiring: numbersByName.optional(),
    })
    .nullable(),
  updateTime: z.string().optional(),
});

const causeFields = { service: z.string(), parts: texts };

const quarantineSchema = z.looseObject({
  received: z.number(),
  suspects: texts,
  listVersion: z.number(),
  entries: z
    .array(
      z.looseObject({
        ...causeFields,
        since: z.number(),
        until: z.number(),
        crashes: z.number(),
        isSaved: z.boolean(),
      }),
    )
    .nullable(),
  released: z.array(z.looseObject(causeFields)).optional(),
});

const replySchema = z.looseObject({
  tableVersion: z.number(),
  groups: z.array(groupSchema).nullable(),
  tableChanges: z
    .looseObject({
      since: z.number(),
      changed: z.array(groupSchema),
      removed: texts,
    })
    .nullish(),
  givenUp: texts.nullish(),
  othersInFlight: numbersByName,
  isInDoubt: z.boolean(),
  processes: z.number(),
  rateLimits: z
    .record(
      z.string(),
      z.looseObject({ rate: z.number().nullable(), age: z.number() }),
    )
    .optional(),
  rateShares: numbersByName.optional(),
  store: storeUpdateSchema.nullish(),
  peers: z
    .array(z.looseObject({ address: z.string(), zone: z.string() }))
    .optional(),
  quarantine: quarantineSchema.optional(),
  isSuccessor: z.boolean().optional(),
});

const answerSchema = z.discriminatedUnion("isHolder", [
  z.looseObject({ isHolder: z.literal(true), word: replySchema }),
  z.looseObject({
    isHolder: z.literal(false),
    other: z.looseObject({ process: z.string() }),
  }),
]);

/** Null for an answer in another form. */
export function decodeExchangeAnswer(body: unknown): ExchangeAnswer | null {
  const checked = answerSchema.safeParse(body);
  return checked.success ? (checked.data as ExchangeAnswer) : null;
}
