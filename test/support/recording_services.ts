/** Services that record what they are told or do nothing, for tests. */
import type {
  IForwardingMember,
  ITargetPaths,
} from "../../src/common/forwarding/types.ts";
import type {
  ILog,
  IMetrics,
  LogFields,
} from "../../src/common/services/services.ts";

/** Records log lines. */
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

  /** The fields of all lines of one event. */
  fieldsOf(event: string): readonly LogFields[] {
    return this.lines
      .filter((line) => line.event === event)
      .map(({ fields }) => fields);
  }
}

/** Discards all metrics. */
export const NO_METRICS: IMetrics = {
  count: () => undefined,
  observe: () => undefined,
  gauge: () => undefined,
};

/** Paths to all targets that are never lost. */
export const DIRECT_PATHS: ITargetPaths = {
  hasPath: () => true,
  recordSilence: () => undefined,
};

/** A process without other processes to forward to. */
export const NO_FORWARDING: IForwardingMember = {
  report: { zone: "one", outOfReach: [] },
  updatePeers: () => undefined,
};
