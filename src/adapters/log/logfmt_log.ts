/** Writes log lines as key=value pairs to standard output, one per event. */
import { once } from "node:events";
import type { Writable } from "node:stream";
import { pino } from "pino";
import type { Logger } from "pino";
import * as pinoLogfmt from "pino-logfmt";
import type { ILog, LogFields } from "../../common/services/services.ts";

/** The transport's default export, which its type definitions lack. */
const createTransport = (
  pinoLogfmt as unknown as {
    default: (options: object) => Promise<Writable>;
  }
).default;

/** Writes through pino and its logfmt transport, within this process. */
export class LogfmtLog implements ILog {
  readonly #logger: Logger;
  readonly #stream: Writable;

  private constructor(logger: Logger, stream: Writable) {
    this.#logger = logger;
    this.#stream = stream;
  }

  /**
   * @param base - fields on every line, such as the daemon's name
   */
  static async create(base: Record<string, string>): Promise<LogfmtLog> {
    const stream = await createTransport({
      escapeMultilineStrings: true,
      sync: true,
    });
    const options = {
      base,
      messageKey: "event",
      timestamp: pino.stdTimeFunctions.isoTime,
      formatters: { level: (severity: string) => ({ severity }) },
    };
    const logger = pino(options, stream);
    return new LogfmtLog(logger, stream);
  }

  info(event: string, fields: LogFields = {}): void {
    this.#logger.info(fields, event);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.#logger.warn(fields, event);
  }

  error(event: string, fields: LogFields = {}): void {
    this.#logger.error(fields, event);
  }

  /**
   * Flushes the transport. A process that exits without this loses its last
   * lines, including "stopped".
   */
  async [Symbol.asyncDispose](): Promise<void> {
    const closed = once(this.#stream, "close");
    this.#stream.end();
    await closed;
  }
}
