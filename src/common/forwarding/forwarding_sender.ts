/**
 * Sends calls directly while this process reaches the targets of their service,
 * and through another process while it does not. A call that finds no
 * connection while the path is in doubt waits for the decision, so that it is
 * not refused, or counted against the targets, for a fault of this process.
 */
import { SendFailure } from "../calls/types.ts";
import type {
  ICallSender,
  IOutgoingCall,
  IResponseHead,
  IResponseReceiver,
  ISendHandle,
  ISendOptions,
  ISendTarget,
} from "../calls/types.ts";
import type { IDisposable } from "../disposable.ts";
import type { IClock, ILog } from "../services/services.ts";
import type { InstanceId, MonotonicTime, ServiceName } from "../types.ts";
import type { ForwardingPeers } from "./forwarding_peers.ts";
import type { TargetReach } from "./target_reach.ts";
import { ForwardRefusal } from "./types.ts";
import type { IForwardReceiver, IPeerLink, ITargetPaths } from "./types.ts";

/** Peers that a send is offered to at most. */
const MAXIMUM_OFFERS = 3;

/** Dependencies of {@link ForwardingSender}. */
export interface IForwardingSenderParts {
  /** Sends straight to targets and records their answers. */
  readonly direct: ICallSender;
  readonly reach: Pick<
    TargetReach,
    "isOutOfReach" | "recordNoAnswer" | "waitForDecision"
  >;
  readonly peers: Pick<
    ForwardingPeers,
    | "choose"
    | "hasPeer"
    | "recordAnswer"
    | "recordFailure"
    | "recordOutOfReach"
    | "watch"
  >;
  readonly link: Pick<IPeerLink, "send">;
  readonly clock: IClock;
  readonly log: ILog;
}

type SendOptions = ISendOptions & { readonly receiver: IResponseReceiver };

/** Sends calls over the path that reaches their targets. */
export class ForwardingSender implements ICallSender, ITargetPaths {
  readonly #parts: IForwardingSenderParts;

  constructor(parts: IForwardingSenderParts) {
    this.#parts = parts;
  }

  hasPath(service: ServiceName): boolean {
    const { reach, peers } = this.#parts;
    return !reach.isOutOfReach(service) || peers.hasPeer(service);
  }

  recordSilence(service: ServiceName, target: InstanceId): void {
    this.#parts.reach.recordNoAnswer(service, target);
  }

  send(
    target: ISendTarget,
    call: IOutgoingCall,
    options: SendOptions,
  ): ISendHandle {
    const send = new RoutedSend(this.#parts, { target, call, options });
    send.start();
    return send;
  }
}

/** What is sent. */
interface ISentCall {
  readonly target: ISendTarget;
  readonly call: IOutgoingCall;
  readonly options: SendOptions;
}

/** One send, on whichever path it takes. */
class RoutedSend implements ISendHandle, IResponseReceiver, IForwardReceiver {
  readonly #parts: IForwardingSenderParts;
  readonly #sent: ISentCall;
  readonly #startedAt: MonotonicTime;
  readonly #offeredTo = new Set<string>();
  #handle: ISendHandle | null = null;
  /** The peer that has the call; null while it is sent directly. */
  #peer: string | null = null;
  #peerWatch: IDisposable | null = null;
  #isDone = false;

  constructor(parts: IForwardingSenderParts, sent: ISentCall) {
    this.#parts = parts;
    this.#sent = sent;
    this.#startedAt = parts.clock.now();
  }

  start(): void {
    const { target, call, options } = this.#sent;
    if (this.#parts.reach.isOutOfReach(call.service)) {
      this.#forward();
    } else {
      const { direct } = this.#parts;
      this.#handle = direct.send(target, call, { ...options, receiver: this });
    }
  }

  abort(): void {
    if (!this.#isDone) {
      this.#finish();
      this.#handle?.abort();
    }
  }

  handleSilence(): void {
    if (!this.#isDone && this.#peer !== null) {
      this.#parts.peers.recordFailure(this.#peer);
    }
  }

  onHead(head: IResponseHead): void {
    this.#recordPeerAnswer();
    if (!this.#isDone) {
      this.#sent.options.receiver.onHead(head);
    }
  }

  onData(bytes: Uint8Array): void {
    this.#recordPeerAnswer();
    if (!this.#isDone) {
      this.#sent.options.receiver.onData(bytes);
    }
  }

  onEnd(): void {
    if (!this.#isDone) {
      this.#finish();
      this.#sent.options.receiver.onEnd();
    }
  }

  onFailure(failure: SendFailure, detail: string): void {
    if (this.#isDone) {
      return;
    }
    const { reach } = this.#parts;
    const { service } = this.#sent.call;
    const isDirect = this.#peer === null;
    if (failure !== SendFailure.NotSent || !isDirect) {
      this.#fail(failure, detail);
    } else if (reach.isOutOfReach(service)) {
      this.#forward();
    } else if (!reach.waitForDecision(service, () => this.#decide(detail))) {
      this.#fail(failure, detail);
    }
  }

  onRefused(refusal: ForwardRefusal, detail: string): void {
    const { peers, log } = this.#parts;
    const { id, service } = this.#sent.call;
    if (this.#isDone || this.#peer === null) {
      return;
    }
    const peer = this.#peer;
    log.info("forward_refused", { request: id, peer, refusal, detail });
    if (refusal === ForwardRefusal.OutOfReach) {
      peers.recordOutOfReach(peer, service);
    } else if (refusal !== ForwardRefusal.UnknownTarget) {
      peers.recordFailure(peer);
    }
    this.#forward();
  }

  #recordPeerAnswer(): void {
    if (this.#peer !== null) {
      this.#parts.peers.recordAnswer(this.#peer);
    }
  }

  /** The connection was not made while the path was in doubt. */
  #decide(detail: string): void {
    if (this.#isDone) {
      return;
    }
    if (this.#parts.reach.isOutOfReach(this.#sent.call.service)) {
      this.#forward();
    } else {
      this.#fail(SendFailure.NotSent, detail);
    }
  }

  /** Sends through a peer that this call was not offered to yet. */
  #forward(): void {
    const { peers, link, log } = this.#parts;
    const { target, call, options } = this.#sent;
    this.#peerWatch?.dispose();
    const peer =
      this.#offeredTo.size < MAXIMUM_OFFERS
        ? peers.choose(call.service, this.#offeredTo)
        : null;
    if (peer === null) {
      this.#failLater(SendFailure.Unreachable, "no process reaches the target");
      return;
    }
    if (options.mayWrite !== undefined && !options.mayWrite()) {
      this.#failLater(
        SendFailure.Withheld,
        "the target wants no calls any more",
      );
      return;
    }
    this.#offeredTo.add(peer);
    this.#peer = peer;
    this.#peerWatch = peers.watch(peer, () => this.#handlePeerLost());
    log.info("call_forwarded", { request: call.id, target: target.id, peer });
    const elapsed = this.#parts.clock.now() - this.#startedAt;
    this.#handle = link.send(
      peer,
      {
        target: target.id,
        call,
        timeLeft: options.timeLeft - elapsed,
        lastEventId: options.lastEventId,
        needsNewConnection: options.needsNewConnection,
      },
      this,
    );
  }

  /** A peer that is only paused may go on with the call. */
  #handlePeerLost(): void {
    const { receiver } = this.#sent.options;
    receiver.onSilence?.(`peer ${this.#peer} does not answer`);
  }

  /** Fails after the current call, as receivers expect. */
  #failLater(failure: SendFailure, detail: string): void {
    this.#parts.clock.after(0, () => this.#fail(failure, detail));
  }

  #fail(failure: SendFailure, detail: string): void {
    if (!this.#isDone) {
      this.#finish();
      this.#sent.options.receiver.onFailure(failure, detail);
    }
  }

  #finish(): void {
    this.#isDone = true;
    this.#peerWatch?.dispose();
  }
}
