/** State of one target of a service in one daemon. */
import type { MonotonicTime } from "../types.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import type { ICandidate } from "./routing.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import { TargetHealth } from "./outlier_detector.ts";
import { TargetLoad } from "./target_load.ts";

/** Requests in flight allowed to a target on probation. */
const PROBATION_REQUESTS = 1;

/** Load, limit and health of one target, as routing compares them. */
export class TrackedTarget implements ICandidate {
  readonly id: string;
  readonly adaptiveLimit = new AdaptiveLimit();
  readonly #load = new TargetLoad();
  readonly #outliers: OutlierDetector;
  #pendingPromptCost = 0;
  #daemons = 1;

  constructor(id: string, outliers: OutlierDetector) {
    this.id = id;
    this.#outliers = outliers;
  }

  get load(): number {
    return this.#load.total;
  }

  /** Requests this daemon has in flight at the target. */
  get ownInFlight(): number {
    return this.#load.ownInFlight;
  }

  get pendingPromptCost(): number {
    return this.#pendingPromptCost;
  }

  get pace(): number {
    return this.#outliers.paceOf(this.id);
  }

  get limit(): number {
    return this.adaptiveLimit.value;
  }

  /**
   * Requests this daemon may send there now. It may always use its own part of
   * the limit, whatever other daemons have there: otherwise a daemon whose
   * limit is lower than the others' sends nothing, learns nothing and stays
   * behind.
   */
  get freeSlots(): number {
    switch (this.#outliers.healthOf(this.id)) {
      case TargetHealth.SetAside:
        return 0;
      case TargetHealth.Probation:
        return Math.max(0, PROBATION_REQUESTS - this.ownInFlight);
      case TargetHealth.InService:
        return Math.max(
          this.#ownShare - this.ownInFlight,
          this.limit - this.load,
        );
    }
  }

  get #ownShare(): number {
    return Math.max(1, this.limit / this.#daemons);
  }

  /**
   * Updates the load from a report, and the number of daemons that send there.
   */
  update(reported: number, describedAt: MonotonicTime, daemons: number): void {
    this.#daemons = daemons;
    this.#load.update(reported, describedAt);
    this.adaptiveLimit.recordLoad(this.load);
  }

  startRequest(promptCost: number, now: MonotonicTime): void {
    this.#load.recordSent(now);
    this.#pendingPromptCost += promptCost;
    this.adaptiveLimit.recordLoad(this.load);
  }

  /** Records that the prefill of a prompt has finished, or will never run. */
  finishPrompt(promptCost: number): void {
    this.#pendingPromptCost -= promptCost;
  }

  endRequest(now: MonotonicTime): void {
    this.#load.recordFinished(now);
  }
}
