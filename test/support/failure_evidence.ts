/**
 * Keeps what the processes of a failed test have written, and prints its end.
 * Deployments are disposed of before this runs, and their output would be gone
 * with them.
 */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Context } from "mocha";
import { ProcessHandle } from "./process_handle.ts";

/** Lines printed of each process: the last of them. */
const TAIL_LINES = 40;

/** The end of what each process has written. */
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

/** Writes a file a process and returns the folder. */
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
        `processes of "${test.fullTitle()}", whole in ` +
          `${saveOutput(processes)}:\n${formatOutputTails(processes)}\n`,
      );
    }
  },
};
