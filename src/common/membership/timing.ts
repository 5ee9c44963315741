/**
 * Timing of membership. A death must be known in its zone within 5 s (the aim
 * at 330 nodes): two periods until the ring's probe, one probe, one round of
 * relays, the suspicion and the spread add up to less; `bench membership`
 * measures it. Shorter times would cost more messages and mistake pauses of a
 * busy instance for deaths.
 */
import type { IMembershipTiming } from "./types.ts";

/** Timing that all daemons use, milliseconds. */
export const MEMBERSHIP_TIMING: IMembershipTiming = {
  period: 500,
  suspicion: 1_500,
  retention: 600_000,
};

/** Timeout of a direct probe, milliseconds; allows for a retransmission. */
export const PROBE_TIMEOUT = 400;

/** Timeout of a probe by a relay, milliseconds. */
export const RELAYED_PROBE_TIMEOUT = 300;
