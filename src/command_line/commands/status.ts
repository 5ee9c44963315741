/** `cranberryledge status`: the status of the deployment. */
import { Option } from "clipanion";
import { formatFinding } from "../../common/plans/findings.ts";
import { formatStatus } from "../../common/reports/status_text.ts";
import { queryStatuses } from "../query_daemons.ts";
import { ExitCode } from "../exit_code.ts";
import { PlatformCommand } from "./platform_command.ts";

/** Queries every daemon on the platform's list. */
export class StatusCommand extends PlatformCommand {
  static override paths = [["status"]];
  static override usage = PlatformCommand.Usage({
    description: "show versions in force, daemons, leases, groups and alarms",
  });

  json = Option.Boolean("--json", false, {
    description: "one JSON document for programs",
  });

  override async execute(): Promise<number> {
    await using platform = this.connect();
    const replies = await queryStatuses(platform);
    if (replies.isErr()) {
      this.context.stderr.write(`${replies.error.detail}\n`);
      return ExitCode.Unreachable;
    }
    const report = {
      daemons: replies.value.daemons,
      findings: replies.value.findings.map(formatFinding),
      now: Date.now(),
    };
    const text = this.json
      ? `${JSON.stringify(report, null, 2)}\n`
      : formatStatus(report);
    this.context.stdout.write(text);
    return ExitCode.Success;
  }
}
