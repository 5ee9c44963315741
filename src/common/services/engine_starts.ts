/**
 * Numbers the starts of engines, which report an incarnation that tells only
 * whether two starts are the same.
 */
import type { Result } from "ts-results-es";
import type { ICallFailure, InstanceId } from "../types.ts";
import type { ITargets } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Engines whose starts are remembered; the oldest is forgotten first. */
const MAXIMUM_ENGINES = 10_000;

interface IKnownStart {
  readonly incarnation: string;
  /** Rises with each start. */
  readonly number: number;
}

/** The starts that this daemon knows of. */
export class EngineStarts {
  readonly #targets: Pick<ITargets, "report">;
  readonly #directory: Pick<TargetDirectory, "reports">;
  readonly #starts = new Map<InstanceId, IKnownStart>();

  constructor(
    targets: Pick<ITargets, "report">,
    directory: Pick<TargetDirectory, "reports">,
  ) {
    this.#targets = targets;
    this.#directory = directory;
  }

  /** The number of an engine's start by its last known report, or null. */
  startOf(engine: InstanceId): number | null {
    const seen = this.#directory.reports.get(engine);
    return seen === undefined
      ? null
      : this.#numberOf(engine, seen.report.incarnation);
  }

  /** Asks an engine for its present start. */
  async fetchReport(
    engine: { readonly id: InstanceId; readonly address: string },
    timeout: number,
  ): Promise<Result<{ readonly startedAt: number }, ICallFailure>> {
    const report = await this.#targets.report(engine.address, timeout);
    return report.map(({ incarnation }) => {
      return { startedAt: this.#numberOf(engine.id, incarnation) };
    });
  }

  #numberOf(engine: InstanceId, incarnation: string): number {
    const known = this.#starts.get(engine);
    if (known?.incarnation === incarnation) {
      return known.number;
    }
    const number = (known?.number ?? 0) + 1;
    this.#starts.set(engine, { incarnation, number });
    const [oldest] = this.#starts.keys();
    if (this.#starts.size > MAXIMUM_ENGINES && oldest !== undefined) {
      this.#starts.delete(oldest);
    }
    return number;
  }
}
