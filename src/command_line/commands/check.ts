/** `cranberryledge check FILE...`: all findings of settings and lists. */
import { Command, Option } from "clipanion";
import { formatFinding } from "../../common/plans/findings.ts";
import { checkFiles } from "../check_files.ts";
import { ExitCode } from "../exit_code.ts";

/** Checks files without contacting the platform. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "check settings and plan lists, reporting every finding",
  });

  files = Option.Rest({ required: 1 });

  override async execute(): Promise<number> {
    const findings = checkFiles(this.files);
    for (const finding of findings) {
      this.context.stderr.write(`${formatFinding(finding)}\n`);
    }
    return findings.length === 0 ? ExitCode.Success : ExitCode.Findings;
  }
}
