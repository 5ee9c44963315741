/**
 * Sends calls to plain services. Responses are passed on only when complete, so
 * that a call with a broken response can be retried where that is safe.
 */
import { SoundRequests } from "../quarantine/sound_requests.ts";
import { PlainRun } from "./plain_run.ts";
import type { IPlainCallParts } from "./plain_run.ts";
import { ResponseTimes } from "./response_times.ts";
import { ServingPeriod } from "./stopping.ts";
import type { IStopTimes } from "./stopping.ts";
import type { ICall, ICallReply } from "./types.ts";

/** All plain calls of one process. */
export class PlainCalls {
  readonly #parts: IPlainCallParts;
  readonly #servingPeriod = new ServingPeriod();
  readonly #unfinished = new Set<PlainRun>();
  readonly #soundRequests = new SoundRequests();
  readonly #responseTimes: ResponseTimes;

  constructor(parts: IPlainCallParts, responseTimes = new ResponseTimes()) {
    this.#parts = parts;
    this.#responseTimes = responseTimes;
  }

  /** Accepts a call; returns the handler for its caller's disconnect. */
  submit(call: ICall, reply: ICallReply): () => void {
    const run = new PlainRun(call, {
      reply,
      parts: this.#parts,
      isAdmitted: () => this.#isAdmitted(call),
      soundRequests: this.#soundRequests,
      responseTimes: this.#responseTimes,
      stoppingFor: () => this.#stoppingFor,
      onFinished: () => this.#unfinished.delete(run),
    });
    this.#unfinished.add(run);
    run.start();
    return () => run.handleDisconnect();
  }

  /**
   * From now on calls that have not run, and are not expected to end in time,
   * are refused: here they would be cut.
   */
  stopAt(times: IStopTimes): void {
    this.#servingPeriod.stopAt(times);
  }

  /** Ends the calls that outlast the process with an answer. */
  endUnfinished(): void {
    this.#unfinished.forEach((run) => run.endWithProcess());
  }

  /**
   * Handles that this process has lost its own path to a service: what it saw
   * of the targets proves nothing.
   */
  handlePathLost(): void {
    this.#parts.targets.clearEjections();
  }

  get #stoppingFor(): number | null {
    return this.#servingPeriod.timeSinceStop(this.#parts.clock.now());
  }

  /** Whether a call that is sent now is served by a stopping process. */
  #isAdmitted(call: ICall): boolean {
    if (!this.#servingPeriod.hasEnd) {
      return true;
    }
    const now = this.#parts.clock.now();
    const unseen = call.route.objective;
    const times = this.#responseTimes;
    const end = now + times.expectedTime(call.service, { now, unseen });
    return this.#servingPeriod.admits(call, { now, end });
  }
}
