/**
 * Asks engines directly, and reports one as silent only if this process reaches
 * most of the others at that moment. Otherwise a process that has just lost its
 * links, but does not know it yet, would make sound groups look lost, to itself
 * or to the process that asked through it. The reports that others have answered
 * since are enough; only without them are engines probed.
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
import type { IClock } from "../services/services.ts";
import { CallFailureKind } from "../types.ts";
import type {
  ICallFailure,
  InstanceId,
  MonotonicTime,
  ServiceName,
} from "../types.ts";
import type { TargetReach } from "./target_reach.ts";

/** Engines that must have answered since a missed report was requested. */
const FEWEST_WITNESSES = 5;

/** Answers for each miss in that time, so that most engines are reached. */
const ANSWERS_PER_MISS = 2;

/** Reports remembered: more than are requested within a timeout. */
const MAXIMUM_REPORTS = 400;

/** A report that was answered or missed. */
interface IRecentReport {
  readonly engine: InstanceId;
  readonly at: MonotonicTime;
  readonly isAnswered: boolean;
}

/** Dependencies of {@link DirectEngineClient}. */
export interface IDirectEngineClientParts {
  readonly engines: IEngineClient;
  readonly reach: Pick<
    TargetReach,
    "confirm" | "recordAnswer" | "recordNoAnswer"
  >;
  /** Null for an engine that is not listed. */
  readonly serviceOf: (engine: InstanceId) => ServiceName | null;
  readonly clock: IClock;
}

/** An engine client whose failures are the engines'. */
export class DirectEngineClient implements IEngineClient {
  readonly #parts: IDirectEngineClientParts;
  /** By service, in order of time. */
  readonly #recent = new Map<ServiceName, IRecentReport[]>();

  constructor(parts: IDirectEngineClientParts) {
    this.#parts = parts;
  }

  /** Fails with `NoPath` where the failure may be this process's own. */
  async fetchReport(
    engine: IEngineAddress,
    timeout: number,
  ): Promise<Result<IEngineReport, ICallFailure>> {
    const { engines, reach, serviceOf, clock } = this.#parts;
    const askedAt = clock.now();
    const report = await engines.fetchReport(engine, timeout);
    const service = serviceOf(engine.id);
    if (service === null) {
      return report;
    }
    this.#record(service, engine.id, report.isOk());
    if (report.isOk()) {
      reach.recordAnswer(service, engine.id);
      return report;
    }
    reach.recordNoAnswer(service, engine.id);
    const hasWitnesses = this.#hasWitnesses(service, askedAt);
    if (hasWitnesses || (await reach.confirm(service))) {
      return report;
    }
    const { detail } = report.error;
    return Err({ kind: CallFailureKind.NoPath, detail });
  }

  #record(service: ServiceName, engine: InstanceId, isAnswered: boolean): void {
    const recent = this.#recent.get(service) ?? [];
    recent.push({ engine, at: this.#parts.clock.now(), isAnswered });
    if (recent.length > 2 * MAXIMUM_REPORTS) {
      recent.splice(0, MAXIMUM_REPORTS);
    }
    this.#recent.set(service, recent);
  }

  /** Whether most engines that were heard of since a time have answered. */
  #hasWitnesses(service: ServiceName, since: MonotonicTime): boolean {
    const answered = new Set<InstanceId>();
    const missed = new Set<InstanceId>();
    const recent = this.#recent.get(service) ?? [];
    for (let index = recent.length - 1; index >= 0; index -= 1) {
      const one = recent[index];
      if (one === undefined || one.at <= since) {
        break;
      }
      (one.isAnswered ? answered : missed).add(one.engine);
    }
    return (
      answered.size >= FEWEST_WITNESSES &&
      answered.size >= missed.size * ANSWERS_PER_MISS
    );
  }

  sendOrder(
    engine: IEngineAddress,
    order: EngineOrder,
    timeout: number,
  ): Promise<OrderOutcome> {
    return this.#parts.engines.sendOrder(engine, order, timeout);
  }
}
