/** Faults of an engine's stream, met at one token of the next answer. */

/** What goes wrong, told by `PUT /fault {fault}`. */
export enum StreamFault {
  None = "none",
  /** The connection is reset mid-way. */
  Reset = "reset",
  /** The answer ends mid-way, as if it were whole, without its end mark. */
  EndEarly = "end_early",
  /** An event of another request comes in between. */
  ForeignEvent = "cross",
  /** An event comes twice. */
  DuplicateEvent = "duplicate",
  /** An event is left out. */
  MissingEvent = "gap",
  /** An event that does not parse. */
  MalformedEvent = "garble",
  /** Refuses every new answer, as if leaving, and does not report it. */
  Refuse = "refuse",
  /** As {@link Reset}, for every answer from now on. */
  ResetAlways = "reset_always",
}

/** The token of an answer, counted over resumes, that meets the fault. */
const FAULT_SEQUENCE = 5;

/** An event as it is sent, and whether the answer breaks off after it. */
export interface IFaultyEvent {
  readonly text: string;
  readonly closing: "no" | "reset" | "end";
}

/** The fault in force; each but the lasting one is met once. */
export class StreamFaultInjector {
  #fault = StreamFault.None;

  /** Whether new answers are refused. */
  get isRefusing(): boolean {
    return this.#fault === StreamFault.Refuse;
  }

  /** Sets the fault by its name. */
  set(name: unknown): void {
    this.#fault =
      Object.values(StreamFault).find((fault) => fault === name) ??
      StreamFault.None;
  }

  /** An event as the fault in force changes it. */
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
