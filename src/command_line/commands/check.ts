/** `cranberryledge check FILE...`: settings and lists, all findings at once. */
import { readFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { formatFinding } from "../../common/plans/findings.ts";
import {
  checkCustomers,
  checkPlans,
} from "../../common/plans/plan_list_schema.ts";
import type { IFinding } from "../../common/plans/types.ts";
import { checkSettings } from "../../daemon/settings.ts";
import { ExitCode } from "../exit_code.ts";

/** What a file is taken for, by its first top-level key. */
const CHECKS: readonly {
  readonly key: RegExp;
  readonly check: (source: string, text: string) => readonly IFinding[];
}[] = [
  {
    key: /^customers:/m,
    check: (source, text) => findingsOf(checkCustomers(source, text)),
  },
  {
    key: /^plans:/m,
    check: (source, text) => findingsOf(checkPlans(source, text)),
  },
];

/** Checks files without touching anything. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "check settings and plan lists, reporting every finding",
  });

  files = Option.Rest({ required: 1 });

  override async execute(): Promise<number> {
    const findings = this.files.flatMap(checkFile);
    for (const finding of findings) {
      this.context.stderr.write(`${formatFinding(finding)}\n`);
    }
    return findings.length === 0 ? ExitCode.Done : ExitCode.Findings;
  }
}

function checkFile(path: string): readonly IFinding[] {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    const message = `cannot be read: ${String(error)}`;
    return [{ source: path, line: 1, column: 1, path: "", message }];
  }
  const list = CHECKS.find((entry) => entry.key.test(text));
  return list ? list.check(path, text) : findingsOf(checkSettings(path, text));
}

function findingsOf(result: {
  isErr(): boolean;
  error?: unknown;
}): readonly IFinding[] {
  return result.isErr() ? (result.error as readonly IFinding[]) : [];
}
