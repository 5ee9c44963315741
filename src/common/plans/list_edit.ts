/**
 * One operator's edit of a plan list, put on the platform at most once.
 *
 * A write's answer can be lost after it took effect, and by the time it is
 * read back another operator may have edited the list again. Comparing texts
 * would then say "not applied", and repeating the edit would undo the other
 * one. The object therefore names its last edits; a name is the digest of what
 * was edited and of the result, so a second run of the same command finds it.
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

/** Edits an object names; more than operators make while one waits. */
const MAXIMUM_EDITS = 50;

/** Tries to learn what became of a write before saying "unknown". */
const MAXIMUM_TRIES = 5;

/** An edit as an operator asks for it. */
export interface IListEdit {
  readonly list: PlanListName;
  readonly text: string;
  /** The version that was edited; 0 where there was no list. */
  readonly editedFrom: number;
  /** Digest of list, version and text: the same for the same edit. */
  readonly name: string;
  /** Restorations of the platform to count; that of the version if absent. */
  readonly restorations?: number;
}

/** What became of an edit. */
export enum EditOutcome {
  /** On the platform, by this run or an earlier one of the same command. */
  Applied = "applied",
  /** It took effect, and another edit has replaced it since. */
  Replaced = "replaced",
  /** Another edit came first: nothing was changed. */
  Conflict = "conflict",
  /** The platform refused or was out of reach: nothing was changed. */
  NotApplied = "not_applied",
  /** Neither can be told. */
  Unknown = "unknown",
}

/** The outcome, and the object as it stands where that is known. */
export interface IEditResult {
  readonly outcome: EditOutcome;
  readonly detail: string;
  readonly current: IPlatformObject | null;
}

/** Puts an edit on the platform and settles what became of it. */
export async function applyEdit(
  platform: IPlatform,
  edit: IListEdit,
  pause: () => Promise<void>,
): Promise<IEditResult> {
  let detail = "";
  let hasSent = false;
  for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
    if (tries > 0) {
      await pause();
    }
    const found = await platform.read(PLAN_LIST_KIND, edit.list);
    if (found.isErr()) {
      detail = found.error.detail;
      continue;
    }
    const settled = settle(edit, found.value);
    if (settled !== null) {
      return settled;
    }
    const written = await write(platform, edit, found.value);
    if (written.isOk()) {
      return written.value;
    }
    detail = written.error.detail;
    if (written.error.kind === WriteFailureKind.Unknown) {
      hasSent = true;
    }
  }
  const outcome = hasSent ? EditOutcome.Unknown : EditOutcome.NotApplied;
  return { outcome, detail, current: null };
}

/** What the object as it stands says of the edit; null: it can be written. */
function settle(
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
