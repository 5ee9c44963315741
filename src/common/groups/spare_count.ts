/**
 * Chooses how many groups a domain's engines form, the rest being warm spares.
 *
 * Spares matter when members fail unattended: with a spare a group is down for
 * as long as detection, the write and the load take; without one, until the
 * platform provides another instance. A fixed share of spares either costs idle
 * accelerators all the time, or is too small when an engine fails.
 *
 * Deployments weigh both differently, so the count follows from their two
 * weights and from rates and times. The number of instances that are out at a
 * moment is modelled as a Poisson variable: failures are rare and spread over
 * many instances. The failure of a whole domain is not modelled, since no spare
 * of the same domain helps against it.
 */

/** Cost of one unit of each measure. */
export interface ISpareWeights {
  /** One group that cannot serve, for one unit of time. */
  readonly groupDowntime: number;
  /** One instance powered but in no complete group, for the same time. */
  readonly strandedAccelerators: number;
}

/** Failure rates and recovery times, milliseconds. */
export interface IFailureFigures {
  /** Mean time between two failures of the same instance. */
  readonly timeBetweenFailures: number;
  /** From a failure until the platform has provided another instance. */
  readonly returnTime: number;
  /** From a failure until a group with a spare serves again. */
  readonly healTime: number;
}

/** Expected cost of a number of groups, averaged over time. */
export interface ISpareCost {
  readonly groups: number;
  readonly spares: number;
  /** Groups that cannot serve. */
  readonly groupsDown: number;
  /** Instances stranded. */
  readonly stranded: number;
  readonly cost: number;
}

/** Probability below which further counts of failed instances are ignored. */
const LEAST_PROBABILITY = 1e-9;

/**
 * The number of groups with the least cost; at least one where one can be
 * formed.
 */
export function chooseGroupCount(
  engines: number,
  members: number,
  weights: ISpareWeights,
  figures: IFailureFigures,
): ISpareCost {
  const maxGroups = Math.floor(engines / members);
  let best = expectedCost(
    { engines, members, groups: maxGroups },
    weights,
    figures,
  );
  for (let groups = maxGroups - 1; groups >= 1; groups--) {
    const next = expectedCost({ engines, members, groups }, weights, figures);
    best = next.cost < best.cost ? next : best;
  }
  return best;
}

interface IGroupLayout {
  readonly engines: number;
  readonly members: number;
  readonly groups: number;
}

function expectedCost(
  layout: IGroupLayout,
  weights: ISpareWeights,
  figures: IFailureFigures,
): ISpareCost {
  const { engines, members, groups } = layout;
  const spares = engines - groups * members;
  const meanOut = (engines * figures.returnTime) / figures.timeBetweenFailures;
  const healing =
    (groups * members * figures.healTime) / figures.timeBetweenFailures;
  let groupsDown = healing;
  let stranded = healing * (members - 1);
  let probability = Math.exp(-meanOut);
  for (let out = 0; out <= engines; out++) {
    // Incomplete groups are merged, so one is down for each `members` missing.
    const missing = Math.max(0, out - spares);
    const down = Math.min(groups, Math.ceil(missing / members));
    groupsDown += probability * down;
    stranded += probability * (engines - out - (groups - down) * members);
    probability *= meanOut / (out + 1);
    if (out > meanOut && probability < LEAST_PROBABILITY) {
      break;
    }
  }
  const cost =
    groupsDown * weights.groupDowntime +
    stranded * weights.strandedAccelerators;
  return { groups, spares, groupsDown, stranded, cost };
}
