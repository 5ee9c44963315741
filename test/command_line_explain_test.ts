/** The explain command, run on files and on a pipe. */
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { ExitCode } from "../src/command_line/exit_code.ts";

const MAIN = new URL("../dist/src/command_line/main.js", import.meta.url)
  .pathname;

const LINE =
  "time=2026-07-16T03:20:42.900Z severity=warn event=plain_call process=b-1 " +
  "request=ab12 outcome=timed_out reason=deadline_passed\n";

function explain(words: readonly string[], input = "") {
  const run = spawnSync(process.execPath, [MAIN, "explain", ...words], {
    input,
    encoding: "utf8",
  });
  return { code: run.status, output: run.stdout, errors: run.stderr };
}

describe("cranberryledge explain", () => {
  let folder: string;

  before(() => {
    folder = mkdtempSync(join(tmpdir(), "cranberryledge-explain-"));
    writeFileSync(join(folder, "b-1.log"), LINE);
  });

  after(() => rmSync(folder, { recursive: true }));

  it("reads files, or standard input if none is given", () => {
    const byFile = explain(["ab12", join(folder, "b-1.log")]);
    expect(byFile.code, byFile.errors).to.equal(ExitCode.Success);
    expect(byFile.output).to.include("reason=deadline_passed");
    expect(explain(["ab12"], LINE).output).to.equal(byFile.output);
  });

  it("prints one JSON document with --json", () => {
    const { output } = explain(["ab12", "--json"], LINE);
    expect(JSON.parse(output)).to.have.length(1);
  });

  it("reports a missing request and a missing file", () => {
    expect(explain(["ef56"], LINE).code).to.equal(ExitCode.NotFound);
    const missing = explain(["ab12", join(folder, "missing.log")]);
    expect(missing.code).to.equal(ExitCode.Findings);
    expect(missing.errors).to.include("missing.log:1:1: cannot be read");
  });
});
