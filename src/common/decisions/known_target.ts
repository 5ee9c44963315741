/** What a daemon knows of one target of a service. */
import type { MonotonicTime } from "../types.ts";
import { GroupLimit } from "./group_limit.ts";
import type { ICandidate } from "./routing.ts";
import type { SlowTargets } from "./slow_target.ts";
import { Standing } from "./slow_target.ts";
import { TargetLoad } from "./target_load.ts";

/** Requests at once at a target on probation. */
const PROBATION_REQUESTS = 1;

/** Load, limit and standing of one target, as routing compares them. */
export class KnownTarget implements ICandidate {
  readonly id: string;
  readonly limits = new GroupLimit();
  readonly #load = new TargetLoad();
  readonly #slow: SlowTargets;
  #unread = 0;
  #daemons = 1;

  constructor(id: string, slow: SlowTargets) {
    this.id = id;
    this.#slow = slow;
  }

  get load(): number {
    return this.#load.total;
  }

  /** Requests this daemon has there. */
  get own(): number {
    return this.#load.own;
  }

  get unread(): number {
    return this.#unread;
  }

  get pace(): number {
    return this.#slow.pace(this.id);
  }

  get limit(): number {
    return this.limits.value;
  }

  /**
   * Requests this daemon may send there now. Its own part of the limit is
   * free to it whatever others have there: otherwise a daemon whose limit is
   * behind the others' sends nothing, learns nothing and stays behind.
   */
  get room(): number {
    switch (this.#slow.standing(this.id)) {
      case Standing.SetAside:
        return 0;
      case Standing.Probation:
        return Math.max(0, PROBATION_REQUESTS - this.own);
      case Standing.InService:
        return Math.max(this.#ownPart - this.own, this.limit - this.load);
    }
  }

  get #ownPart(): number {
    return Math.max(1, this.limit / this.#daemons);
  }

  /** Takes in a report, and how many daemons send to the target. */
  report(reported: number, describes: MonotonicTime, daemons: number): void {
    this.#daemons = daemons;
    this.#load.report(reported, describes);
    this.limits.inUse(this.load);
  }

  begin(promptCost: number, now: MonotonicTime): void {
    this.#load.begin(now);
    this.#unread += promptCost;
    this.limits.inUse(this.load);
  }

  /** The prompt of a request has been read, or will not be. */
  read(promptCost: number): void {
    this.#unread -= promptCost;
  }

  end(now: MonotonicTime): void {
    this.#load.end(now);
  }
}
