/** Parses an engine's server-sent events and checks them for gaps. */
import { createParser } from "eventsource-parser";
import type { EventSourceMessage } from "eventsource-parser";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type {
  IEngineCall,
  IEngineToken,
} from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";

/** Characters of an event that is not complete; a longer one is broken. */
const LONGEST_EVENT = 262_144;

/** The JSON data of one engine event. */
interface IEngineEvent {
  readonly requestId: string;
  readonly group: string;
  readonly generation: number;
  readonly sequence: number;
  readonly text: string;
}

/**
 * Converts chunks into tokens. An event of another request, group or
 * generation, or one that leaves a gap, fails the stream: a late answer or one
 * of another request could otherwise reach the wrong caller. Duplicate events
 * are dropped.
 */
export class EngineStreamReader {
  readonly #call: IEngineCall;
  #nextSequence: number;
  #batch: IEngineToken[] = [];
  #failure: ICallFailure | null = null;
  readonly #parser = createParser({
    onEvent: (message) => this.#handleEvent(message),
    onError: ({ message }) => this.#fail(message),
    maxBufferSize: LONGEST_EVENT,
  });

  constructor(call: IEngineCall) {
    this.#call = call;
    this.#nextSequence = call.resumeFrom;
  }

  /** Returns the tokens completed by this chunk; may be empty. */
  feed(chunk: string): Result<readonly IEngineToken[], ICallFailure> {
    this.#batch = [];
    this.#parser.feed(chunk);
    return this.#failure === null ? Ok(this.#batch) : Err(this.#failure);
  }

  #handleEvent(message: EventSourceMessage): void {
    if (this.#failure !== null) {
      return;
    }
    const event = JSON.parse(message.data) as IEngineEvent;
    if (!this.#matchesCall(event)) {
      this.#fail(`an event names ${event.requestId} in ${event.group}`);
      return;
    }
    if (event.sequence < this.#nextSequence) {
      return;
    }
    if (event.sequence > this.#nextSequence) {
      this.#fail(`token ${event.sequence} where ${this.#nextSequence} was due`);
      return;
    }
    const isEnd = message.event === "end";
    this.#nextSequence += 1;
    this.#batch.push({ sequence: event.sequence, text: event.text, isEnd });
  }

  #matchesCall(event: IEngineEvent): boolean {
    return (
      event.requestId === this.#call.requestId &&
      event.group === this.#call.group &&
      event.generation === this.#call.generation
    );
  }

  #fail(detail: string): void {
    this.#failure = { kind: CallFailureKind.Unknown, detail };
  }
}
