/**
 * Sends all calls to targets and evaluates what their responses state about the
 * targets themselves, such as request limits.
 */
import type { IClock, ILog, IMetrics } from "../services/services.ts";
import type { TargetCooldowns } from "../target_cooldowns.ts";
import type { MonotonicTime } from "../types.ts";
import type { TargetRateLimits } from "./target_rate_limits.ts";
import type { TargetRegistry } from "./target_registry.ts";
import type {
  ICallSender,
  IResponseHead,
  IOutgoingCall,
  IResponseReceiver,
  ISendHandle,
  ISendOptions,
  ISendTarget,
  SendFailure,
} from "./types.ts";

/** Dependencies of {@link ObservingSender}. */
export interface IObservingSenderParts {
  readonly sender: ICallSender;
  readonly limits: TargetRateLimits;
  readonly cooldowns: TargetCooldowns;
  readonly targets: Pick<
    TargetRegistry,
    "startOf" | "recordLeaving" | "isReady"
  >;
  /** Called when a target is found to be about to leave. */
  readonly onTargetLeaving: () => void;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
}

/** A call and the target that it was sent to. */
interface ISentCall {
  readonly target: ISendTarget;
  readonly call: IOutgoingCall;
  readonly sentAt: MonotonicTime;
  /** Start of the target in calendar milliseconds; 0 if unknown. */
  readonly startedAt: number;
}

/** Sends calls and keeps what is known of their targets up to date. */
export class ObservingSender implements ICallSender {
  readonly #parts: IObservingSenderParts;

  constructor(parts: IObservingSenderParts) {
    this.#parts = parts;
  }

  send(
    target: ISendTarget,
    call: IOutgoingCall,
    options: ISendOptions & { readonly receiver: IResponseReceiver },
  ): ISendHandle {
    const { sender, limits, cooldowns, targets, clock } = this.#parts;
    const sent = {
      target,
      call,
      sentAt: clock.now(),
      startedAt: targets.startOf(target.id) ?? 0,
    };
    const receiver = new ObservingReceiver(options.receiver, (head) =>
      this.#evaluate(head, sent),
    );
    limits.recordSend(target.id);
    cooldowns.recordSend(target.id);
    // The call may have waited for a connection since its target was chosen.
    const mayWrite = () =>
      !cooldowns.isActive(target.id) && targets.isReady(target.id);
    return sender.send(target, call, { ...options, receiver, mayWrite });
  }

  #evaluate(head: IResponseHead, sent: ISentCall): void {
    const { limits, cooldowns, clock, log } = this.#parts;
    const { target, call, sentAt } = sent;
    if (head.isLeaving) {
      this.#recordLeaving(sent);
    }
    if (head.isForOtherRequest) {
      this.#recordUnusable(head, sent);
      return;
    }
    limits.recordResponse(target.id, head);
    if (head.retryAfter === null) {
      cooldowns.recordResponse(target.id);
    } else {
      cooldowns.recordRejection(target.id, head.retryAfter);
      log.info("target_rejected", {
        target: target.id,
        request: call.id,
        status: head.status,
        retry_after_ms: head.retryAfter,
        answered_after_ms: Math.round(clock.now() - sentAt),
      });
    }
  }

  #recordUnusable({ status }: IResponseHead, { target, call }: ISentCall) {
    const { log, metrics } = this.#parts;
    metrics.count("answers_to_other_requests");
    log.warn("answer_to_other_request", {
      target: target.id,
      request: call.id,
      status,
    });
  }

  #recordLeaving({ target, call, startedAt }: ISentCall): void {
    const { targets, clock, log, onTargetLeaving } = this.#parts;
    if (targets.recordLeaving(target.id, startedAt, clock.now())) {
      log.info("target_leaving", {
        target: target.id,
        request: call.id,
        started_at: startedAt,
      });
      onTargetLeaving();
    }
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
    this.#observe(head);
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

  onSilence(detail: string): void {
    this.#receiver.onSilence?.(detail);
  }
}
