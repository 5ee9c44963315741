/** What an engine member is told, and what it keeps of what it did. */

/** How an engine treats orders that carry an old fencing number. */
export enum FencingMode {
  Refuse = "refuse",
  Ignore = "ignore",
}

/** Options of an engine member; times in milliseconds. */
export interface IEngineMemberOptions {
  readonly id: string;
  readonly fencing: FencingMode;
  /** How long loading a model's weights takes. */
  readonly loadTime: number;
  readonly firstTokenTime: number;
  /** Time between tokens with one request running. */
  readonly tokenTime: number;
  /** Added to the time between tokens for each further request. */
  readonly batchTime: number;
  /** How old the load figures of a report are. */
  readonly reportLag: number;
  /** Time between the receipt of an order and acting on it. */
  readonly orderDelay: number;
  /** Whether an order is dropped once its validity has passed. */
  readonly honoursValidity: boolean;
}

/** One thing an engine did, kept so that proofs can judge by it. */
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
    | "cancelled";
  readonly at: number;
  readonly group: string;
  readonly generation: number;
  readonly epoch: number;
  readonly requestId: string;
  /** Addresses of the group's members, of a request begun or ended. */
  readonly members: readonly string[];
}
