/**
 * Shows whether a target still runs. Engines report their start; a plain target
 * has no report, and any answer of its own shows that it runs.
 */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { ISendTarget } from "../calls/types.ts";
import type { ITargetLocator } from "../forwarding/types.ts";
import { CallFailureKind } from "../types.ts";
import type { ICallFailure, InstanceId } from "../types.ts";
import type { IEngineStartReader } from "./types.ts";

/** Start of a target that does not report it, calendar milliseconds. */
const UNKNOWN_START = 0;

/** Dependencies of {@link TargetStartReader}. */
export interface ITargetStartReaderParts {
  readonly engines: IEngineStartReader;
  readonly locator: ITargetLocator;
  readonly isEngine: (target: InstanceId) => boolean;
  /** Whether this process reaches the targets of the same service. */
  readonly hasPath: (target: InstanceId) => boolean;
}

/** Asks engines for reports, and probes plain targets. */
export class TargetStartReader implements IEngineStartReader {
  readonly #parts: ITargetStartReaderParts;

  constructor(parts: ITargetStartReaderParts) {
    this.#parts = parts;
  }

  async fetchReport(
    target: ISendTarget,
    timeout: number,
  ): Promise<Result<{ readonly startedAt: number }, ICallFailure>> {
    const { engines, locator, isEngine, hasPath } = this.#parts;
    if (isEngine(target.id)) {
      return engines.fetchReport(target, timeout);
    }
    if (await locator.isRunning(target, timeout)) {
      return Ok({ startedAt: UNKNOWN_START });
    }
    const kind = hasPath(target.id)
      ? CallFailureKind.Unknown
      : CallFailureKind.NoPath;
    return Err({ kind, detail: `probe of ${target.id}: no answer` });
  }
}
