/** The lists in force in this daemon. */
import type { AccountName } from "../types.ts";
import { checkCustomers, checkPlans } from "./plan_list_schema.ts";
import { PlanListName } from "./types.ts";
import type {
  ICustomer,
  IEffectiveAccount,
  IFinding,
  IListText,
  IPlan,
} from "./types.ts";

/** What came of offering a list to the book. */
export enum Adoption {
  Adopted = "adopted",
  /** Not newer than the one in force: a stale read, a late event, a peer. */
  NotNewer = "not_newer",
  /** Newer but with findings: the last good one stays in force. */
  Refused = "refused",
}

/**
 * Holds the newest good version of each list. Versions never go back: a stale
 * read or a late watch event would otherwise put an old plan in force again,
 * which a customer would notice as a limit that flips to and fro.
 */
export class PlanBook {
  #texts = new Map<PlanListName, IListText>();
  #seen = new Map<PlanListName, number>();
  #findings = new Map<PlanListName, readonly IFinding[]>();
  #customers: readonly ICustomer[] = [];
  #plans = new Map<string, IPlan>();
  #accounts = new Map<string, IEffectiveAccount>();
  #accountFindings: readonly IFinding[] = [];

  /** Takes a list if it is newer and passes its checks. */
  offer(offered: IListText): Adoption {
    if (offered.version <= (this.#seen.get(offered.list) ?? -1)) {
      return Adoption.NotNewer;
    }
    this.#seen.set(offered.list, offered.version);
    const findings = this.#takeContent(offered);
    this.#findings.set(offered.list, findings);
    if (findings.length > 0) {
      return Adoption.Refused;
    }
    this.#texts.set(offered.list, offered);
    this.#resolveAccounts();
    return Adoption.Adopted;
  }

  /** The version in force of a list, or null when there is none yet. */
  version(list: PlanListName): number | null {
    return this.#texts.get(list)?.version ?? null;
  }

  /** The text in force of a list. */
  text(list: PlanListName): IListText | null {
    return this.#texts.get(list) ?? null;
  }

  /** True once both lists are in force. */
  get isComplete(): boolean {
    return this.#texts.size === Object.values(PlanListName).length;
  }

  /** Everything wrong with the newest lists seen. */
  get findings(): readonly IFinding[] {
    return [...[...this.#findings.values()].flat(), ...this.#accountFindings];
  }

  /** The client account a credential belongs to, by the credential's digest. */
  findByCredential(digest: string): IEffectiveAccount | null {
    return this.#accounts.get(digest) ?? null;
  }

  /** Every account with its plan in force. */
  get accounts(): readonly IEffectiveAccount[] {
    return [...this.#accounts.values()];
  }

  #takeContent(offered: IListText): readonly IFinding[] {
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
   * customer must not lose service in between.
   */
  #resolveAccounts(): void {
    const lastGood = new Map<AccountName, IEffectiveAccount>();
    for (const entry of this.#accounts.values()) {
      lastGood.set(entry.customer.account, entry);
    }
    const resolved = new Map<string, IEffectiveAccount>();
    const findings: IFinding[] = [];
    this.#customers.forEach((customer, index) => {
      const plan = this.#plans.get(customer.plan);
      const entry =
        plan === undefined
          ? lastGood.get(customer.account)
          : { customer, plan };
      if (plan === undefined) {
        findings.push({
          source: PlanListName.Customers,
          line: 1,
          column: 1,
          path: `customers[${index}].plan`,
          message: `no plan is named ${customer.plan}`,
        });
      }
      if (entry !== undefined) {
        resolved.set(entry.customer.credentialDigest, entry);
      }
    });
    this.#accounts = resolved;
    this.#accountFindings = findings;
  }
}
