/** The report of late calls, run as a command on files and on a pipe. */
import { spawnSync } from "node:child_process";
import { expect } from "chai";
import { ExitCode } from "../src/command_line/exit_code.ts";

const MAIN = new URL("../dist/src/command_line/main.js", import.meta.url)
  .pathname;

const LINE =
  "time=2026-07-16T03:20:42.900Z severity=info event=model_call process=b-1 " +
  "request=ab12 model=large outcome=whole objective_ms=400 waited_ms=300 " +
  "first_event_ms=520 sends=1\n";

function reportLate(words: readonly string[], input = "") {
  const command = [MAIN, "report", "late", ...words];
  const run = spawnSync(process.execPath, command, { input, encoding: "utf8" });
  return { code: run.status, output: run.stdout, errors: run.stderr };
}

describe("cranberryledge report late", () => {
  // The cause of late calls must be found from the logs alone.
  it("prints the cause and an example request", () => {
    const { code, output, errors } = reportLate([], LINE);
    expect(code, errors).to.equal(ExitCode.Success);
    expect(output).to.match(/large +waited.*ab12/);
  });

  it("prints one JSON document with --json", () => {
    const { output } = reportLate(["--json"], LINE);
    expect(JSON.parse(output)).to.have.length(1);
  });

  it("names a file that cannot be read", () => {
    const { code, errors } = reportLate(["/nowhere/missing.log"]);
    expect(code).to.equal(ExitCode.Findings);
    expect(errors).to.include("missing.log:1:1: cannot be read");
  });

  it("reports lines that cannot be parsed", () => {
    expect(reportLate([], "something else\n").errors).to.include("1 lines");
  });
});
