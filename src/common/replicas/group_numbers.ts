/**
 * Numbers groups so that no two lists of members ever share a number: by the
 * epoch of the lease, and within it by a counter that runs for as long as the
 * process lives. A holder may lose the lease briefly and regain it under the
 * same epoch. If the counter restarted, a new group would have the name of a
 * serving one, and its members would be considered members of the other.
 */

/** Group numbers within one epoch. */
const GROUPS_PER_EPOCH = 1_000_000;

/** Assigns the group numbers of one process. */
export class GroupNumbers {
  #count = 0;

  next(leaseEpoch: number): number {
    this.#count += 1;
    return leaseEpoch * GROUPS_PER_EPOCH + this.#count;
  }
}
