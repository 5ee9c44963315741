/**
 * Writes an operator's edit of a plan list to the platform at most once.
 *
 * The reply to a write can be lost after the write took effect, and by the time
 * the list is read back another operator may have edited it again. Comparing
 * texts would then report "not applied", and repeating the edit would undo the
 * other one. The object therefore names its last edits. A name is the digest of
 * the edited version and the result, so a second run of the same command finds
 * it.
 */
import { Err, Ok } from "ts-results-es";
import type { Option, Result } from "ts-results-es";
import { WriteFailureKind } from "../services/services.ts";
import type { IPlatform, IPlatformObject } from "../services/services.ts";
import {
  editNamesOf,
  platformVersionOf,
  restorationsOf,
} from "./list_object.ts";
import type { IListValue } from "./list_object.ts";
import { PLAN_LIST_KIND } from "./types.ts";
import type { PlanListName } from "./types.ts";

/** Edit names stored in an object; more than operators make while one waits. */
const MAXIMUM_EDITS = 50;

/** Attempts to learn the result of a write before reporting `unknown`. */
const MAXIMUM_ATTEMPTS = 5;

/** An edit that an operator requests. */
export interface IListEdit {
  readonly list: PlanListName;
  readonly text: string;
  /** The version that was edited; 0 if there was no list. */
  readonly editedFrom: number;
  /** Digest of list, version and text; identical for identical edits. */
  readonly name: string;
  /** Number of platform restorations; by default that of the edited version. */
  readonly restorations?: number;
}

/** The outcome of an edit. */
export enum EditOutcome {
  /** Written by this run or an earlier run of the same command. */
  Applied = "applied",
  /** Took effect, but another edit has replaced it since. */
  Replaced = "replaced",
  /** Another edit came first; nothing was changed. */
  Conflict = "conflict",
  /** The platform refused or was unreachable; nothing was changed. */
  NotApplied = "not_applied",
  /** It is not known whether the edit took effect. */
  Unknown = "unknown",
}

/** The outcome, with the current object if it is known. */
export interface IEditResult {
  readonly outcome: EditOutcome;
  readonly detail: string;
  readonly current: IPlatformObject | null;
}

/** Writes an edit to the platform and determines its outcome. */
export async function applyEdit(
  platform: IPlatform,
  edit: IListEdit,
  pause: () => Promise<void>,
): Promise<IEditResult> {
  let detail = "";
  let mayHaveWritten = false;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    if (attempt > 0) {
      await pause();
    }
    const found = await platform.read(PLAN_LIST_KIND, edit.list);
    if (found.isErr()) {
      detail = found.error.detail;
      continue;
    }
    const result = findOutcome(edit, found.value);
    if (result !== null) {
      return result;
    }
    const written = await write(platform, edit, found.value);
    if (written.isOk()) {
      return written.value;
    }
    detail = written.error.detail;
    if (written.error.kind === WriteFailureKind.Unknown) {
      mayHaveWritten = true;
    }
  }
  const outcome = mayHaveWritten ? EditOutcome.Unknown : EditOutcome.NotApplied;
  return { outcome, detail, current: null };
}

/** The outcome shown by the current object; null if the edit can be written. */
function findOutcome(
  edit: IListEdit,
  found: Option<IPlatformObject>,
): IEditResult | null {
  const current = found.isSome() ? found.value : null;
  const edits = current === null ? [] : editNamesOf(current);
  if (edits.at(-1) === edit.name) {
    return { outcome: EditOutcome.Applied, detail: "", current };
  }
  if (edits.includes(edit.name)) {
    const detail = "the edit took effect and has been replaced since";
    return { outcome: EditOutcome.Replaced, detail, current };
  }
  const version = current?.version ?? 0;
  if (version === platformVersionOf(edit.editedFrom)) {
    return null;
  }
  const detail = `edited from ${edit.editedFrom}, but another edit came first`;
  return { outcome: EditOutcome.Conflict, detail, current };
}

async function write(
  platform: IPlatform,
  edit: IListEdit,
  found: Option<IPlatformObject>,
): Promise<Result<IEditResult, { kind: WriteFailureKind; detail: string }>> {
  const current = found.isSome() ? found.value : null;
  const edits = current === null ? [] : editNamesOf(current);
  const value: IListValue = {
    text: edit.text,
    restorations: edit.restorations ?? restorationsOf(edit.editedFrom),
    edits: [...edits, edit.name].slice(-MAXIMUM_EDITS),
  };
  const written = await platform.write({
    kind: PLAN_LIST_KIND,
    name: edit.list,
    value,
    expectedVersion: current?.version ?? null,
  });
  if (written.isErr()) {
    return Err(written.error);
  }
  const object: IPlatformObject = {
    kind: PLAN_LIST_KIND,
    name: edit.list,
    version: written.value,
    value,
  };
  const outcome = EditOutcome.Applied;
  return Ok({ outcome, detail: "", current: object });
}
