/** Derives the options of leases and replica groups from the settings. */
import type { IWantedGroups } from "../common/groups/formation.ts";
import { chooseGroupCount } from "../common/groups/spare_count.ts";
import type { IZoneDomainOptions } from "../common/services/zone_domains.ts";
import { ServiceKind } from "../common/types.ts";
import type { DaemonId } from "../common/types.ts";
import { serviceDefinitions } from "./settings.ts";
import type { Settings } from "./settings.ts";

/** Share of the takeover margin for which an order stays valid. */
const ORDER_VALIDITY_SHARE = 0.5;

/** Share of the takeover margin by which a holder stops before lease end. */
const SAFETY_SHARE = 0.25;

/** A gap between ticks longer than this share of the lease is a pause. */
const PAUSE_SHARE = 0.2;

/** Half-life of losses in longest holds, so that it exceeds any hold. */
const FORGET_FACTOR = 2;

const DAY_MS = 24 * 3_600_000;

/** Returns the options for every domain of the daemon's zone. */
export function domainOptions(
  settings: Settings,
  daemon: DaemonId,
): IZoneDomainOptions {
  const { groups, polling } = settings;
  return {
    daemon,
    lease: {
      leaseTime: groups.lease,
      takeoverMargin: groups.takeover_margin,
      safetyMargin: groups.takeover_margin * SAFETY_SHARE,
      renewEvery: groups.renew_every,
      pauseBound: groups.lease * PAUSE_SHARE,
    },
    formation: {
      membersPerGroup: groups.members,
      freshness: groups.freshness,
      orderValidity: groups.takeover_margin * ORDER_VALIDITY_SHARE,
      concurrentLoads: groups.concurrent_loads,
    },
    watch: {
      pauseBound: groups.lease * PAUSE_SHARE,
      replaceAfter: groups.replace_after,
      holdAfterLoss: groups.hold_after_loss,
      longestHold: groups.longest_hold,
      forgetHalf: groups.longest_hold * FORGET_FACTOR,
    },
    observeEvery: polling.domains,
    wanted: (engines) => wantedGroups(settings, engines),
  };
}

/** Divides a domain's replica groups evenly among the engine services. */
function wantedGroups(
  settings: Settings,
  engines: number,
): readonly IWantedGroups[] {
  const services = [...serviceDefinitions(settings).values()].filter(
    (service) => service.kind === ServiceKind.Engine,
  );
  const total = groupCount(settings.groups, engines);
  return services.map(({ name, model }, index) => ({
    service: name,
    model,
    count: Math.floor((total + services.length - 1 - index) / services.length),
  }));
}

/** Number of groups to form from a domain's engines; the rest are spares. */
function groupCount(groups: Settings["groups"], engines: number): number {
  const { members, weights, spare_share: fixedShare } = groups;
  if (fixedShare !== undefined) {
    const spares = Math.floor(engines * fixedShare);
    return Math.floor((engines - spares) / members);
  }
  const chosen = chooseGroupCount(
    engines,
    members,
    {
      groupDowntime: weights.group_downtime,
      strandedAccelerators: weights.stranded_accelerators,
    },
    {
      timeBetweenFailures: DAY_MS / groups.failures_a_day,
      returnTime: groups.return_time,
      healTime: groups.heal_time,
    },
  );
  return chosen.groups;
}
