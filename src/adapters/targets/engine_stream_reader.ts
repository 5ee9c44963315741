/** Parses an engine's server-sent events and checks them for gaps. */
import { createParser } from "eventsource-parser";
import type { EventSourceMessage } from "eventsource-parser";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import {
  AnswerBound,
  AnswerBoundError,
} from "../../common/calls/answer_bounds.ts";
import { LONGEST_ANSWER } from "../../common/calls/answer_memory.ts";
import type {
  AnswerMemory,
  AnswerShare,
} from "../../common/calls/answer_memory.ts";
import { EventSplitter } from "../../common/calls/event_splitter.ts";
import type { ICompleteEvent } from "../../common/calls/event_splitter.ts";
import type {
  IEngineCall,
  IEngineToken,
} from "../../common/services/services.ts";
import { CallFailureKind } from "../../common/types.ts";
import type { ICallFailure } from "../../common/types.ts";
import { parseBounded } from "../json_answers.ts";

/** Bounds on the values of an event, which takes five. */
const EVENT_VALUES = { values: 4_096, depth: 32 };

/** The JSON data of one engine event. */
const eventSchema = z.object({
  requestId: z.string(),
  group: z.string(),
  generation: z.number(),
  sequence: z.number().int().nonnegative(),
  text: z.string(),
});

type EngineEvent = z.infer<typeof eventSchema>;

/** Where a stream's memory is accounted for. */
export interface IEngineStreamParts {
  /** The memory of all answers. */
  readonly memory: AnswerMemory;
  /** Called when the stream exceeds a bound. */
  readonly onExceeded: (bound: AnswerBound) => void;
}

/**
 * Converts chunks into tokens. An event of another request, group or
 * generation, or one that leaves a gap, fails the stream: a late answer or one
 * of another request could otherwise reach the wrong caller. Duplicate events
 * are dropped.
 */
export class EngineStreamReader implements Disposable {
  readonly #call: IEngineCall;
  readonly #onExceeded: (bound: AnswerBound) => void;
  readonly #share: AnswerShare;
  readonly #splitter = new EventSplitter();
  readonly #decoder = new TextDecoder();
  #nextSequence: number;
  /** Bytes since the last token. */
  #idleBytes = 0;
  #batch: IEngineToken[] = [];
  #failure: ICallFailure | null = null;
  readonly #parser = createParser({
    onEvent: (message) => this.#handleEvent(message),
    onError: ({ message }) => this.#fail(message),
  });

  constructor(call: IEngineCall, { memory, onExceeded }: IEngineStreamParts) {
    this.#call = call;
    this.#onExceeded = onExceeded;
    this.#share = memory.createShare();
    this.#nextSequence = call.resumeFrom;
  }

  /**
   * Returns the tokens completed by this chunk; may be empty. They count
   * towards the memory of answers until the next chunk.
   */
  feed(chunk: Uint8Array): Result<readonly IEngineToken[], ICallFailure> {
    this.#batch = [];
    this.#idleBytes += chunk.length;
    const events = this.#splitter.push(chunk);
    this.#charge(events);
    for (const { bytes } of events) {
      if (this.#failure !== null) {
        break;
      }
      this.#parser.feed(this.#decoder.decode(bytes));
    }
    if (this.#idleBytes > LONGEST_ANSWER) {
      this.#exceed(AnswerBound.Length);
    }
    return this.#failure === null ? Ok(this.#batch) : Err(this.#failure);
  }

  [Symbol.dispose](): void {
    this.#share.dispose();
  }

  #charge(events: readonly ICompleteEvent[]): void {
    const { bufferLength, isTooLong } = this.#splitter;
    const kept = events.reduce(
      (sum, { bytes }) => sum + bytes.length,
      bufferLength,
    );
    if (isTooLong) {
      this.#exceed(AnswerBound.Event);
    } else if (!this.#share.resize(kept)) {
      this.#exceed(AnswerBound.Memory);
    }
  }

  #handleEvent(message: EventSourceMessage): void {
    if (this.#failure !== null) {
      return;
    }
    const event = this.#parseEvent(message.data);
    if (event === null) {
      return;
    }
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
    if (!isEnd && event.sequence >= this.#call.maximumTokens) {
      this.#exceed(AnswerBound.Length);
      return;
    }
    this.#nextSequence += 1;
    this.#idleBytes = 0;
    this.#batch.push({ sequence: event.sequence, text: event.text, isEnd });
  }

  /** Null, with a failure, for data that is no event of an engine. */
  #parseEvent(data: string): EngineEvent | null {
    try {
      const event = eventSchema.safeParse(parseBounded(data, EVENT_VALUES));
      if (event.success) {
        return event.data;
      }
      this.#fail("an event is of another form");
    } catch (error) {
      if (error instanceof AnswerBoundError) {
        this.#exceed(error.bound);
      } else {
        this.#fail("an event is not JSON");
      }
    }
    return null;
  }

  #matchesCall(event: EngineEvent): boolean {
    return (
      event.requestId === this.#call.requestId &&
      event.group === this.#call.group &&
      event.generation === this.#call.generation
    );
  }

  #exceed(bound: AnswerBound): void {
    if (this.#failure === null) {
      this.#onExceeded(bound);
      this.#fail(new AnswerBoundError(bound).message);
    }
  }

  #fail(detail: string): void {
    this.#failure ??= { kind: CallFailureKind.Unknown, detail };
  }
}
