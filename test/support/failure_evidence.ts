/**
 * Prints what the processes of a failed test have written. Deployments are
 * disposed of before this runs, and their output would be gone with them.
 */
import type { Context } from "mocha";
import { ProcessHandle } from "./process_handle.ts";

/** Lines printed of each process: the last of them. */
const LINES_PRINTED = 40;

/** The end of what each process has written. */
export function tailOfProcesses(
  processes: Iterable<Pick<ProcessHandle, "name" | "output">>,
): string {
  return [...processes]
    .map(({ name, output }) => {
      const lines = output.trimEnd().split("\n");
      const tail = lines.slice(-LINES_PRINTED);
      return [`--- ${name}, ${lines.length} lines`, ...tail].join("\n");
    })
    .join("\n");
}

export const mochaHooks = {
  afterEach(this: Context): void {
    const processes = ProcessHandle.takeStarted();
    const test = this.currentTest;
    if (test !== undefined && test.state !== "passed" && !test.isPending()) {
      process.stderr.write(
        `processes of "${test.fullTitle()}":\n${tailOfProcesses(processes)}\n`,
      );
    }
  },
};
