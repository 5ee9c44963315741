/** Forwards calls when the news on their callers is fresh. */
import { waitAndSend } from "../calls/barrier_sender.ts";
import type { IInputBarrier } from "../calls/input_barrier.ts";
import type { ISendHandle } from "../calls/types.ts";
import type { IClock } from "../services/services.ts";
import type { IForwardedSend, IForwardReceiver, IPeerLink } from "./types.ts";

type ICallLink = Pick<IPeerLink, "send">;

/** A link to other processes that waits for the barrier first. */
export class BarrierPeerLink implements ICallLink {
  readonly #link: ICallLink;
  readonly #barrier: IInputBarrier;
  readonly #clock: Pick<IClock, "now">;

  constructor(parts: {
    readonly link: ICallLink;
    readonly barrier: IInputBarrier;
    readonly clock: Pick<IClock, "now">;
  }) {
    this.#link = parts.link;
    this.#barrier = parts.barrier;
    this.#clock = parts.clock;
  }

  send(
    address: string,
    send: IForwardedSend,
    receiver: IForwardReceiver,
  ): ISendHandle {
    const decidedAt = this.#clock.now();
    return waitAndSend(this.#barrier, () => {
      const waited = this.#clock.now() - decidedAt;
      const timeLeft = send.timeLeft - waited;
      return this.#link.send(address, { ...send, timeLeft }, receiver);
    });
  }
}
