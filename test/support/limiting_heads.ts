/**
 * Heads of groups that name request limits, reject requests for a time or are
 * about to leave, and check that processes keep to all three.
 */
import { DisposableStore } from "../../src/common/disposable.ts";
import type {
  ICall,
  ICallSender,
  IResponseHead,
  IResponseReceiver,
} from "../../src/common/calls/types.ts";
import { SendFailure } from "../../src/common/calls/types.ts";
import type { IClock } from "../../src/common/services/services.ts";
import { LeavingRule } from "./leaving_rule.ts";
import { SUCCESS_HEAD } from "./model_calls_harness.ts";
import { RetryAfterRule } from "./retry_after_rule.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Milliseconds from a request to the head of its response. */
const FIRST_EVENT_TIME = 150;
/** Milliseconds between two events of a response. */
const EVENT_PERIOD = 30;
/** Milliseconds from a request to the end of its response. */
const RUN_TIME = 400;

/** Milliseconds from a request to its rejection. */
const REJECTION_TIME = 10;

/** Events of a response that breaks off. */
const EVENTS_BEFORE_BREAK = 2;

/** Milliseconds from a request to each event of its response. */
const EVENT_TIMES = Array.from(
  { length: Math.floor((RUN_TIME - FIRST_EVENT_TIME) / EVENT_PERIOD) + 1 },
  (_, index) => FIRST_EVENT_TIME + index * EVENT_PERIOD,
);

/**
 * The platform's rule: from `SETTLING_TIME` after a target first named its
 * limit, it gets in any `WINDOW` at most the limit's part of it times
 * `TOLERANCE`, and `SLACK` requests, from processes that passed a response with
 * a limit on at least `NOTICE_TIME` before. Times in milliseconds.
 */
const SETTLING_TIME = 3_000;
const WINDOW = 4_000;
const TOLERANCE = 1.5;
const SLACK = 5;
const NOTICE_TIME = 500;

/** A rejection that names no time. */
const REJECTION_HEAD: IResponseHead = {
  ...SUCCESS_HEAD,
  status: 503,
  isNotRun: true,
};

/** What goes wrong with a request. */
enum Fault {
  /** It is rejected, without a time. */
  Reject = "reject",
  /** Its response breaks off after some events. */
  Break = "break",
}

interface IArrival {
  readonly target: string;
  readonly at: number;
  /** Whether the sender had received a limit long enough before. */
  readonly isNoticed: boolean;
}

interface INamedLimit {
  readonly rate: number;
  readonly since: number;
}

/** Answers the requests of all processes, and records when they arrive. */
export class LimitingHeads {
  readonly #clock: IClock;
  readonly #limits = new Map<string, INamedLimit>();
  readonly #noticedAt = new Map<string, number>();
  readonly #arrivals: IArrival[] = [];
  /** Milliseconds that each overloaded target names when it rejects. */
  readonly #retryAfter = new Map<string, number>();
  readonly #faultRandom: SeededRandom;
  readonly #retryAfterRule: RetryAfterRule;
  readonly #leavingRule: LeavingRule;
  /** Targets that say in their answers that they are about to leave. */
  readonly leaving = new Set<string>();
  /** Share of the requests that meet a fault, 0 to 1. */
  faultShare = 0;

  constructor(clock: IClock, seed: number) {
    this.#clock = clock;
    this.#faultRandom = new SeededRandom(seed);
    this.#retryAfterRule = new RetryAfterRule(clock);
    this.#leavingRule = new LeavingRule(clock);
  }

  /** What broke the rule on targets that are about to leave. */
  get leavingViolations(): readonly string[] {
    return this.#leavingRule.violations;
  }

  /** Number of processes that were told so, over all targets. */
  get leavingNotices(): number {
    return this.#leavingRule.notices;
  }

  /** What broke the rule on rejections for a time. */
  get rejectionViolations(): readonly string[] {
    return this.#retryAfterRule.violations;
  }

  /** Number of rejections for a time. */
  get rejections(): number {
    return this.#retryAfterRule.rejections;
  }

  /** @param retryAfter - milliseconds; null ends the overload */
  setOverloaded(target: string, retryAfter: number | null): void {
    if (retryAfter === null) {
      this.#retryAfter.delete(target);
    } else {
      this.#retryAfter.set(target, retryAfter);
    }
  }

  /** @param rate - requests per second; null ends the limit */
  setLimit(target: string, rate: number | null): void {
    if (rate === null) {
      this.#limits.delete(target);
    } else {
      this.#limits.set(target, { rate, since: this.#clock.now() });
    }
  }

  /** The sender of one process. */
  senderOf(process: string): ICallSender {
    return {
      send: (target, call, { receiver: given }) => {
        this.#recordArrival(process, target.id);
        const { arrivedAt } = call as ICall;
        this.#leavingRule.recordArrival(process, target.id, arrivedAt);
        const receiver = this.#announceLeaving(given, process, target.id);
        this.#retryAfterRule.recordArrival(process, target.id);
        const timers = new DisposableStore();
        const fault = this.#drawFault();
        const retryAfter = this.#retryAfter.get(target.id) ?? null;
        if (retryAfter !== null) {
          const head = { ...REJECTION_HEAD, retryAfter };
          this.#reject(receiver, timers, head, () =>
            this.#retryAfterRule.recordRejection(
              process,
              target.id,
              retryAfter,
            ),
          );
        } else if (fault === Fault.Reject) {
          this.#reject(receiver, timers, REJECTION_HEAD);
        } else {
          this.#respond(receiver, timers, {
            process,
            target: target.id,
            fault,
          });
        }
        return { abort: () => timers.dispose() };
      },
    };
  }

  /** Adds to each answer of a leaving target that it is about to leave. */
  #announceLeaving(
    receiver: IResponseReceiver,
    process: string,
    target: string,
  ): IResponseReceiver {
    return {
      onHead: (head) => {
        const isLeaving = this.leaving.has(target);
        if (isLeaving) {
          this.#leavingRule.recordNotice(process, target);
        }
        receiver.onHead({ ...head, isLeaving });
      },
      onData: (bytes) => receiver.onData(bytes),
      onEnd: () => receiver.onEnd(),
      onFailure: (failure, detail) => receiver.onFailure(failure, detail),
    };
  }

  #drawFault(): Fault | null {
    if (this.#faultRandom.next() >= this.faultShare) {
      return null;
    }
    return this.#faultRandom.next() < 0.5 ? Fault.Reject : Fault.Break;
  }

  #reject(
    receiver: IResponseReceiver,
    timers: DisposableStore,
    head: IResponseHead,
    onRejected: () => void = () => undefined,
  ): void {
    const answer = () => {
      onRejected();
      receiver.onHead(head);
      receiver.onEnd();
    };
    timers.add(this.#clock.after(REJECTION_TIME, answer));
  }

  #respond(
    receiver: IResponseReceiver,
    timers: DisposableStore,
    sent: {
      readonly process: string;
      readonly target: string;
      readonly fault: Fault | null;
    },
  ): void {
    const { length } = EVENT_TIMES;
    for (const [index, time] of EVENT_TIMES.entries()) {
      const answer = () => {
        if (index === 0) {
          const rateLimit = this.#limits.get(sent.target)?.rate ?? null;
          this.#recordNotice(sent.process, sent.target, rateLimit);
          receiver.onHead({ ...SUCCESS_HEAD, rateLimit });
        }
        if (sent.fault === Fault.Break && index === EVENTS_BEFORE_BREAK) {
          timers.dispose();
          receiver.onFailure(SendFailure.Broken, "reset");
          return;
        }
        receiver.onData(encodeEvent(index + 1));
        if (index === length - 1) {
          receiver.onEnd();
        }
      };
      timers.add(this.#clock.after(time, answer));
    }
  }

  /** Requests that a target received in the last milliseconds. */
  arrivalsIn(target: string, milliseconds: number): number {
    const since = this.#clock.now() - milliseconds;
    return this.#arrivals.filter(
      (one) => one.target === target && one.at > since,
    ).length;
  }

  /** For each target, the window that exceeds its limit the most, if any. */
  get exceededWindows(): readonly string[] {
    return [...this.#limits].flatMap(([target, { rate, since }]) => {
      const allowed = (rate * WINDOW * TOLERANCE) / 1_000 + SLACK;
      const noticed = this.#arrivals.filter(
        (one) => one.target === target && one.isNoticed,
      );
      const counts = noticed
        .filter(({ at }) => at >= since + SETTLING_TIME)
        .map(({ at }) => countBetween(noticed, at - WINDOW, at));
      const most = Math.max(0, ...counts);
      return most > allowed ? [`${target}: ${most} of ${allowed}`] : [];
    });
  }

  #recordArrival(process: string, target: string): void {
    const at = this.#clock.now();
    const noticedAt = this.#noticedAt.get(keyOf(process, target));
    const isNoticed = noticedAt !== undefined && at - noticedAt >= NOTICE_TIME;
    this.#arrivals.push({ target, at, isNoticed });
  }

  #recordNotice(process: string, target: string, rate: number | null): void {
    const key = keyOf(process, target);
    if (rate === null) {
      this.#noticedAt.delete(key);
    } else if (!this.#noticedAt.has(key)) {
      this.#noticedAt.set(key, this.#clock.now());
    }
  }
}

function encodeEvent(id: number): Uint8Array {
  return new TextEncoder().encode(`id: ${id}\ndata: x\n\n`);
}

function keyOf(process: string, target: string): string {
  return `${process} ${target}`;
}

function countBetween(
  arrivals: readonly IArrival[],
  after: number,
  until: number,
): number {
  return arrivals.filter(({ at }) => at > after && at <= until).length;
}
