/** Applies the quarantine of prompt parts to requests for tokens. */
import type { Result } from "ts-results-es";
import { SoundRequests } from "../quarantine/sound_requests.ts";
import type {
  ICallQuarantine,
  IObservedSend,
  IPromptedCall,
} from "../quarantine/types.ts";
import { CallFailureKind, Reason } from "../types.ts";
import type { ICallFailure, IRefusal, MonotonicTime } from "../types.ts";
import type { IChosenTarget } from "./group_directory.ts";
import type { PromptParts } from "./prompt_parts.ts";
import { notRun, outcomeUnknown } from "./refusal.ts";
import type { IClock, IEngineToken } from "./services.ts";
import type { StreamProgress } from "./stream_progress.ts";
import type { ICallerRequest } from "./types.ts";

/** Retry delay of a request that would crash an engine, milliseconds. */
const QUARANTINE_RETRY_AFTER = 60_000;

/** Milliseconds; an answer that goes on for so long shows a sound engine. */
const PROGRESS_TIME = 500;

/** Engines that may crash under one request; it is sent to no further one. */
const MAXIMUM_CRASHES = 2;

/** Refuses requests whose prompts crash engines. */
export class RequestQuarantine {
  readonly quarantine: ICallQuarantine;
  readonly clock: IClock;
  readonly #parts: PromptParts;
  readonly #soundRequests = new SoundRequests();
  /** The calls of requests that are being served. */
  readonly #calls = new WeakMap<ICallerRequest, IPromptedCall>();

  constructor(quarantine: ICallQuarantine, parts: PromptParts, clock: IClock) {
    this.quarantine = quarantine;
    this.#parts = parts;
    this.clock = clock;
  }

  callOf(request: ICallerRequest): IPromptedCall {
    const call = this.#calls.get(request) ?? this.#createCall(request);
    this.#calls.set(request, call);
    return call;
  }

  #createCall(request: ICallerRequest): IPromptedCall {
    const { shared, digest } = this.#parts.of(request);
    const { name: service } = request.service;
    const { account } = request.account.customer;
    const identity = `${account} ${digest}`;
    const isKnown =
      digest !== null && !this.#soundRequests.has(identity, this.clock.now());
    const fingerprint = isKnown ? identity : null;
    return { service, promptParts: shared, fingerprint };
  }

  /** Records that a request was answered whole. */
  recordWhole(request: ICallerRequest): void {
    const { fingerprint } = this.callOf(request);
    if (fingerprint !== null) {
      this.#soundRequests.record(fingerprint, this.clock.now());
    }
  }

  /**
   * Returns the refusal of a request that must reach no engine, or null.
   *
   * @param progress - what is known of its attempts
   */
  refusalOf(
    request: ICallerRequest,
    progress: { readonly mayHaveRun: boolean } = { mayHaveRun: false },
  ): IRefusal | null {
    if (!this.quarantine.isQuarantined(this.callOf(request))) {
      return null;
    }
    const createRefusal = progress.mayHaveRun ? outcomeUnknown : notRun;
    const detail = "a part of the prompt crashes engines";
    return createRefusal(Reason.Quarantined, detail, QUARANTINE_RETRY_AFTER);
  }
}

/** Reports the result of one attempt to the quarantine. */
export class AttemptObserver {
  readonly #requests: RequestQuarantine;
  readonly #progress: StreamProgress;
  readonly #engine: { readonly id: string; readonly address: string };
  #beganAt: MonotonicTime | null = null;
  #lastTokenAt: MonotonicTime = 0;
  #isOver = false;

  constructor(
    requests: RequestQuarantine,
    progress: StreamProgress,
    { id, address, group }: IChosenTarget,
  ) {
    this.#requests = requests;
    this.#progress = progress;
    this.#engine = { id: group?.members[0] ?? id, address };
  }

  /** Records a batch of tokens, or the failure that ends the attempt. */
  async record(
    batch: Result<readonly IEngineToken[], ICallFailure>,
  ): Promise<void> {
    if (batch.isErr()) {
      this.#isOver = true;
      await this.#recordFailure(batch.error);
    } else {
      this.#recordTokens();
    }
  }

  get #send(): IObservedSend {
    const call = this.#requests.callOf(this.#progress.request);
    return { call, target: this.#engine, beganAt: this.#beganAt };
  }

  #recordTokens(): void {
    this.#lastTokenAt = this.#requests.clock.now();
    if (this.#beganAt === null) {
      this.#beganAt = this.#lastTokenAt;
      const beganAt = this.#lastTokenAt;
      this.#requests.quarantine.recordBegin(this.#send, () => {
        const isGoingOn = this.#lastTokenAt - beganAt >= PROGRESS_TIME;
        return this.#progress.isComplete || (!this.#isOver && isGoingOn);
      });
    }
  }

  /** A request under which engines have crashed may be the cause. */
  async #recordFailure({ kind }: ICallFailure): Promise<void> {
    const { quarantine } = this.#requests;
    const { suspectedEngines, signal } = this.#progress;
    if (kind !== CallFailureKind.Unknown || signal.aborted) {
      return;
    }
    const isRepeated = suspectedEngines.size > 0;
    if (quarantine.recordBroken(this.#send, isRepeated)) {
      suspectedEngines.add(this.#engine.id);
    }
    const hasAttempt = suspectedEngines.size < MAXIMUM_CRASHES;
    if (hasAttempt && quarantine.mayCrashAnother(this.#send.call)) {
      return;
    }
    await new Promise<void>((resolve) => {
      quarantine.waitForVerdicts([...suspectedEngines], resolve);
    });
    const crashed = [...suspectedEngines].filter((engine) =>
      quarantine.hasCrashed(engine),
    );
    if (crashed.length >= MAXIMUM_CRASHES) {
      this.#progress.abandon();
    }
  }
}
