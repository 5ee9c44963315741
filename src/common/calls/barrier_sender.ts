/** Sends calls when the news on their callers is fresh. */
import type { IClock } from "../services/services.ts";
import type { IInputBarrier } from "./input_barrier.ts";
import type {
  ICallSender,
  IOutgoingCall,
  IResponseReceiver,
  ISendHandle,
  ISendOptions,
  ISendTarget,
} from "./types.ts";

/** A sender that waits for the barrier first. */
export class BarrierSender implements ICallSender {
  readonly #sender: ICallSender;
  readonly #barrier: IInputBarrier;
  readonly #clock: Pick<IClock, "now">;

  constructor(parts: {
    readonly sender: ICallSender;
    readonly barrier: IInputBarrier;
    readonly clock: Pick<IClock, "now">;
  }) {
    this.#sender = parts.sender;
    this.#barrier = parts.barrier;
    this.#clock = parts.clock;
  }

  send(
    target: ISendTarget,
    call: IOutgoingCall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle {
    const decidedAt = this.#clock.now();
    return waitAndSend(this.#barrier, () => {
      const waited = this.#clock.now() - decidedAt;
      const timeLeft = options.timeLeft - waited;
      return this.#sender.send(target, call, { ...options, timeLeft });
    });
  }
}

/** Starts a send behind the barrier; aborted before, it is never made. */
export function waitAndSend(
  barrier: IInputBarrier,
  send: () => ISendHandle,
): ISendHandle {
  let handle: ISendHandle | null = null;
  const waiting = barrier.wait(() => {
    handle = send();
  });
  return {
    abort: () => {
      waiting.dispose();
      handle?.abort();
    },
  };
}
