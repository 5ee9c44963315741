/** Checks settings and list files; their content decides which checks apply. */
import { dirname } from "node:path";
import { readTextFile } from "../adapters/text_file.ts";
import { documentFinding, parseYaml } from "../common/plans/findings.ts";
import {
  checkCustomers,
  checkPlans,
  findMissingPlans,
} from "../common/plans/plan_list_schema.ts";
import type { ICustomer, IFinding, IPlan } from "../common/plans/types.ts";
import { checkSettings } from "../daemon/settings.ts";

/** A checked file and its content. */
interface ICheckedFile {
  readonly path: string;
  readonly findings: readonly IFinding[];
  readonly customers?: readonly ICustomer[];
  readonly plans?: readonly IPlan[];
}

/** Top-level keys that distinguish settings from lists. */
const SETTINGS_KEYS: readonly string[] = ["daemon", "platform", "services"];

/**
 * Returns all findings of all files. Lists in the same folder are also checked
 * against each other.
 */
export function checkFiles(paths: readonly string[]): readonly IFinding[] {
  const files = paths.map(checkFile);
  const missingPlans = files.flatMap((file) => checkAgainstPlans(file, files));
  return [...files.flatMap((file) => file.findings), ...missingPlans];
}

function checkFile(path: string): ICheckedFile {
  const text = readTextFile(path);
  if (text.isErr()) {
    return { path, findings: text.error };
  }
  const parsed = parseYaml(path, text.value);
  if (parsed.isErr()) {
    return { path, findings: parsed.error };
  }
  const keys = topLevelKeys(parsed.value.content);
  if (keys.includes("customers")) {
    const checked = checkCustomers(path, text.value);
    return checked.isErr()
      ? { path, findings: checked.error }
      : { path, findings: [], customers: checked.value };
  }
  if (keys.includes("plans")) {
    const checked = checkPlans(path, text.value);
    return checked.isErr()
      ? { path, findings: checked.error }
      : { path, findings: [], plans: checked.value };
  }
  if (SETTINGS_KEYS.some((key) => keys.includes(key))) {
    const checked = checkSettings(path, text.value);
    return { path, findings: checked.isErr() ? checked.error : [] };
  }
  const message =
    "is neither settings nor a list: expected the key customers, plans, " +
    SETTINGS_KEYS.join(" or ");
  return { path, findings: [documentFinding(path, message)] };
}

function topLevelKeys(content: unknown): readonly string[] {
  return typeof content === "object" && content !== null
    ? Object.keys(content)
    : [];
}

function checkAgainstPlans(
  file: ICheckedFile,
  files: readonly ICheckedFile[],
): readonly IFinding[] {
  const { path, customers } = file;
  const siblings = files.filter(
    (other) => other.plans && dirname(other.path) === dirname(path),
  );
  if (customers === undefined || siblings.length === 0) {
    return [];
  }
  const names = siblings.flatMap((other) => other.plans ?? []);
  return findMissingPlans(
    path,
    customers,
    new Set(names.map((plan) => plan.name)),
  );
}
