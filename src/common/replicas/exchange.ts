/**
 * What the lease holder and the other processes tell one another: which groups
 * serve, and how many requests each process has in them. Hints only: nothing
 * that must be unique rests on them.
 */
import type { Result } from "ts-results-es";
import type { IModelDemand } from "../calls/model_calls.ts";
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IStoreVersions, IStoreUpdate } from "../relay/types.ts";
import type { ICallFailure } from "../types.ts";

/** A process's word to the holder. */
export interface IProcessReport {
  readonly process: string;
  /** Whether it has had a call since its start. */
  readonly hasCalls: boolean;
  /** Its requests in each group. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** What its calls ask of each model. */
  readonly work: readonly IModelDemand[];
  /** The newest table it has; 0 for none. */
  readonly tableVersion: number;
  /** Groups that it found standing still. */
  readonly suspects: readonly string[];
  /** What it has of the store. */
  readonly versions: IStoreVersions;
}

/** The holder's word to a process. */
export interface IHolderReply {
  readonly tableVersion: number;
  /** Null where the process has this version already. */
  readonly groups: readonly IServingGroup[] | null;
  /**
   * Groups that it has given up of late; null where the process has this
   * version already. Left out by a process of an older build.
   */
  readonly givenUp?: readonly string[] | null;
  /** Requests in each group that other processes have sent. */
  readonly othersInFlight: Readonly<Record<string, number>>;
  /** Whether its lease is in doubt, so that it cannot order anything. */
  readonly isInDoubt: boolean;
  /** Processes that the holder hears of, itself included. */
  readonly processes: number;
  /**
   * What the store told it; null before all is known. Left out by a process of
   * an older build, while one after the other is replaced.
   */
  readonly store?: IStoreUpdate | null;
}

/** The answer of a process that does not hold the lease. */
export interface INotHolderReply {
  /** The process that answers at the address now. */
  readonly process: string;
}

/** What an exchange brought: a holder's word, or who answers instead. */
export type ExchangeAnswer =
  | { readonly isHolder: true; readonly word: IHolderReply }
  | { readonly isHolder: false; readonly other: INotHolderReply };

/** Asks the holder. */
export interface IHolderLink {
  /** @param timeout - milliseconds */
  exchange(
    address: string,
    report: IProcessReport,
    timeout: number,
  ): Promise<Result<ExchangeAnswer, ICallFailure>>;
}
