/** The latest report of each process to the lease holder. */
import type { MonotonicTime } from "../types.ts";
import type { IProcessReport } from "./exchange.ts";

/**
 * Time after which a process without a new report is not counted, milliseconds.
 */
const REPORT_LIFETIME = 1_500;

interface IReceivedReport {
  readonly report: IProcessReport;
  readonly receivedAt: MonotonicTime;
}

/** Reports of all processes except the holder. */
export class ProcessReports {
  readonly #reports = new Map<string, IReceivedReport>();

  record(report: IProcessReport, now: MonotonicTime): void {
    this.#reports.set(report.process, { report, receivedAt: now });
  }

  /** Returns the recent reports and removes the others. */
  recent(now: MonotonicTime): readonly IProcessReport[] {
    for (const [process, { receivedAt }] of this.#reports) {
      if (now - receivedAt > REPORT_LIFETIME) {
        this.#reports.delete(process);
      }
    }
    return [...this.#reports.values()].map(({ report }) => report);
  }
}

/** Adds up requests in flight by group. */
export function sumInFlight(
  reports: readonly Pick<IProcessReport, "inFlight">[],
): Map<string, number> {
  const sums = new Map<string, number>();
  for (const { inFlight } of reports) {
    for (const [group, count] of Object.entries(inFlight)) {
      sums.set(group, (sums.get(group) ?? 0) + count);
    }
  }
  return sums;
}
