/**
 * Writes log lines as key=value pairs to standard output, for processes whose
 * log may have no reader. The volume is limited, and if the reader stops, lines
 * are dropped instead of blocking the process.
 */
import { once } from "node:events";
import logfmt from "logfmt";
import { destination } from "pino";
import { LogRateLimiter } from "../../common/log_rate_limiter.ts";
import type {
  IClock,
  ILog,
  LogFields,
} from "../../common/services/services.ts";

/** Lines beyond this backlog are dropped and counted. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;

/** How long the final flush may take, milliseconds. */
const FLUSH_TIMEOUT = 200;

const STANDARD_OUTPUT = 1;

/** Severity of a log line. */
enum Severity {
  Info = "info",
  Warn = "warn",
  Error = "error",
}

/** Writes through pino's asynchronous destination, which never blocks. */
export class BoundedLog implements ILog {
  readonly #clock: IClock;
  readonly #base: LogFields;
  readonly #rateLimiter = new LogRateLimiter();
  readonly #out = destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    maxLength: MAXIMUM_BACKLOG_BYTES,
  });

  /** @param base - fields on every line, such as the process's name */
  constructor(clock: IClock, base: LogFields) {
    this.#clock = clock;
    this.#base = base;
    this.#out.on("drop", () => this.#rateLimiter.recordLostLine());
    // The reader is gone, so the error cannot be logged; calls continue.
    this.#out.on("error", () => this.#rateLimiter.recordLostLine());
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

  /** Flushes the last lines, with a timeout in case the reader has stopped. */
  async [Symbol.asyncDispose](): Promise<void> {
    const flushed = new Promise<void>((resolve) => {
      this.#out.flush(() => resolve());
    });
    const limit = new AbortController();
    const timer = this.#clock.after(FLUSH_TIMEOUT, () => limit.abort());
    const timedOut = once(limit.signal, "abort");
    await Promise.race([flushed, timedOut]);
    timer.dispose();
  }

  #write(severity: Severity, event: string, fields: LogFields): void {
    const now = this.#clock.now();
    if (this.#rateLimiter.tryAcquire(severity !== Severity.Info, now)) {
      this.#writeLine(severity, event, fields);
    }
    const count = this.#rateLimiter.takeOmittedCount(now);
    if (count > 0) {
      this.#writeLine(Severity.Warn, "log_lines_left_out", { count });
    }
  }

  #writeLine(severity: Severity, event: string, fields: LogFields): void {
    const time = new Date(this.#clock.calendar()).toISOString();
    const line = { time, severity, event, ...this.#base, ...fields };
    this.#out.write(`${logfmt.stringify(line).replaceAll("\n", "\\n")}\n`);
  }
}
