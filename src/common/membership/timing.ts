/**
 * Periods of membership. A death must be known in its zone within 5 s (the
 * aim at 330 nodes): two periods until the ring's probe, one probe, one round
 * of relays, the suspicion and the spread add up to under that; `bench
 * membership` measures it. Shorter times would make more messages and take
 * pauses of a busy instance for deaths.
 */
import type { IMembershipTiming } from "./types.ts";

/** Periods as daemons use them, milliseconds. */
export const MEMBERSHIP_TIMING: IMembershipTiming = {
  period: 500,
  suspicion: 1_500,
  retention: 600_000,
};

/** How long a direct probe waits, milliseconds: a lost packet sent again. */
export const PROBE_TIMEOUT = 400;

/** How long a relay waits for the member it probes, milliseconds. */
export const RELAYED_PROBE_TIMEOUT = 300;
