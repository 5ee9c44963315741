/** Injects faults into an engine's token stream. */

/** Faults, set with `PUT /fault {fault}`. */
export enum StreamFault {
  None = "none",
  /** Resets the connection in the middle of the answer. */
  Reset = "reset",
  /** Ends the answer as if it were complete, without its end event. */
  EndEarly = "end_early",
  /** Inserts an event of another request. */
  ForeignEvent = "cross",
  /** Sends an event twice. */
  DuplicateEvent = "duplicate",
  /** Leaves an event out. */
  MissingEvent = "gap",
  /** Inserts an event that cannot be parsed. */
  MalformedEvent = "garble",
  /** Refuses calls as a leaving instance does, but does not report it. */
  Refuse = "refuse",
  /** Rejects new answers and names a time for which it wants no more. */
  Overload = "overload",
  /** Like {@link Reset}, for every answer from now on. */
  ResetAlways = "reset_always",
}

/** Index of the token that a fault affects, counted across resumes. */
const FAULT_SEQUENCE = 5;

/** The text sent in place of an event, and how the answer then closes. */
export interface IFaultyEvent {
  readonly text: string;
  readonly closing: "no" | "reset" | "end";
}

/**
 * Holds the active fault. It is cleared once an answer reaches the affected
 * token, except for {@link StreamFault.ResetAlways}.
 */
export class StreamFaultInjector {
  #fault = StreamFault.None;

  /** Whether new answers are refused. */
  get isRefusing(): boolean {
    return this.#fault === StreamFault.Refuse;
  }

  /** Whether new answers are rejected because of overload. */
  get isOverloaded(): boolean {
    return this.#fault === StreamFault.Overload;
  }

  /** Sets the fault by its name; an unknown name clears it. */
  set(name: unknown): void {
    this.#fault =
      Object.values(StreamFault).find((fault) => fault === name) ??
      StreamFault.None;
  }

  /** Applies the active fault to an event. */
  apply(event: string, sequence: number, requestId: string): IFaultyEvent {
    if (this.#fault === StreamFault.ResetAlways && sequence >= FAULT_SEQUENCE) {
      return { text: "", closing: "reset" };
    }
    if (this.#fault === StreamFault.None || sequence !== FAULT_SEQUENCE) {
      return { text: event, closing: "no" };
    }
    const fault = this.#fault;
    this.#fault = fault === StreamFault.ResetAlways ? fault : StreamFault.None;
    return applyFault(fault, event, requestId);
  }
}

function applyFault(
  fault: StreamFault,
  event: string,
  requestId: string,
): IFaultyEvent {
  switch (fault) {
    case StreamFault.Reset:
      return { text: "", closing: "reset" };
    case StreamFault.EndEarly:
      return { text: "", closing: "end" };
    case StreamFault.ForeignEvent: {
      const crossed = event
        .replaceAll(requestId, "another-request")
        .replace('"text":"', '"text":"another\'s ');
      return { text: crossed + event, closing: "no" };
    }
    case StreamFault.DuplicateEvent:
      return { text: event + event, closing: "no" };
    case StreamFault.MissingEvent:
      return { text: "", closing: "no" };
    case StreamFault.MalformedEvent:
      return { text: `data: {"half\n\n${event}`, closing: "no" };
    default:
      return { text: event, closing: "no" };
  }
}
