/** The plan lists that are in force in this daemon. */
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

/** The result of offering a list to {@link EffectivePlans}. */
export enum OfferResult {
  Adopted = "adopted",
  /** Not newer than the version in force: a stale read, late event or peer. */
  NotNewer = "not_newer",
  /** Newer, but it failed its checks: the last valid version stays in force. */
  Refused = "refused",
}

/** A newer version that failed its checks. */
export interface IRefusedList {
  readonly version: number;
  readonly findings: readonly IFinding[];
}

/**
 * Holds the newest valid version of each list. Versions never go back: a stale
 * read or a late watch event would otherwise put an old plan back in force, and
 * customers would see their limits flip back and forth.
 *
 * A refused version does not block older valid ones. A daemon that has just
 * started may read an invalid version from the platform before a peer offers
 * the last valid one; if the invalid one counted as the newest, the daemon
 * would have no list until the next edit by an operator.
 */
export class EffectivePlans {
  readonly #texts = new Map<PlanListName, IListText>();
  readonly #refused = new Map<PlanListName, IRefusedList>();
  #customers: readonly ICustomer[] = [];
  #plans = new Map<string, IPlan>();
  #accounts = new Map<string, IEffectiveAccount>();
  #missingPlanFindings: readonly IFinding[] = [];

  /** Puts a list in force if it is newer and passes its checks. */
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

  /** Records a version that cannot be put in force; stores only the newest. */
  recordRefusal(list: PlanListName, refused: IRefusedList): OfferResult {
    const known = this.#refused.get(list)?.version ?? 0;
    const newestKnown = Math.max(known, this.version(list) ?? 0);
    if (refused.version <= newestKnown) {
      return OfferResult.NotNewer;
    }
    this.#refused.set(list, refused);
    return OfferResult.Refused;
  }

  /** The version in force, or null if there is none yet. */
  version(list: PlanListName): number | null {
    return this.#texts.get(list)?.version ?? null;
  }

  /** The text in force, or null if there is none yet. */
  text(list: PlanListName): IListText | null {
    return this.#texts.get(list) ?? null;
  }

  /** The newest refused version, if newer than the one in force, or null. */
  newestRefused(list: PlanListName): IRefusedList | null {
    return this.#refused.get(list) ?? null;
  }

  /** True if both lists are in force. */
  get isComplete(): boolean {
    return this.#texts.size === Object.values(PlanListName).length;
  }

  /** Findings of the newest refused versions and of the lists in force. */
  get findings(): readonly IFinding[] {
    const refused = [...this.#refused.values()];
    return [
      ...refused.flatMap((entry) => entry.findings),
      ...this.#missingPlanFindings,
    ];
  }

  /** Findings for customers in force whose plan does not exist. */
  get missingPlanFindings(): readonly IFinding[] {
    return this.#missingPlanFindings;
  }

  /** Finds the client account that owns a credential, by its SHA-256 digest. */
  findByCredential(digest: string): IEffectiveAccount | null {
    return this.#accounts.get(digest) ?? null;
  }

  /** All client accounts with their effective plans. */
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
   * Resolves the plan of every customer. A customer whose plan is missing
   * retains its last valid entry: the two lists are edited one after the other,
   * and a customer must not lose service in between. A daemon that never had a
   * valid entry for the customer has none to retain; every daemon reports the
   * finding.
   */
  #resolveAccounts(): void {
    const lastValid = new Map<AccountName, IEffectiveAccount>();
    for (const entry of this.#accounts.values()) {
      lastValid.set(entry.customer.account, entry);
    }
    const retained: IEffectiveAccount[] = [];
    const resolved: IEffectiveAccount[] = [];
    for (const customer of this.#customers) {
      const plan = this.#plans.get(customer.plan);
      const previous = lastValid.get(customer.account);
      if (plan !== undefined) {
        resolved.push({ customer, plan });
      } else if (previous !== undefined) {
        retained.push(previous);
      }
    }
    // Resolved entries come last, so that an account that now owns a credential
    // replaces a retained entry that used to own it.
    this.#accounts = new Map(
      [...retained, ...resolved].map((entry) => [
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
