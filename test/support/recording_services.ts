/** Log and metrics that keep what they are told, for tests of services. */
import type {
  ILog,
  IMetrics,
  LogFields,
} from "../../src/common/services/services.ts";

/** Keeps log lines. */
export class RecordingLog implements ILog {
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  info(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  warn(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  error(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  /** Fields of the lines of one event. */
  fieldsOf(event: string): readonly LogFields[] {
    return this.lines
      .filter((line) => line.event === event)
      .map(({ fields }) => fields);
  }
}

/** Counts nothing. */
export const NO_METRICS: IMetrics = {
  count: () => undefined,
  observe: () => undefined,
  gauge: () => undefined,
};
