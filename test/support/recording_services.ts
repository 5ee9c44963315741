/** Services that record what they are told or do nothing, for tests. */
import type {
  IForwardingMember,
  ITargetPaths,
} from "../../src/common/forwarding/types.ts";
import type {
  ICallQuarantine,
  IObservedSend,
  IPromptedCall,
  IQuarantineMember,
} from "../../src/common/quarantine/types.ts";
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

/** Records counters, each as its name and labels. */
export class RecordingMetrics implements IMetrics {
  readonly counted: string[] = [];

  count(name: string, labels: Readonly<Record<string, string>> = {}): void {
    this.counted.push(`${name} ${JSON.stringify(labels)}`);
  }

  observe(): void {
    // Only counters are recorded.
  }

  gauge(): void {
    // Only counters are recorded.
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

/** A quarantine that a test controls; by default it refuses no call. */
export class FakeQuarantine implements ICallQuarantine {
  /** Parts whose calls are refused. */
  readonly parts = new Set<string>();
  /** Targets that have crashed. */
  readonly crashed = new Set<string>();
  isVerdictPending = false;
  /** Whether requests that can be recognized are refused. */
  isRequestQuarantined = false;
  /** Broken sends after which the verdicts are awaited. */
  allowedCrashes = Number.POSITIVE_INFINITY;
  /** Makes the pending verdict known. */
  onVerdict: () => void = () => undefined;
  readonly begun: { readonly isSound: () => boolean }[] = [];
  readonly broken: { readonly isRepeated: boolean }[] = [];

  isQuarantined({ promptParts, fingerprint }: IPromptedCall): boolean {
    const isRequestMet = this.isRequestQuarantined && fingerprint !== null;
    return isRequestMet || promptParts.some((part) => this.parts.has(part));
  }

  recordBegin(_send: IObservedSend, isSound: () => boolean): void {
    this.begun.push({ isSound });
  }

  recordBroken(_send: IObservedSend, isRepeated: boolean): boolean {
    this.broken.push({ isRepeated });
    return true;
  }

  mayCrashAnother(): boolean {
    return this.broken.length < this.allowedCrashes;
  }

  waitForVerdicts(_targets: readonly string[], callback: () => void): void {
    if (this.isVerdictPending) {
      this.onVerdict = callback;
    } else {
      callback();
    }
  }

  hasCrashed(target: string): boolean {
    return this.crashed.has(target);
  }
}

/** A quarantine that refuses no call. */
export const NO_QUARANTINE: ICallQuarantine & IQuarantineMember = {
  isQuarantined: () => false,
  recordBegin: () => undefined,
  recordBroken: () => false,
  mayCrashAnother: () => true,
  waitForVerdicts: (_, callback) => callback(),
  hasCrashed: () => false,
  composeReport: () => {
    return { crashes: [], proofs: {}, listVersion: 0, unsaved: [] };
  },
  handleReport: () => undefined,
  composeReply: () => {
    return { received: 0, suspects: [], listVersion: 1, entries: null };
  },
  handleReply: () => undefined,
};
