/** The two lists that operators edit, and what their checks find. */
import type { AccountName, ServiceName } from "../types.ts";

/** The two lists; each is one object of the platform. */
export enum PlanListName {
  /** Client accounts and the plan of each. */
  Customers = "customers",
  /** Plans and what each may use. */
  Plans = "plans",
}

/** The platform's kind of object that holds a list. */
export const PLAN_LIST_KIND = "plan_lists";

/** A client account and its plan. */
export interface ICustomer {
  readonly account: AccountName;
  readonly plan: string;
  /** SHA-256 of the account's credential, as lower-case hexadecimal. */
  readonly credentialDigest: string;
  /** Where the list names the account's plan. */
  readonly planPlace: ITextPosition;
}

/** What a plan may use. */
export interface IPlan {
  readonly name: string;
  readonly services: readonly ServiceName[];
  /** Higher goes first; 0 to 9. */
  readonly priority: number;
  readonly requestsPerSecond: number;
  readonly tokensPerMinute: number;
  readonly requestsInFlight: number;
  /** Milliseconds from arrival within which an answer is worth having. */
  readonly deadline: number;
}

/** A place in a text; both from 1. */
export interface ITextPosition {
  readonly line: number;
  readonly column: number;
}

/** One thing wrong with a list or a settings file, and where. */
export interface IFinding extends ITextPosition {
  /** The file or list. */
  readonly source: string;
  /** Dotted path of the entry, such as `customers[2].plan`. */
  readonly path: string;
  /** What is wrong, and what was expected. */
  readonly message: string;
}

/** A list's text at a version. */
export interface IListText {
  readonly list: PlanListName;
  /** Orders the list's texts; see list_object.ts. */
  readonly version: number;
  readonly text: string;
}

/** A client account with the plan in force for it. */
export interface IEffectiveAccount {
  readonly customer: ICustomer;
  readonly plan: IPlan;
}
