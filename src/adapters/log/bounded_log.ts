/**
 * Log lines as key=value pairs on standard output, for processes whose log
 * nobody may be reading: the volume is bounded, and a reader that stops costs
 * lines, never a wait.
 */
import { once } from "node:events";
import logfmt from "logfmt";
import { destination } from "pino";
import { LogBudget } from "../../common/log_budget.ts";
import type {
  IClock,
  ILog,
  LogFields,
} from "../../common/services/services.ts";

/** Bytes that wait for a reader; further lines are dropped and counted. */
const LARGEST_BACKLOG = 1_048_576;

/** How long the last lines are waited for at the end, milliseconds. */
const LAST_LINES_WAIT = 200;

const STANDARD_OUTPUT = 1;

/** The severities that are written. */
enum Severity {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Writes through pino's destination, which never blocks on its reader. */
export class BoundedLog implements ILog {
  readonly #clock: IClock;
  readonly #base: LogFields;
  readonly #budget = new LogBudget();
  readonly #out = destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    maxLength: LARGEST_BACKLOG,
  });

  /** @param base - fields on every line, such as the process's name */
  constructor(clock: IClock, base: LogFields) {
    this.#clock = clock;
    this.#base = base;
    this.#out.on("drop", () => this.#budget.lost());
    // The reader has gone: there is nobody to tell, and calls go on.
    this.#out.on("error", () => this.#budget.lost());
  }

  info(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Info, event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Warn, event, fields);
  }

  error(event: string, fields: LogFields = {}): void {
    this.#write(Severity.Error, event, fields);
  }

  /** Waits a moment for the last lines, not for a reader that has stopped. */
  async [Symbol.asyncDispose](): Promise<void> {
    const flushed = new Promise<void>((resolve) => {
      this.#out.flush(() => resolve());
    });
    const limit = new AbortController();
    const timer = this.#clock.after(LAST_LINES_WAIT, () => limit.abort());
    const over = once(limit.signal, "abort");
    await Promise.race([flushed, over]);
    timer.dispose();
  }

  #write(severity: Severity, event: string, fields: LogFields): void {
    const now = this.#clock.now();
    if (this.#budget.take(severity !== Severity.Info, now)) {
      this.#line(severity, event, fields);
    }
    const count = this.#budget.takeLeftOut(now);
    if (count > 0) {
      this.#line(Severity.Warn, "log_lines_left_out", { count });
    }
  }

  #line(severity: Severity, event: string, fields: LogFields): void {
    const time = new Date(this.#clock.calendar()).toISOString();
    const line = { time, severity, event, ...this.#base, ...fields };
    this.#out.write(`${logfmt.stringify(line).replaceAll("\n", "\\n")}\n`);
  }
}
