/** The states of a domain lease and the events that move it between them. */
import { createMachine } from "xstate";

/** A daemon's state in relation to a domain's lease. */
export enum LeaseState {
  /** Another daemon holds it, or none does. */
  Observing = "observing",
  /** This daemon holds it and may send orders. */
  Holding = "holding",
  /** Held before; no orders are sent until a renewal succeeds. */
  Suspended = "suspended",
}

/** The events that change a lease's state. */
export enum LeaseEvent {
  WriteSucceeded = "write_took",
  /** Another daemon holds the lease now, or may take it. */
  HolderChanged = "left_behind",
  Paused = "paused",
  Lapsed = "lapsed",
}

/** The state machine of one daemon and one lease. */
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
