/**
 * Routing between the complete replica groups of a service. Pattern of load:
 * reports lag, so every daemon sees the same group as the idlest. Without
 * counting its own work in flight, a daemon would send a whole burst there.
 */

/** A place that can take a request. */
export interface ICandidate {
  readonly id: string;
  /** Requests running and queued there by its last report. */
  readonly reported: number;
  /** Requests this daemon has sent there and not seen finished. */
  readonly inFlight: number;
}

/** The candidate with the least expected work; null when there is none. */
export function chooseCandidate<T extends ICandidate>(
  candidates: readonly T[],
  avoid: ReadonlySet<string>,
): T | null {
  let best: T | null = null;
  for (const candidate of candidates) {
    if (avoid.has(candidate.id)) {
      continue;
    }
    if (best === null || load(candidate) < load(best)) {
      best = candidate;
    }
  }
  return best;
}

function load(candidate: ICandidate): number {
  return Math.max(candidate.reported, candidate.inFlight);
}
