/** Summarizes the state of each fabric domain for the log. */
import type { DomainName, InstanceId } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { IManagedGroup } from "./replica_group.ts";

/** State of one domain. */
export interface IDomainSummary {
  readonly domain: DomainName;
  /** Such as `large:serving=2 small:forming=1`. */
  readonly groups: string;
  /** Such as `large=2 none=1 staging=1`. */
  readonly free: string;
}

/** Looks up the state of free instances. */
export interface IInstanceStates {
  /** Whether it is loading a model onto its host. */
  readonly isStaging: (id: InstanceId) => boolean;
  /** Whether it is excluded because it is slow. */
  readonly isSlow: (id: InstanceId) => boolean;
}

export function summarizeDomains(
  groups: readonly IManagedGroup[],
  free: readonly IEngineView[],
  states: IInstanceStates,
): readonly IDomainSummary[] {
  const domains = new Map<DomainName, IDomainCounts>();
  for (const { domain, plan, phase } of groups) {
    add(countsOf(domains, domain).groups, `${plan.model}:${phase}`);
  }
  for (const view of free) {
    add(
      countsOf(domains, view.state?.domain ?? "").free,
      labelOf(view, states),
    );
  }
  return [...domains].sort(byName).map(([domain, counts]) => ({
    domain,
    groups: formatCounts(counts.groups),
    free: formatCounts(counts.free),
  }));
}

function labelOf({ target, state }: IEngineView, states: IInstanceStates) {
  if (states.isSlow(target.id)) {
    return "slow";
  }
  const models = state?.staged.join("+") || "none";
  return states.isStaging(target.id) ? "staging" : models;
}

interface IDomainCounts {
  readonly groups: Map<string, number>;
  readonly free: Map<string, number>;
}

function countsOf(
  domains: Map<DomainName, IDomainCounts>,
  domain: DomainName,
): IDomainCounts {
  let counts = domains.get(domain);
  if (counts === undefined) {
    counts = { groups: new Map(), free: new Map() };
    domains.set(domain, counts);
  }
  return counts;
}

function add(counts: Map<string, number>, label: string): void {
  counts.set(label, (counts.get(label) ?? 0) + 1);
}

function byName(
  [one]: readonly [string, IDomainCounts],
  [other]: readonly [string, IDomainCounts],
): number {
  return one < other ? -1 : 1;
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([label, count]) => `${label}=${count}`).join(" ");
}
