/** The lists in force in this daemon. */
import type { AccountName } from "../types.ts";
import {
  checkCustomers,
  checkPlans,
  findMissingPlans,
} from "./plan_list_schema.ts";
import { PlanListName } from "./types.ts";
import type {
  ICustomer,
  IEffectiveAccount,
  IFinding,
  IListText,
  IPlan,
} from "./types.ts";

/** What came of offering a list to the book. */
export enum OfferResult {
  Adopted = "adopted",
  /** Not newer than the one in force: a stale read, a late event, a peer. */
  NotNewer = "not_newer",
  /** Newer but with findings: the last good one stays in force. */
  Refused = "refused",
}

/** A newer list that was not put in force. */
export interface IRefusedList {
  readonly version: number;
  readonly findings: readonly IFinding[];
}

/**
 * Holds the newest good version of each list. Versions never go back: a stale
 * read or a late watch event would otherwise put an old plan in force again,
 * which a customer would notice as a limit that flips to and fro.
 *
 * A refused list does not raise the bar for good ones. A daemon that has just
 * started may read a bad version from the platform before a peer offers the
 * last good one; if the bad one counted as seen, the daemon would have no list
 * at all until the operator's next edit.
 */
export class EffectivePlans {
  readonly #texts = new Map<PlanListName, IListText>();
  readonly #refused = new Map<PlanListName, IRefusedList>();
  #customers: readonly ICustomer[] = [];
  #plans = new Map<string, IPlan>();
  #accounts = new Map<string, IEffectiveAccount>();
  #missingPlanFindings: readonly IFinding[] = [];

  /** Takes a list if it is newer than the one in force and passes its checks. */
  offer(offered: IListText): OfferResult {
    const { list, version } = offered;
    const isNewer = version > (this.version(list) ?? 0);
    if (!isNewer || this.#refused.get(list)?.version === version) {
      return OfferResult.NotNewer;
    }
    const findings = this.#replaceContent(offered);
    if (findings.length > 0) {
      return this.recordRefusal(list, { version, findings });
    }
    this.#texts.set(list, offered);
    if ((this.#refused.get(list)?.version ?? 0) < version) {
      this.#refused.delete(list);
    }
    this.#resolveAccounts();
    return OfferResult.Adopted;
  }

  /** Notes a list that cannot be put in force; only the newest is kept. */
  recordRefusal(list: PlanListName, refused: IRefusedList): OfferResult {
    const known = this.#refused.get(list)?.version ?? 0;
    const least = Math.max(known, this.version(list) ?? 0);
    if (refused.version <= least) {
      return OfferResult.NotNewer;
    }
    this.#refused.set(list, refused);
    return OfferResult.Refused;
  }

  /** The version in force of a list, or null when there is none yet. */
  version(list: PlanListName): number | null {
    return this.#texts.get(list)?.version ?? null;
  }

  /** The text in force of a list. */
  text(list: PlanListName): IListText | null {
    return this.#texts.get(list) ?? null;
  }

  /** The newest refused list that is newer than the one in force, or null. */
  newestRefused(list: PlanListName): IRefusedList | null {
    return this.#refused.get(list) ?? null;
  }

  /** True once both lists are in force. */
  get isComplete(): boolean {
    return this.#texts.size === Object.values(PlanListName).length;
  }

  /** Everything wrong with the newest lists seen. */
  get findings(): readonly IFinding[] {
    const refused = [...this.#refused.values()];
    return [
      ...refused.flatMap((entry) => entry.findings),
      ...this.#missingPlanFindings,
    ];
  }

  /** Customers in force that name a plan which is not. */
  get missingPlanFindings(): readonly IFinding[] {
    return this.#missingPlanFindings;
  }

  /** The client account a credential belongs to, by the credential's digest. */
  findByCredential(digest: string): IEffectiveAccount | null {
    return this.#accounts.get(digest) ?? null;
  }

  /** Every account with its plan in force. */
  get accounts(): readonly IEffectiveAccount[] {
    return [...this.#accounts.values()];
  }

  #replaceContent(offered: IListText): readonly IFinding[] {
    if (offered.list === PlanListName.Customers) {
      const checked = checkCustomers(offered.list, offered.text);
      if (checked.isErr()) {
        return checked.error;
      }
      this.#customers = checked.value;
      return [];
    }
    const checked = checkPlans(offered.list, offered.text);
    if (checked.isErr()) {
      return checked.error;
    }
    this.#plans = new Map(checked.value.map((plan) => [plan.name, plan]));
    return [];
  }

  /**
   * Joins customers to plans. A customer naming a plan that is missing keeps
   * its last good entry: the two lists are edited one after the other, and a
   * customer must not lose service in between. A daemon that never saw a good
   * entry has none to keep; the finding says so everywhere.
   */
  #resolveAccounts(): void {
    const lastGood = new Map<AccountName, IEffectiveAccount>();
    for (const entry of this.#accounts.values()) {
      lastGood.set(entry.customer.account, entry);
    }
    const kept: IEffectiveAccount[] = [];
    const joined: IEffectiveAccount[] = [];
    for (const customer of this.#customers) {
      const plan = this.#plans.get(customer.plan);
      const last = lastGood.get(customer.account);
      if (plan !== undefined) {
        joined.push({ customer, plan });
      } else if (last !== undefined) {
        kept.push(last);
      }
    }
    // A kept entry's old credential gives way to an account that has it now.
    this.#accounts = new Map(
      [...kept, ...joined].map((entry) => [
        entry.customer.credentialDigest,
        entry,
      ]),
    );
    this.#missingPlanFindings = this.isComplete
      ? findMissingPlans(
          PlanListName.Customers,
          this.#customers,
          new Set(this.#plans.keys()),
        )
      : [];
  }
}
