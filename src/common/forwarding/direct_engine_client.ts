/**
 * Asks engines directly, and reports one as silent only if this process reaches
 * most of the others at that moment. Otherwise a process that has just lost its
 * links, but does not know it yet, would make sound groups look lost, to itself
 * or to the process that asked through it.
 */
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import type {
  EngineOrder,
  IEngineAddress,
  IEngineClient,
  IEngineReport,
  OrderOutcome,
} from "../replicas/types.ts";
import { CallFailureKind } from "../types.ts";
import type { ICallFailure, InstanceId, ServiceName } from "../types.ts";
import type { TargetReach } from "./target_reach.ts";

/** Dependencies of {@link DirectEngineClient}. */
export interface IDirectEngineClientParts {
  readonly engines: IEngineClient;
  readonly reach: Pick<
    TargetReach,
    "confirm" | "recordAnswer" | "recordNoAnswer"
  >;
  /** Null for an engine that is not listed. */
  readonly serviceOf: (engine: InstanceId) => ServiceName | null;
}

/** An engine client whose failures are the engines'. */
export class DirectEngineClient implements IEngineClient {
  readonly #parts: IDirectEngineClientParts;

  constructor(parts: IDirectEngineClientParts) {
    this.#parts = parts;
  }

  /** Fails with `NoPath` where the failure may be this process's own. */
  async fetchReport(
    engine: IEngineAddress,
    timeout: number,
  ): Promise<Result<IEngineReport, ICallFailure>> {
    const { engines, reach, serviceOf } = this.#parts;
    const report = await engines.fetchReport(engine, timeout);
    const service = serviceOf(engine.id);
    if (service === null) {
      return report;
    }
    if (report.isOk()) {
      reach.recordAnswer(service, engine.id);
      return report;
    }
    reach.recordNoAnswer(service, engine.id);
    if (await reach.confirm(service)) {
      return report;
    }
    const { detail } = report.error;
    return Err({ kind: CallFailureKind.NoPath, detail });
  }

  sendOrder(
    engine: IEngineAddress,
    order: EngineOrder,
    timeout: number,
  ): Promise<OrderOutcome> {
    return this.#parts.engines.sendOrder(engine, order, timeout);
  }
}
