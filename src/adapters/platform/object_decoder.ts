/**
 * Decodes the platform's objects. Other writers share them: an object that
 * cannot be read is left out, and the others hold.
 */
import { z } from "zod";
import type {
  IPlatformObject,
  IWatchResult,
} from "../../common/services/services.ts";

const objectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});

const answerSchema = z.object({
  version: z.number(),
  objects: z.array(z.unknown()),
  removed: z.array(z.string()).optional(),
});

const writtenSchema = z.object({ version: z.number() });

/** Null for an answer that is no object. */
export function decodeObject(body: unknown): IPlatformObject | null {
  return objectSchema.safeParse(body).data ?? null;
}

/** Null for an answer to a list or a watch in another form. */
export function decodeObjects(body: unknown): IWatchResult | null {
  const checked = answerSchema.safeParse(body);
  if (!checked.success) {
    return null;
  }
  const { version, objects: all, removed = [] } = checked.data;
  const objects = all
    .map((one) => decodeObject(one))
    .filter((object) => object !== null);
  return { version, objects, removed, unreadable: all.length - objects.length };
}

/** Null for an answer to a write that names no version. */
export function decodeWrittenVersion(body: unknown): number | null {
  return writtenSchema.safeParse(body).data?.version ?? null;
}
