/** `cranberryledge report late`: late model calls by cause, from logs. */
import { Command, Option } from "clipanion";
import {
  formatLateCalls,
  summarizeLateCalls,
} from "../../common/reports/late_calls.ts";
import { ExitCode } from "../exit_code.ts";
import { readLogs } from "../read_logs.ts";

/** Reads logs from files or standard input; contacts no daemon. */
export class ReportLateCommand extends Command {
  static override paths = [["report", "late"]];
  static override usage = Command.Usage({
    description: "count late and unserved model calls by cause",
    details: `
      Reads the named files, or standard input. Seconds count from the first
      line; the requests named as examples can be looked up with explain. Ends
      with 2 if a file cannot be read.
    `,
    examples: [
      ["From the logs of all processes", "cranberryledge report late *.log"],
    ],
  });

  files = Option.Rest();
  json = Option.Boolean("--json", false, {
    description: "one JSON document for programs",
  });

  override async execute(): Promise<number> {
    const lines = await readLogs(this.files, this.context);
    if (lines === null) {
      return ExitCode.Findings;
    }
    const rows = summarizeLateCalls(lines);
    const report = this.json
      ? `${JSON.stringify(rows, null, 2)}\n`
      : formatLateCalls(rows);
    this.context.stdout.write(report);
    return ExitCode.Success;
  }
}
