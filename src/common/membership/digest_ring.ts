/**
 * Chooses the daemon to pull digests from. Daemons form a ring by identifier;
 * in successive rounds each pulls from the one 1, 2, 4, 8 ... places ahead, so
 * that after as many rounds as the zone's size has doublings every row has
 * reached every daemon. With random choice some rows would be missed again and
 * again, and the oldest reports would be far older than most.
 */
import type { DaemonId } from "../types.ts";

/**
 * The daemon to pull from in a round, or null when there is no other.
 * @param others - the zone's other live daemons
 */
export function choosePullSource(
  others: readonly DaemonId[],
  position: { readonly self: DaemonId; readonly round: number },
): DaemonId | null {
  if (others.length === 0) {
    return null;
  }
  const ring = [...others, position.self].sort();
  const rounds = Math.ceil(Math.log2(ring.length));
  const offset = 2 ** (position.round % rounds);
  return ring[(ring.indexOf(position.self) + offset) % ring.length] ?? null;
}
