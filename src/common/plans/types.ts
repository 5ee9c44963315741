/**
 * Types of the two plan lists that operators edit, and of what their checks
 * report.
 */
import type { AccountName, ServiceName } from "../types.ts";

/** The two plan lists; each is one object of the platform. */
export enum PlanListName {
  /** Client accounts and the plan of each. */
  Customers = "customers",
  /** Plans and what each may use. */
  Plans = "plans",
}

/** Kind of the platform objects that hold the lists. */
export const PLAN_LIST_KIND = "plan_lists";

/** A client account and its plan. */
export interface ICustomer {
  readonly account: AccountName;
  readonly plan: string;
  /** SHA-256 of the account's credential, as lower-case hexadecimal. */
  readonly credentialDigest: string;
  /** Position of the account's plan in the list's text. */
  readonly planPosition: ITextPosition;
}

/** A plan: the services and limits of its client accounts. */
export interface IPlan {
  readonly name: string;
  readonly services: readonly ServiceName[];
  /** 0 to 9; higher values are served first. */
  readonly priority: number;
  readonly requestsPerSecond: number;
  readonly tokensPerMinute: number;
  readonly requestsInFlight: number;
  /**
   * Milliseconds from arrival within which an answer is of use to the caller.
   */
  readonly deadline: number;
}

/** A position in a text; both numbers start at 1. */
export interface ITextPosition {
  readonly line: number;
  readonly column: number;
}

/** An error in a list or a settings file, with its position. */
export interface IFinding extends ITextPosition {
  /** Name of the file or list. */
  readonly source: string;
  /** Dotted path of the entry, such as `customers[2].plan`. */
  readonly path: string;
  /** What is wrong and what was expected. */
  readonly message: string;
}

/** The text of a list at one version. */
export interface IListText {
  readonly list: PlanListName;
  /** Orders the versions of a list; see list_object.ts. */
  readonly version: number;
  readonly text: string;
}

/** A client account with its effective plan. */
export interface IEffectiveAccount {
  readonly customer: ICustomer;
  readonly plan: IPlan;
}
