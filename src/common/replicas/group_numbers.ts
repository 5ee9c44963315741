/**
 * Numbers groups so that no two lists of members ever share a number: by the
 * epoch of the lease, and within it by a count that goes on for as long as the
 * process lives. A holder may lose the lease for a moment and regain it under
 * the same epoch; were the count to begin again, a new group would have the
 * name of one that serves, and its members would be taken for the other's.
 */

/** Groups under one epoch. */
const GROUPS_PER_EPOCH = 1_000_000;

/** The numbers that one process gives. */
export class GroupNumbers {
  #count = 0;

  next(leaseEpoch: number): number {
    this.#count += 1;
    return leaseEpoch * GROUPS_PER_EPOCH + this.#count;
  }
}
