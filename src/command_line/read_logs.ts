/** Reads the logs that a command processes, from files or standard input. */
import { text } from "node:stream/consumers";
import type { BaseContext } from "clipanion";
import { parseLogLines } from "../adapters/log/log_lines.ts";
import { readTextFile } from "../adapters/text_file.ts";
import { formatFinding } from "../common/plans/findings.ts";
import type { ILogLine } from "../common/reports/request_timeline.ts";

type Streams = Pick<BaseContext, "stdin" | "stderr">;

/**
 * Returns the lines of all files, or of standard input if there are none. Null
 * if a file cannot be read, which is reported; lines in another format are
 * counted and skipped.
 */
export async function readLogs(
  files: readonly string[],
  streams: Streams,
): Promise<readonly ILogLine[] | null> {
  const input = await readInput(files, streams);
  if (input === null) {
    return null;
  }
  const { lines, skipped } = parseLogLines(input);
  if (skipped > 0) {
    streams.stderr.write(`${skipped} lines are of no such log\n`);
  }
  return lines;
}

async function readInput(
  files: readonly string[],
  { stdin, stderr }: Streams,
): Promise<string | null> {
  if (files.length === 0) {
    return text(stdin);
  }
  const read = files.map((path) => readTextFile(path));
  const findings = read.flatMap((one) => (one.isErr() ? one.error : []));
  for (const finding of findings) {
    stderr.write(`${formatFinding(finding)}\n`);
  }
  return findings.length > 0
    ? null
    : read.map((one) => one.unwrapOr("")).join("\n");
}
