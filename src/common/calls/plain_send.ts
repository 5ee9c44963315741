/** Collects the response to one send of a plain call. */
import type { IDisposable } from "../disposable.ts";
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IAnswerBoundRecorder } from "./answer_bounds.ts";
import { AnswerBuffer } from "./answer_memory.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import { SendFailure } from "./types.ts";
import type { IResponseHead, IResponseReceiver, ISendHandle } from "./types.ts";

/** The response to one send as far as it arrived. */
export interface IPlainResponse {
  readonly head: IResponseHead | null;
  readonly body: readonly Uint8Array[];
  /** Null if the response is complete. */
  readonly failure: SendFailure | null;
  readonly detail: string;
}

/** What has arrived of the answers to one call. */
export interface IReceivedAnswers {
  bytes: number;
  pieces: number;
}

/** Collects the response of one send. */
export class PlainSend implements IResponseReceiver, IDisposable {
  readonly target: InstanceId;
  readonly address: string;
  readonly sentAt: MonotonicTime;
  handle: ISendHandle | null = null;
  /** Whether another target was asked since this one was silent. */
  isReplaced = false;
  readonly #onEnded: (answer: IPlainResponse) => void;
  readonly #onSilence: (detail: string) => void;
  readonly #body: AnswerBuffer;
  readonly #received: IReceivedAnswers;
  readonly #bounds: IAnswerBoundRecorder;
  #head: IResponseHead | null = null;

  constructor(
    sent: {
      readonly target: InstanceId;
      readonly address: string;
      readonly sentAt: MonotonicTime;
      readonly memory: AnswerMemory;
      readonly bounds: IAnswerBoundRecorder;
      /** Counts what arrives. */
      readonly received: IReceivedAnswers;
    },
    on: {
      readonly ended: (answer: IPlainResponse) => void;
      /** Its path is silent. */
      readonly silence: (detail: string) => void;
    },
  ) {
    this.target = sent.target;
    this.address = sent.address;
    this.sentAt = sent.sentAt;
    this.#body = new AnswerBuffer(sent.memory);
    this.#received = sent.received;
    this.#bounds = sent.bounds;
    this.#onEnded = on.ended;
    this.#onSilence = on.silence;
  }

  onHead(head: IResponseHead): void {
    this.#head = head;
    if (head.isForOtherRequest) {
      this.handle?.abort();
      this.onFailure(SendFailure.Broken, "answer to another request");
    }
  }

  onData(bytes: Uint8Array): void {
    this.#received.bytes += bytes.length;
    this.#received.pieces += 1;
    if (this.#body.push(bytes)) {
      return;
    }
    this.handle?.abort();
    this.#bounds.record(this.#body.exceeded, this.address);
    if (this.#head?.isNotRun === true) {
      // The target has not run the call, whatever follows its head.
      this.onEnd();
    } else {
      this.onFailure(SendFailure.Broken, "answer exceeds the size limit");
    }
  }

  onEnd(): void {
    this.#onEnded(this.#response(null, ""));
  }

  onSilence(detail: string): void {
    this.#onSilence(detail);
  }

  dispose(): void {
    this.#body.dispose();
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#onEnded(this.#response(failure, detail));
  }

  #response(failure: SendFailure | null, detail: string): IPlainResponse {
    const body = this.#body.chunks;
    this.#body.dispose();
    return { head: this.#head, body, failure, detail };
  }
}
