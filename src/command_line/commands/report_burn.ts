/** `cranberryledge report burn`: service-level burn over several windows. */
import { writeFileSync } from "node:fs";
import { Option } from "clipanion";
import { formatBurnPage } from "../../common/reports/burn_page.ts";
import { buildBurnReport } from "../../common/reports/burn_report.ts";
import { formatBurn } from "../../common/reports/burn_text.ts";
import type { IDaemonBurn } from "../../common/reports/burn_types.ts";
import { queryDaemons } from "../query_daemons.ts";
import { ExitCode } from "../exit_code.ts";
import { PlatformCommand } from "./platform_command.ts";

/** Merges the counts of all daemons. */
export class ReportBurnCommand extends PlatformCommand {
  static override paths = [["report", "burn"]];
  static override usage = PlatformCommand.Usage({
    description: "show service-level burn by service and client account",
    details: `
      Counts are merged from all daemons that answer. A daemon's counts do not
      outlast it: the report says since when each has counted.
    `,
  });

  json = Option.Boolean("--json", false, {
    description: "one JSON document for programs",
  });
  page = Option.String("--html", {
    description: "write one HTML page with plots to this file",
  });

  override async execute(): Promise<number> {
    await using platform = this.connect();
    const replies = await queryDaemons<IDaemonBurn>(platform, "/burn");
    if (replies.isErr()) {
      this.context.stderr.write(`${replies.error.detail}\n`);
      return ExitCode.Unreachable;
    }
    const { daemons } = replies.value;
    const answers = daemons.flatMap(({ answer }) => answer ?? []);
    const silent = daemons
      .filter(({ answer }) => answer === null)
      .map(({ entry }) => entry.daemon);
    const report = buildBurnReport(answers, silent, Date.now());
    if (this.page !== undefined) {
      writeFileSync(this.page, formatBurnPage(report));
    }
    const text = this.json
      ? `${JSON.stringify(report, null, 2)}\n`
      : formatBurn(report);
    this.context.stdout.write(text);
    return ExitCode.Success;
  }
}
