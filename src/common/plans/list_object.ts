/**
 * A plan list as an object of the platform, and the number that orders its
 * versions.
 *
 * The platform's version alone orders them until the platform is restored from
 * an older copy: its versions then start again below those in force, and every
 * later edit would be taken for a stale read. The object therefore carries how
 * many such restorations operators have confirmed (`apply --after-restore`),
 * and that number goes before the platform's version. Both fit in one integer,
 * so peers exchange and compare a single number.
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { IPlatformObject } from "../services/services.ts";
import { documentFinding } from "./findings.ts";
import { PLAN_LIST_KIND, PlanListName } from "./types.ts";
import type { IFinding, IListText } from "./types.ts";

/**
 * Above any platform version: at the platform's several hundred writes a
 * second a trillion is passed after some fifty years.
 */
const RESTORATION_STEP = 1_000_000_000_000;

/** Keeps the joined number exact in a double. */
const MAXIMUM_RESTORATIONS = 1_000;

/** The form of a list in the platform: its text as the operator wrote it. */
export interface IListValue {
  readonly text: string;
  /** Restorations of the platform confirmed so far; absent means none. */
  readonly restorations?: number;
  /** Names of the last edits, oldest first; see list_edit.ts. */
  readonly edits?: readonly string[];
}

const listValueSchema = z.strictObject({
  text: z.string(),
  restorations: z.number().int().min(0).max(MAXIMUM_RESTORATIONS).optional(),
  edits: z.array(z.string()).optional(),
});

/** The list that an object's name stands for, or null. */
export function parsePlanListName(name: string): PlanListName | null {
  return Object.values(PlanListName).find((known) => known === name) ?? null;
}

/** Reads a list object; findings when it is not of that form. */
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

/** Names of the edits that a list object still tells of; none if unreadable. */
export function editNamesOf(object: IPlatformObject): readonly string[] {
  const value = listValueSchema.safeParse(object.value);
  return value.success ? (value.data.edits ?? []) : [];
}

/** The platform's part of a list's version: what a write is conditional on. */
export function platformVersionOf(version: number): number {
  return version % RESTORATION_STEP;
}

/** How many restorations of the platform a list's version counts. */
export function restorationsOf(version: number): number {
  return Math.floor(version / RESTORATION_STEP);
}

/** A list's version from its two parts. */
export function combineVersions(restorations: number, version: number): number {
  return restorations * RESTORATION_STEP + version;
}
