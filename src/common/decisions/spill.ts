/**
 * Which daemon of which other zone takes a request that this zone cannot
 * serve. Pattern of load: a fabric domain goes dark, and all callers of a zone
 * turn up elsewhere at once. Sent all to the idlest zone by the last summary,
 * they would fill it before the next summary says so; so the zone is drawn at
 * random, weighted by the room that each says it has.
 */
import type { IZoneSummary } from "../membership/zone_directory.ts";
import type { ISpillTarget } from "../services/forwarding.ts";
import type { ServiceName } from "../types.ts";

/**
 * The oldest summary that counts, milliseconds. Daemons that are no delegates
 * learn summaries every 5 s through one, so two rounds may be missed.
 */
const OLDEST_SUMMARY = 15_000;

/** Work a place at which it counts as having little room left. */
const FULL_PLACE = 8;

/** Weight of a zone without any room, so that none is ruled out by hearsay. */
const LEAST_WEIGHT = 0.05;

interface IWeightedZone {
  readonly summary: IZoneSummary;
  readonly weight: number;
}

/**
 * Daemons to hand a request to, in the order to ask them, one a zone.
 *
 * @param zones - what is known of the other zones
 * @param random - numbers in [0, 1)
 */
export function chooseSpillTargets(
  zones: readonly IZoneSummary[],
  service: ServiceName,
  random: () => number,
): readonly ISpillTarget[] {
  const left = zones
    .map((summary) => ({ summary, weight: weightOf(summary, service) }))
    .filter(({ weight }) => weight > 0);
  const targets: ISpillTarget[] = [];
  while (left.length > 0) {
    const { summary } = draw(left, random);
    const index = Math.floor(random() * summary.delegates.length);
    const delegate = summary.delegates[index];
    if (delegate !== undefined) {
      targets.push({ zone: summary.zone, address: delegate.peerAddress });
    }
  }
  return targets;
}

/** Room of a zone for a service; 0 when it cannot serve it. */
function weightOf(summary: IZoneSummary, service: ServiceName): number {
  const load = summary.loads.find((entry) => entry.service === service);
  if (load === undefined || summary.age > OLDEST_SUMMARY) {
    return 0;
  }
  const used = (load.running + load.queued) / (load.places * FULL_PLACE);
  return load.places * Math.max(1 - used, LEAST_WEIGHT);
}

/** Takes one zone out, with a chance in proportion to its weight. */
function draw(left: IWeightedZone[], random: () => number): IWeightedZone {
  const total = left.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random() * total;
  const found = left.findIndex(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  const [drawn] = left.splice(Math.max(found, 0), 1);
  return drawn as IWeightedZone;
}
