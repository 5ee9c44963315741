/** What a daemon knows of one target of a service. */
import type { MonotonicTime } from "../types.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import type { ICandidate } from "./routing.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import { TargetHealth } from "./outlier_detector.ts";
import { TargetLoad } from "./target_load.ts";

/** Requests at once at a target on probation. */
const PROBATION_REQUESTS = 1;

/** Load, limit and standing of one target, as routing compares them. */
export class TrackedTarget implements ICandidate {
  readonly id: string;
  readonly adaptiveLimit = new AdaptiveLimit();
  readonly #load = new TargetLoad();
  readonly #slow: OutlierDetector;
  #unread = 0;
  #daemons = 1;

  constructor(id: string, slow: OutlierDetector) {
    this.id = id;
    this.#slow = slow;
  }

  get load(): number {
    return this.#load.total;
  }

  /** Requests this daemon has there. */
  get ownInFlight(): number {
    return this.#load.ownInFlight;
  }

  get pendingPromptCost(): number {
    return this.#unread;
  }

  get pace(): number {
    return this.#slow.paceOf(this.id);
  }

  get limit(): number {
    return this.adaptiveLimit.value;
  }

  /**
   * Requests this daemon may send there now. Its own part of the limit is
   * free to it whatever others have there: otherwise a daemon whose limit is
   * behind the others' sends nothing, learns nothing and stays behind.
   */
  get freeSlots(): number {
    switch (this.#slow.healthOf(this.id)) {
      case TargetHealth.SetAside:
        return 0;
      case TargetHealth.Probation:
        return Math.max(0, PROBATION_REQUESTS - this.ownInFlight);
      case TargetHealth.InService:
        return Math.max(
          this.#ownPart - this.ownInFlight,
          this.limit - this.load,
        );
    }
  }

  get #ownPart(): number {
    return Math.max(1, this.limit / this.#daemons);
  }

  /** Takes in a report, and how many daemons send to the target. */
  update(reported: number, describes: MonotonicTime, daemons: number): void {
    this.#daemons = daemons;
    this.#load.update(reported, describes);
    this.adaptiveLimit.recordLoad(this.load);
  }

  startRequest(promptCost: number, now: MonotonicTime): void {
    this.#load.recordSent(now);
    this.#unread += promptCost;
    this.adaptiveLimit.recordLoad(this.load);
  }

  /** The prompt of a request has been read, or will not be. */
  finishPrompt(promptCost: number): void {
    this.#unread -= promptCost;
  }

  endRequest(now: MonotonicTime): void {
    this.#load.recordFinished(now);
  }
}
