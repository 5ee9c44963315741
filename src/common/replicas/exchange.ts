/**
 * Messages between the lease holder and the other processes: which groups
 * serve, and how many requests each process has in them. Hints only: nothing
 * that must be unique depends on them.
 */
import type { Result } from "ts-results-es";
import type { IModelDemand } from "../calls/model_calls.ts";
import type { IServingGroup } from "../calls/serving_groups.ts";
import type {
  RateLimitObservations,
  RateShares,
} from "../calls/target_rate_limits.ts";
import type {
  IForwardingPeer,
  IForwardingReport,
} from "../forwarding/types.ts";
import type {
  IQuarantineReply,
  IQuarantineReport,
} from "../quarantine/types.ts";
import type {
  IReportedService,
  IStoreVersions,
  IStoreUpdate,
} from "../relay/types.ts";
import type { ICallFailure } from "../types.ts";
import type { ITableChanges } from "./table_history.ts";

/** A process's report to the holder. */
export interface IProcessReport {
  readonly process: string;
  /** Whether it has received a call since its start. */
  readonly hasCalls: boolean;
  /** Its requests in each group. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Demand of its calls for each model. */
  readonly work: readonly IModelDemand[];
  /** The newest table it has; 0 for none. */
  readonly tableVersion: number;
  /** Groups that it found stalled. */
  readonly suspects: readonly string[];
  /** Versions of the store that it has. */
  readonly versions: IStoreVersions;
  /**
   * For how long the store has served; absent while that is not known, or from
   * an older build.
   */
  readonly storeService?: IReportedService | undefined;
  /**
   * Request limits that targets named. Absent if the process is of an older
   * build.
   */
  readonly rateLimits?: RateLimitObservations;
  /**
   * Whether it can apply the changes of a table. Absent if the process is of an
   * older build.
   */
  readonly takesTableChanges?: boolean;
  /**
   * Absent if the process does not take forwarded requests, as it is of an
   * older build.
   */
  readonly forwarding?: IForwardingReport;
  /** Absent if the process is of an older build. */
  readonly quarantine?: IQuarantineReport;
  /** Processor cores that it gets; absent if unknown, or of an older build. */
  readonly cores?: number;
}

/** The holder's reply to a process. */
export interface IHolderReply {
  readonly tableVersion: number;
  /** Null if the process has this version already, or is sent changes. */
  readonly groups: readonly IServingGroup[] | null;
  /**
   * Changes since the version that the process reported; null if it has this
   * version already, or is sent all groups. Absent if the holder is of an older
   * build.
   */
  readonly tableChanges?: ITableChanges | null;
  /**
   * Recently abandoned groups; null if the process has this version already.
   * Absent if the holder is of an older build.
   */
  readonly givenUp?: readonly string[] | null;
  /** Requests in each group sent by other processes. */
  readonly othersInFlight: Readonly<Record<string, number>>;
  /** Whether the holder's lease is in doubt, so that it cannot send orders. */
  readonly isInDoubt: boolean;
  /** Number of processes known to the holder, including itself. */
  readonly processes: number;
  /**
   * Request limits that targets named to any process. Absent if the holder is
   * of an older build.
   */
  readonly rateLimits?: RateLimitObservations;
  /**
   * What the process may send of these limits. Absent if the holder is of an
   * older build.
   */
  readonly rateShares?: RateShares;
  /**
   * State of the store; null before all of it is known. Absent if the holder is
   * of an older build, during a rolling update.
   */
  readonly store?: IStoreUpdate | null;
  /** Processes to forward to; absent if the process has been sent them. */
  readonly peers?: readonly IForwardingPeer[];
  /** Absent if the holder, or the process, is of an older build. */
  readonly quarantine?: IQuarantineReply;
  /**
   * Whether the process takes the lease first when the holder is gone. Absent if
   * the holder is of an older build.
   */
  readonly isSuccessor?: boolean;
}

/** The reply of a process that does not hold the lease. */
export interface INotHolderReply {
  /** The process that now answers at the address. */
  readonly process: string;
}

/**
 * Result of an exchange: a holder's reply, or which process answered instead.
 */
export type ExchangeAnswer =
  | { readonly isHolder: true; readonly word: IHolderReply }
  | { readonly isHolder: false; readonly other: INotHolderReply };

/** Sends reports to the holder. */
export interface IHolderLink {
  /** @param timeout - milliseconds */
  exchange(
    address: string,
    report: IProcessReport,
    timeout: number,
  ): Promise<Result<ExchangeAnswer, ICallFailure>>;
}
