/**
 * Chooses the daemon in another zone that takes a request this zone cannot
 * serve. When a fabric domain fails, all callers of a zone move elsewhere at
 * once. If all were sent to the zone with the least load by the last summary,
 * they would fill it before the next summary says so. The zone is therefore
 * drawn at random, weighted by the free capacity that each zone reports.
 */
import type { IZoneSummary } from "../membership/zone_directory.ts";
import type { ISpillTarget } from "../services/forwarding.ts";
import type { ServiceName } from "../types.ts";

/**
 * Maximum age of a summary, milliseconds. Daemons that are not delegates
 * receive summaries every 5 s through a delegate, so two rounds may be missed.
 */
const MAXIMUM_SUMMARY_AGE = 15_000;

/**
 * Requests running or queued per place at which a zone counts as nearly full. A
 * place is a complete replica group or a ready plain target.
 */
const REQUESTS_PER_FULL_PLACE = 8;

/**
 * Weight of a zone without free capacity, so that a lagging summary does not
 * exclude it.
 */
const LEAST_WEIGHT = 0.05;

interface IWeightedZone {
  readonly summary: IZoneSummary;
  readonly weight: number;
}

/**
 * Daemons to forward a request to, in the order to try them, one per zone.
 *
 * @param zones - the latest summaries of the other zones
 * @param random - numbers in [0, 1)
 */
export function chooseSpillTargets(
  zones: readonly IZoneSummary[],
  service: ServiceName,
  random: () => number,
): readonly ISpillTarget[] {
  const remaining = zones
    .map((summary) => ({ summary, weight: weightOf(summary, service) }))
    .filter(({ weight }) => weight > 0);
  const targets: ISpillTarget[] = [];
  while (remaining.length > 0) {
    const { summary } = drawZone(remaining, random);
    const index = Math.floor(random() * summary.delegates.length);
    const delegate = summary.delegates[index];
    if (delegate !== undefined) {
      targets.push({ zone: summary.zone, address: delegate.peerAddress });
    }
  }
  return targets;
}

/** Free capacity of a zone for a service; 0 if it cannot serve it. */
function weightOf(summary: IZoneSummary, service: ServiceName): number {
  const load = summary.loads.find((entry) => entry.service === service);
  if (load === undefined || summary.age > MAXIMUM_SUMMARY_AGE) {
    return 0;
  }
  const used =
    (load.running + load.queued) / (load.places * REQUESTS_PER_FULL_PLACE);
  return load.places * Math.max(1 - used, LEAST_WEIGHT);
}

/**
 * Removes and returns one zone, with probability proportional to its weight.
 */
function drawZone(
  remaining: IWeightedZone[],
  random: () => number,
): IWeightedZone {
  const total = remaining.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random() * total;
  const found = remaining.findIndex(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  const [drawn] = remaining.splice(Math.max(found, 0), 1);
  return drawn as IWeightedZone;
}
