/**
 * Counts all calls against the request limits of targets, and reads the limits
 * from their responses.
 */
import type { TargetRateLimits } from "./target_rate_limits.ts";
import type {
  ICall,
  ICallSender,
  IResponseHead,
  IResponseReceiver,
  ISendHandle,
  ISendOptions,
  ISendTarget,
  SendFailure,
} from "./types.ts";

/** Sends calls and keeps the limits of their targets up to date. */
export class LimitObservingSender implements ICallSender {
  readonly #sender: ICallSender;
  readonly #limits: TargetRateLimits;

  constructor(sender: ICallSender, limits: TargetRateLimits) {
    this.#sender = sender;
    this.#limits = limits;
  }

  send(
    target: ISendTarget,
    call: ICall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle {
    const receiver = new ObservingReceiver(options.receiver, (head) =>
      this.#limits.recordResponse(target.id, head),
    );
    this.#limits.recordSend(target.id);
    return this.#sender.send(target, call, { ...options, receiver });
  }
}

/** Passes a response on and shows its head to an observer first. */
class ObservingReceiver implements IResponseReceiver {
  readonly #receiver: IResponseReceiver;
  readonly #observe: (head: IResponseHead) => void;

  constructor(
    receiver: IResponseReceiver,
    observe: (head: IResponseHead) => void,
  ) {
    this.#receiver = receiver;
    this.#observe = observe;
  }

  onHead(head: IResponseHead): void {
    if (!head.isForOtherRequest) {
      this.#observe(head);
    }
    this.#receiver.onHead(head);
  }

  onData(bytes: Uint8Array): void {
    this.#receiver.onData(bytes);
  }

  onEnd(): void {
    this.#receiver.onEnd();
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.#receiver.onFailure(failure, detail);
  }
}
