/**
 * Stores a plan list as a platform object and computes the number that orders
 * its versions.
 *
 * The platform's version alone orders them until the platform is restored from
 * an older copy: its versions then start again below those in force, and every
 * later edit would be considered a stale read. The object therefore counts the
 * restorations that operators have confirmed (`apply --after-restore`), and
 * that count takes precedence over the platform's version. Both fit in one
 * integer, so peers exchange and compare a single number.
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { IPlatformObject } from "../services/services.ts";
import { documentFinding } from "./findings.ts";
import { PLAN_LIST_KIND, PlanListName } from "./types.ts";
import type { IFinding, IListText } from "./types.ts";

/**
 * Exceeds any platform version: at several hundred writes per second the
 * platform reaches a trillion after about fifty years.
 */
const RESTORATION_STEP = 1_000_000_000_000;

/** Bounds the combined version so that a double represents it exactly. */
const MAXIMUM_RESTORATIONS = 1_000;

/** A list as stored in the platform. */
export interface IListValue {
  /** The text as the operator wrote it. */
  readonly text: string;
  /** Platform restorations confirmed so far; absent means none. */
  readonly restorations?: number;
  /** Names of the last edits, oldest first; see list_edit.ts. */
  readonly edits?: readonly string[];
}

const listValueSchema = z.strictObject({
  text: z.string(),
  restorations: z.number().int().min(0).max(MAXIMUM_RESTORATIONS).optional(),
  edits: z.array(z.string()).optional(),
});

/** The list that an object name identifies, or null. */
export function parsePlanListName(name: string): PlanListName | null {
  return Object.values(PlanListName).find((known) => known === name) ?? null;
}

/** Parses a list object; findings if it does not match the schema. */
export function parseListObject(
  object: IPlatformObject,
): Result<IListText, readonly IFinding[]> {
  const source = `${PLAN_LIST_KIND}/${object.name}`;
  const list = parsePlanListName(object.name);
  if (list === null) {
    return Err([documentFinding(source, "is not the name of a plan list")]);
  }
  const value = listValueSchema.safeParse(object.value);
  if (!value.success) {
    const findings = value.error.issues.map(({ path, message }) => ({
      ...documentFinding(source, message),
      path: path.join("."),
    }));
    return Err(findings);
  }
  const { text, restorations = 0 } = value.data;
  const version = combineVersions(restorations, object.version);
  return Ok({ list, version, text });
}

/** Names of the last edits recorded in a list object; none if it is invalid. */
export function editNamesOf(object: IPlatformObject): readonly string[] {
  const value = listValueSchema.safeParse(object.value);
  return value.success ? (value.data.edits ?? []) : [];
}

/** The platform's part of a list version, on which a write is conditional. */
export function platformVersionOf(version: number): number {
  return version % RESTORATION_STEP;
}

/** The number of platform restorations in a list version. */
export function restorationsOf(version: number): number {
  return Math.floor(version / RESTORATION_STEP);
}

/** Combines both parts into a list version. */
export function combineVersions(restorations: number, version: number): number {
  return restorations * RESTORATION_STEP + version;
}
