/**
 * Rendezvous hashing (highest random weight): daemons that see the same
 * candidates choose the same ones for a duty without coordination, and the loss
 * of a candidate moves only its own duties.
 */
import type { IHash } from "../services/services.ts";

/** The `count` candidates of highest weight for a duty, the highest first. */
export function chooseByRendezvous(
  duty: string,
  candidates: readonly string[],
  options: { readonly count: number; readonly hash: IHash },
): readonly string[] {
  const { count, hash } = options;
  const weighed = candidates.map((name) => ({
    name,
    weight: hash.hash(`${name}\n${duty}`),
  }));
  weighed.sort(
    (left, right) =>
      right.weight - left.weight || (left.name < right.name ? -1 : 1),
  );
  return weighed.slice(0, count).map(({ name }) => name);
}
