/** Sends calls straight to their targets and records which of them answer. */
import { SendFailure } from "../calls/types.ts";
import type {
  ICallSender,
  IResponseHead,
  IOutgoingCall,
  IResponseReceiver,
  ISendHandle,
  ISendOptions,
  ISendTarget,
} from "../calls/types.ts";
import type { TargetReach } from "./target_reach.ts";

/** Evidence of this process's path to targets. */
export type ReachRecorder = Pick<
  TargetReach,
  "recordAnswer" | "recordNoAnswer"
>;

/** A sender that records the answers of the targets. */
export class DirectSender implements ICallSender {
  readonly #sender: ICallSender;
  readonly #reach: ReachRecorder;

  constructor(sender: ICallSender, reach: ReachRecorder) {
    this.#sender = sender;
    this.#reach = reach;
  }

  send(
    target: ISendTarget,
    call: IOutgoingCall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle {
    const receiver = new ReachRecordingReceiver(options.receiver, {
      onAnswer: () => this.#reach.recordAnswer(call.service, target.id),
      onNoAnswer: () => this.#reach.recordNoAnswer(call.service, target.id),
    });
    return this.#sender.send(target, call, { ...options, receiver });
  }
}

/** Receives whether a target answers. */
interface IAnswerObserver {
  onAnswer(): void;
  onNoAnswer(): void;
}

/** Passes a response on after recording that it arrives, or does not. */
class ReachRecordingReceiver implements IResponseReceiver {
  readonly #receiver: IResponseReceiver;
  readonly #observer: IAnswerObserver;

  constructor(receiver: IResponseReceiver, observer: IAnswerObserver) {
    this.#receiver = receiver;
    this.#observer = observer;
  }

  onHead(head: IResponseHead): void {
    this.#observer.onAnswer();
    this.#receiver.onHead(head);
  }

  onData(bytes: Uint8Array): void {
    this.#observer.onAnswer();
    this.#receiver.onData(bytes);
  }

  onEnd(): void {
    this.#receiver.onEnd();
  }

  onFailure(failure: SendFailure, detail: string): void {
    if (failure !== SendFailure.Withheld) {
      this.#observer.onNoAnswer();
    }
    this.#receiver.onFailure(failure, detail);
  }
}
