/** Faults of an engine's stream, met at one token of the next answer. */

/** What goes wrong, told by `PUT /fault {fault}`. */
export enum StreamFault {
  None = "none",
  /** The connection is reset mid-way. */
  Reset = "reset",
  /** The answer ends mid-way, as if it were whole, without its end mark. */
  EndEarly = "end_early",
  /** An event of another request comes in between. */
  Cross = "cross",
  /** An event comes twice. */
  Duplicate = "duplicate",
  /** An event is left out. */
  Gap = "gap",
  /** An event that does not parse. */
  Garble = "garble",
  /** Refuses every new answer, as if leaving, and does not report it. */
  Refuse = "refuse",
  /** As {@link Reset}, for every answer from now on. */
  ResetAlways = "reset_always",
}

/** The token of an answer, counted over resumes, that meets the fault. */
const STRUCK_TOKEN = 5;

/** An event as it is sent, and whether the answer breaks off after it. */
export interface IStruckEvent {
  readonly text: string;
  readonly breaks: "no" | "reset" | "end";
}

/** The fault in force; each but the lasting one is met once. */
export class StreamFaults {
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
  strike(event: string, sequence: number, requestId: string): IStruckEvent {
    if (this.#fault === StreamFault.ResetAlways && sequence >= STRUCK_TOKEN) {
      return { text: "", breaks: "reset" };
    }
    if (this.#fault === StreamFault.None || sequence !== STRUCK_TOKEN) {
      return { text: event, breaks: "no" };
    }
    const fault = this.#fault;
    this.#fault = fault === StreamFault.ResetAlways ? fault : StreamFault.None;
    return strikeWith(fault, event, requestId);
  }
}

function strikeWith(
  fault: StreamFault,
  event: string,
  requestId: string,
): IStruckEvent {
  switch (fault) {
    case StreamFault.Reset:
      return { text: "", breaks: "reset" };
    case StreamFault.EndEarly:
      return { text: "", breaks: "end" };
    case StreamFault.Cross: {
      const crossed = event
        .replaceAll(requestId, "another-request")
        .replace('"text":"', '"text":"another\'s ');
      return { text: crossed + event, breaks: "no" };
    }
    case StreamFault.Duplicate:
      return { text: event + event, breaks: "no" };
    case StreamFault.Gap:
      return { text: "", breaks: "no" };
    case StreamFault.Garble:
      return { text: `data: {"half\n\n${event}`, breaks: "no" };
    default:
      return { text: event, breaks: "no" };
  }
}
