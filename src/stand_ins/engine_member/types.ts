/** Options of an engine member, and the entries of its log. */

/** How an engine treats old epochs in orders and wrong groups in calls. */
export enum FencingMode {
  Refuse = "refuse",
  Ignore = "ignore",
}

/** Times are in milliseconds. */
export interface IEngineMemberOptions {
  readonly id: string;
  readonly fencing: FencingMode;
  /** Time to load a model's weights. */
  readonly loadTime: number;
  readonly firstTokenTime: number;
  /** Time between tokens while one request runs. */
  readonly tokenTime: number;
  /** Added to the time between tokens for each further running request. */
  readonly batchTime: number;
  /** Interval between updates of a report's load figures, given as `lag`. */
  readonly reportLag: number;
  /** Time between receiving and executing an order. */
  readonly orderDelay: number;
  /** Whether an order is refused once its validity has expired. */
  readonly honoursValidity: boolean;
  /**
   * A section of a prompt on which the engine's process ends when it begins to
   * answer; empty for none.
   */
  readonly crashOn: string;
}

/** One event in an engine's log, which tests check after a run. */
export interface IEngineLogEntry {
  readonly kind:
    | "joined"
    | "loaded"
    | "released"
    | "refused"
    | "expired"
    | "began"
    | "worked"
    | "ended"
    | "cancelled"
    | "rejected";
  readonly at: number;
  readonly group: string;
  readonly generation: number;
  readonly epoch: number;
  readonly requestId: string;
  /** Addresses of the group's members; empty for `worked`. */
  readonly members: readonly string[];
}
