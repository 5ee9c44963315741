/** One send of a model call, and the response as far as it has arrived. */
import type { MonotonicTime } from "../types.ts";
import { AnswerBound } from "./answer_bounds.ts";
import type { IAnswerBoundRecorder } from "./answer_bounds.ts";
import { AnswerBuffer } from "./answer_memory.ts";
import type { AnswerMemory, AnswerShare } from "./answer_memory.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { ICompleteEvent } from "./event_splitter.ts";
import type { IServingGroup } from "./serving_groups.ts";
import type { IWatchedStream } from "./silence_limits.ts";
import { CallKind, SendFailure } from "./types.ts";
import type {
  ICall,
  IResponseHead,
  IResponseReceiver,
  ISendHandle,
} from "./types.ts";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Outcome of one send. */
export enum SendOutcome {
  /** The complete response was passed on. */
  Whole = "whole",
  /** The target did not run the call and will not. */
  NotRun = "not_run",
  /** Nothing was written to a target. */
  NotDelivered = "missed",
  /** The target may have run the call, partly or completely. */
  Broken = "broken",
  /** Nothing was written, for lack of a path to the target. */
  Unreachable = "unreachable",
  /** The path was lost; the target may have run the call. */
  PathLost = "path_lost",
}

/** The outcomes of failures. */
const OUTCOMES: Readonly<Record<SendFailure, SendOutcome>> = {
  [SendFailure.NotSent]: SendOutcome.NotDelivered,
  [SendFailure.Withheld]: SendOutcome.NotRun,
  [SendFailure.Unreachable]: SendOutcome.Unreachable,
  [SendFailure.PathLost]: SendOutcome.PathLost,
  [SendFailure.Broken]: SendOutcome.Broken,
};

/** Failures before which nothing was written to a target. */
const UNDELIVERED: ReadonlySet<SendFailure> = new Set([
  SendFailure.NotSent,
  SendFailure.Withheld,
  SendFailure.Unreachable,
]);

/** How a send ended. */
export interface ISendEnd {
  readonly outcome: SendOutcome;
  readonly detail: string;
  /** Whether something was written to a target. */
  readonly isDelivered: boolean;
}

/** What a send answers. */
export interface IModelSendOwner {
  /** @param events - complete events of one piece of the response */
  onEvents(send: ModelSend, events: readonly ICompleteEvent[]): void;
  /** The response has ended; returns whether it was passed on. */
  onResponse(send: ModelSend, response: IModelResponse): ISendEnd;
  onEnded(send: ModelSend, end: ISendEnd): void;
  /** Its path is silent. */
  onSilence(send: ModelSend, detail: string): void;
}

/** A response that has ended. */
export interface IModelResponse {
  readonly head: IResponseHead;
  /** The whole body; null if its events have been passed on. */
  readonly body: readonly Uint8Array[] | null;
}

/** What a send is for. */
export interface IModelSendParts {
  readonly call: ICall;
  readonly group: IServingGroup;
  readonly stream: IWatchedStream;
  readonly sentAt: MonotonicTime;
  readonly memory: AnswerMemory;
  readonly bounds: IAnswerBoundRecorder;
}

/** A send to the head of one group; receives its response. */
export class ModelSend implements IResponseReceiver {
  readonly group: IServingGroup;
  readonly stream: IWatchedStream;
  readonly sentAt: MonotonicTime;
  /** When its first event arrived; null before. */
  beganAt: MonotonicTime | null = null;
  /** Whether its complete response was passed on. */
  isWhole = false;
  /** Whether its group or its path may be lost; an event shows it is not. */
  isDoubtful = false;
  readonly #call: ICall;
  readonly #owner: IModelSendOwner;
  readonly #splitter = new EventSplitter();
  /** Body of a response that is passed on only when complete. */
  readonly #body: AnswerBuffer;
  /** What the part of an event takes that is not complete. */
  readonly #eventShare: AnswerShare;
  readonly #bounds: IAnswerBoundRecorder;
  #handle: ISendHandle | null = null;
  #head: IResponseHead | null = null;

  constructor(parts: IModelSendParts, owner: IModelSendOwner) {
    this.#call = parts.call;
    this.group = parts.group;
    this.stream = parts.stream;
    this.sentAt = parts.sentAt;
    this.#owner = owner;
    this.#body = new AnswerBuffer(parts.memory);
    this.#eventShare = parts.memory.createShare();
    this.#bounds = parts.bounds;
  }

  get head(): IResponseHead | null {
    return this.#head;
  }

  start(open: (receiver: IResponseReceiver) => ISendHandle): void {
    this.#handle = open(this);
  }

  /** Aborts it; the target may have run the call. The owner is not called. */
  abort(): void {
    this.#handle?.abort();
    this.#release();
  }

  onHead(head: IResponseHead): void {
    this.#head = head;
    if (head.isForOtherRequest) {
      this.#fail(SendOutcome.Broken, "answer to another request");
    }
  }

  onData(bytes: Uint8Array): void {
    if (!this.#isStream) {
      if (!this.#body.push(bytes)) {
        this.#endTooLong();
      }
      return;
    }
    const events = this.#splitter.push(bytes);
    if (this.#splitter.isTooLong) {
      this.#failAtEvent(AnswerBound.Event);
    } else if (!this.#keepsEvent()) {
      this.#failAtEvent(AnswerBound.Memory);
    } else if (events.length > 0) {
      this.#owner.onEvents(this, events);
    }
  }

  onEnd(): void {
    const head = this.#head;
    if (head === null) {
      this.#fail(SendOutcome.Broken, "response ended without a head");
    } else if (head.isNotRun) {
      this.#fail(SendOutcome.NotRun, `status ${head.status}`);
    } else if (this.#isStream && this.#splitter.hasPartialEvent) {
      this.#fail(SendOutcome.Broken, "response ended within an event");
    } else {
      const body = this.#isStream ? null : this.#body.chunks;
      this.#end(this.#owner.onResponse(this, { head, body }));
    }
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#end({
      outcome: OUTCOMES[failure],
      detail,
      isDelivered: !UNDELIVERED.has(failure),
    });
  }

  onSilence(detail: string): void {
    this.#owner.onSilence(this, detail);
  }

  /** Marks it as possibly lost, so that another path is taken. */
  doubt(): void {
    this.isDoubtful = true;
    this.#handle?.handleSilence?.();
  }

  /** Events are passed on as they arrive, other responses when complete. */
  get #isStream(): boolean {
    const status = this.#head?.status ?? 0;
    const isSuccess = status >= STATUS_OK && status < STATUS_REDIRECT;
    return isSuccess && this.#call.route.kind === CallKind.Stream;
  }

  /** Whether there is memory for the part of an event that has arrived. */
  #keepsEvent(): boolean {
    return this.#eventShare.resize(this.#splitter.bufferLength);
  }

  #failAtEvent(bound: AnswerBound): void {
    this.#bounds.record(bound, this.group.head.address);
    this.#fail(SendOutcome.Broken, "event exceeds the size limit");
  }

  /** A target that has rejected the call has not run it, whatever follows. */
  #endTooLong(): void {
    this.#bounds.record(this.#body.exceeded, this.group.head.address);
    const isNotRun = this.#head?.isNotRun === true;
    const outcome = isNotRun ? SendOutcome.NotRun : SendOutcome.Broken;
    this.#fail(outcome, "answer exceeds the size limit");
  }

  /** Ends it; aborts the request if it still runs. */
  #fail(outcome: SendOutcome, detail: string): void {
    this.#handle?.abort();
    this.#end({ outcome, detail, isDelivered: true });
  }

  #end(end: ISendEnd): void {
    this.#release();
    this.#owner.onEnded(this, end);
  }

  #release(): void {
    this.#handle = null;
    this.#body.dispose();
    this.#eventShare.dispose();
  }
}
