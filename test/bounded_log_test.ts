import { spawn } from "node:child_process";
import { once } from "node:events";
import { expect } from "chai";

/** Writes far more than a pipe holds, and says so on its error output. */
const PROGRAM = `
  import { BoundedLog } from "./src/adapters/log/bounded_log.ts";
  import { SystemClock } from "./src/adapters/clock/system_clock.ts";
  const log = new BoundedLog(new SystemClock(), { process: "test" });
  const filler = "x".repeat(20_000);
  for (let line = 0; line < 2_000; line += 1) {
    log.error("line", { line, filler });
  }
  setImmediate(() => process.stderr.write("went on"));
`;

describe("a log that nobody reads", () => {
  // The collector of logs hangs, and the pipe to it fills up. A process that
  // waits for it serves no calls any more, though nothing else is wrong.
  it("costs lines, and never a wait", async () => {
    const child = spawn(
      process.execPath,
      ["--import=tsx", "--input-type=module", "--eval", PROGRAM],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const [said] = (await once(child.stderr, "data")) as [Buffer];
    child.kill("SIGKILL");
    await once(child, "exit");
    expect(said.toString()).to.equal("went on");
  });
});
