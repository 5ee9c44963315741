/**
 * Tracks whether this process gets answers from the targets of each service.
 * Targets that fail one by one say nothing about this process. If several fail
 * and none of the others answers, its own path to them is the likely cause.
 */
import type { IClock, ILog } from "../services/services.ts";
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";

/** Targets without an answer from which a service is in doubt. */
const FEWEST_FAILURES = 2;

/** Failures that are further apart have no common cause, milliseconds. */
const FAILURE_LIFETIME = 1_500;

interface IServiceEvidence {
  /** When each target last failed to answer. */
  readonly failures: Map<InstanceId, MonotonicTime>;
  /** Targets that have answered since the first of these failures. */
  readonly answers: Set<InstanceId>;
  answeredAt: MonotonicTime;
  isUnanswered: boolean;
}

/** The evidence that targets give about this process's own path to them. */
export class TargetReach {
  readonly #clock: IClock;
  readonly #log: ILog;
  readonly #services = new Map<ServiceName, IServiceEvidence>();

  constructor(parts: { readonly clock: IClock; readonly log: ILog }) {
    this.#clock = parts.clock;
    this.#log = parts.log;
  }

  /** A target has sent a response, or part of one. */
  recordAnswer(service: ServiceName, target: InstanceId): void {
    const evidence = this.#evidenceOf(service);
    const now = this.#clock.now();
    if (evidence.isUnanswered) {
      evidence.isUnanswered = false;
      const away_ms = Math.round(now - evidence.answeredAt);
      this.#log.info("targets_answered", { service, target, away_ms });
    }
    evidence.answeredAt = now;
    if (evidence.failures.size > 0) {
      evidence.failures.delete(target);
      evidence.answers.add(target);
    }
  }

  /** A target could not be reached, or did not answer in time. */
  recordNoAnswer(service: ServiceName, target: InstanceId): void {
    const evidence = this.#evidenceOf(service);
    const now = this.#clock.now();
    for (const [failed, at] of evidence.failures) {
      if (now - at > FAILURE_LIFETIME) {
        evidence.failures.delete(failed);
      }
    }
    if (evidence.failures.size === 0) {
      evidence.answers.clear();
    }
    evidence.answers.delete(target);
    evidence.failures.set(target, now);
    const failed = evidence.failures.size;
    const answered = evidence.answers.size;
    if (
      !evidence.isUnanswered &&
      failed >= FEWEST_FAILURES &&
      failed > answered
    ) {
      evidence.isUnanswered = true;
      this.#log.warn("targets_unanswered", {
        service,
        failed,
        answered,
        last_answer_ms: Math.round(now - evidence.answeredAt),
      });
    }
  }

  #evidenceOf(service: ServiceName): IServiceEvidence {
    let evidence = this.#services.get(service);
    if (evidence === undefined) {
      evidence = {
        failures: new Map(),
        answers: new Set(),
        answeredAt: this.#clock.now(),
        isUnanswered: false,
      };
      this.#services.set(service, evidence);
    }
    return evidence;
  }
}
