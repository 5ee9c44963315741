/** The states of a domain lease and the events that move it between them. */
import { createMachine } from "xstate";

/** Where a daemon stands towards a domain's lease. */
export enum LeaseState {
  /** Another daemon holds it, or nobody does. */
  Observing = "observing",
  /** This daemon holds it and may give orders. */
  Holding = "holding",
  /** It was held; orders stop until a renewal has succeeded. */
  Suspended = "suspended",
}

/** What moves a lease from one state to another. */
export enum LeaseEvent {
  WriteSucceeded = "write_took",
  HolderChanged = "left_behind",
  Paused = "paused",
  Lapsed = "lapsed",
}

/** One daemon's stand towards one lease. */
export const LEASE_MACHINE = createMachine({
  id: "domain_lease",
  initial: LeaseState.Observing,
  states: {
    [LeaseState.Observing]: {
      on: { [LeaseEvent.WriteSucceeded]: LeaseState.Holding },
    },
    [LeaseState.Holding]: {
      on: {
        [LeaseEvent.HolderChanged]: LeaseState.Observing,
        [LeaseEvent.Paused]: LeaseState.Suspended,
        [LeaseEvent.Lapsed]: LeaseState.Suspended,
      },
    },
    [LeaseState.Suspended]: {
      on: {
        [LeaseEvent.WriteSucceeded]: LeaseState.Holding,
        [LeaseEvent.HolderChanged]: LeaseState.Observing,
      },
    },
  },
});
