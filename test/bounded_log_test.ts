import { spawn } from "node:child_process";
import { once } from "node:events";
import { expect } from "chai";

/** Logs far more than a pipe buffers, then writes to its standard error. */
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

describe("a log whose output is not read", () => {
  // Guards against a process that blocks, and so serves no calls, because the
  // log collector hangs and the pipe to it is full.
  it("drops lines and never blocks", async () => {
    const child = spawn(
      process.execPath,
      ["--import=tsx", "--input-type=module", "--eval", PROGRAM],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const [errorOutput] = (await once(child.stderr, "data")) as [Buffer];
    child.kill("SIGKILL");
    await once(child, "exit");
    expect(errorOutput.toString()).to.equal("went on");
  });
});
