/**
 * Mocha hook that saves the output of a failed test's processes and prints the
 * end of it. Deployments are disposed of before the hook runs, so their output
 * would be lost otherwise.
 */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Context } from "mocha";
import { ProcessHandle } from "./process_handle.ts";

/** How many of the last lines of each process are printed. */
const TAIL_LINES = 40;

/** Formats the last lines of output of each process. */
export function formatOutputTails(
  processes: Iterable<Pick<ProcessHandle, "name" | "output">>,
): string {
  return [...processes]
    .map(({ name, output }) => {
      const lines = output.trimEnd().split("\n");
      const tail = lines.slice(-TAIL_LINES);
      return [`--- ${name}, ${lines.length} lines`, ...tail].join("\n");
    })
    .join("\n");
}

/** Writes each process's output to a file; returns the folder. */
function saveOutput(processes: readonly ProcessHandle[]): string {
  const folder = mkdtempSync(join(tmpdir(), "cranberryledge-failed-"));
  for (const { name, output } of processes) {
    writeFileSync(join(folder, `${name}.log`), output);
  }
  return folder;
}

export const mochaHooks = {
  afterEach(this: Context): void {
    const processes = ProcessHandle.takeStarted();
    const test = this.currentTest;
    const hasFailed =
      test !== undefined && test.state !== "passed" && !test.isPending();
    if (hasFailed && processes.length > 0) {
      process.stderr.write(
        `processes of "${test.fullTitle()}", full output in ` +
          `${saveOutput(processes)}:\n${formatOutputTails(processes)}\n`,
      );
    }
  },
};
