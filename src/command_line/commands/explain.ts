/** `cranberryledge explain REQUEST`: a request's timeline from many logs. */
import { Command, Option } from "clipanion";
import {
  buildTimeline,
  formatTimeline,
} from "../../common/reports/request_timeline.ts";
import { ExitCode } from "../exit_code.ts";
import { readLogs } from "../read_logs.ts";

/** Reads logs from files or standard input; contacts no daemon. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "tell a request's story from the logs of all processes",
    details: `
      Reads the named files, or standard input. Lines marked with a star name
      the request; the others tell of the groups it was sent to. Ends with 8 if
      no line names the request, and with 2 if a file cannot be read.
    `,
    examples: [
      ["From the logs of all processes", "cranberryledge explain ID *.log"],
    ],
  });

  request = Option.String({ name: "request" });
  files = Option.Rest();
  json = Option.Boolean("--json", false, {
    description: "one JSON document for programs",
  });

  override async execute(): Promise<number> {
    const lines = await readLogs(this.files, this.context);
    if (lines === null) {
      return ExitCode.Findings;
    }
    const steps = buildTimeline(lines, this.request);
    if (steps.length === 0) {
      this.context.stderr.write(`no line names request ${this.request}\n`);
      return ExitCode.NotFound;
    }
    const story = this.json
      ? `${JSON.stringify(steps, null, 2)}\n`
      : formatTimeline(steps);
    this.context.stdout.write(story);
    return ExitCode.Success;
  }
}
