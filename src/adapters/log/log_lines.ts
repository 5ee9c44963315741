/** Parses log lines into fields. */
import logfmt from "logfmt";
import type { ILogLine } from "../../common/reports/request_timeline.ts";

/** The result of parsing a text. */
export interface IParsedLogLines {
  readonly lines: readonly ILogLine[];
  /** Number of other lines, without a time or an event. */
  readonly skipped: number;
}

/** Parses key=value lines, without any prefix that a collector has added. */
export function parseLogLines(text: string): IParsedLogLines {
  const lines: ILogLine[] = [];
  let skipped = 0;
  for (const raw of text.split("\n")) {
    const start = raw.indexOf("time=");
    const line = start < 0 ? {} : logfmt.parse(raw.slice(start));
    const at = Date.parse(String(line["time"]));
    if (line["event"] === undefined || Number.isNaN(at)) {
      skipped += raw.trim() === "" ? 0 : 1;
      continue;
    }
    const fields = Object.entries(line).map(([name, value]) => [
      name,
      value === null ? "" : String(value),
    ]);
    lines.push({
      at,
      fields: Object.fromEntries(fields) as ILogLine["fields"],
    });
  }
  return { lines, skipped };
}
