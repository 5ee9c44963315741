/** Stand-in for a plain service that logs the calls it runs. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { TargetState } from "../../common/types.ts";
import type { ITargetReport } from "../../common/types.ts";
import { requestIdOf } from "../../adapters/targets/wire_id.ts";
import {
  errorAnswer,
  JsonServer,
  okAnswer,
  OVERLOAD_RETRY_AFTER,
  overloadAnswer,
} from "../shared/json_server.ts";
import type { IJsonAnswer, IJsonRequest } from "../shared/json_server.ts";
import { RunLog } from "./run_log.ts";
import {
  CallFault,
  CallFaultInjector,
  CallPoint,
} from "./call_fault_injector.ts";

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** Times are in milliseconds. */
export interface IPlainServiceOptions {
  readonly id: string;
  readonly workTime: number;
  /** File that keeps the run log across restarts; empty for none. */
  readonly recordFile?: string;
}

interface ICallBody {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
}

/** Simulates one instance of a plain service. */
export class PlainService {
  readonly #options: IPlainServiceOptions;
  readonly #incarnation = randomUUID();
  readonly #runLog: RunLog;
  readonly #server = new JsonServer((request) => this.#handle(request));
  readonly #faults = new CallFaultInjector();
  /** Calendar milliseconds of the calls rejected because of overload. */
  readonly #rejections: number[] = [];
  #state = TargetState.Ready;
  #running = 0;

  constructor(options: IPlainServiceOptions) {
    this.#options = options;
    this.#runLog = new RunLog(options.recordFile ?? "");
  }

  listen(address: string): Promise<string> {
    return this.#server.listen(address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
  }

  #handle(request: IJsonRequest): Promise<IJsonAnswer | null> | IJsonAnswer {
    switch (request.parts[0]) {
      case "report":
        return okAnswer(this.#report());
      case "call":
        return this.#handleCall(request.body as ICallBody, request.response);
      case "fault":
        this.#faults.set((request.body as { fault?: unknown }).fault);
        return okAnswer({});
      case "leave":
        this.#state = TargetState.Leaving;
        return okAnswer({});
      case "record":
        return okAnswer({
          runs: this.#runLog.entries,
          paused: this.#faults.pausedCalls,
          rejections: this.#rejections,
        });
      default:
        return errorAnswer(STATUS_NOT_FOUND, "no such path");
    }
  }

  async #handleCall(
    call: ICallBody,
    response: ServerResponse,
  ): Promise<IJsonAnswer | null> {
    const isRefusing = this.#faults.fault === CallFault.Refuse;
    if (this.#state === TargetState.Leaving || isRefusing) {
      return errorAnswer(STATUS_UNAVAILABLE, "leaving");
    }
    if (this.#faults.fault === CallFault.Overload) {
      this.#rejections.push(Date.now());
      return overloadAnswer(OVERLOAD_RETRY_AFTER);
    }
    this.#running += 1;
    await this.#faults.applyAt(CallPoint.BeforeRun);
    await sleep(this.#options.workTime);
    const number = this.#run(call);
    await this.#faults.applyAt(CallPoint.AfterRun);
    this.#running -= 1;
    if (this.#faults.fault === CallFault.LoseAnswer) {
      response.destroy();
      return null;
    }
    const { requestId, operation, body } = call;
    const answer = { operation, done: true, by: this.#options.id, number };
    const isForeign = this.#faults.fault === CallFault.ForeignAnswer;
    const answeredId = isForeign ? randomUUID() : requestId;
    return okAnswer({
      requestId: answeredId,
      answer: { ...answer, ...paddingOf(body) },
    });
  }

  /** Runs a call and returns the number of calls run so far. */
  #run({ requestId, operation, body }: ICallBody): number {
    const callerRequestId = requestIdOf(requestId);
    this.#runLog.append({
      requestId: callerRequestId,
      operation,
      body,
      at: Date.now(),
    });
    return this.#runLog.entries.length;
  }

  #report(): ITargetReport {
    return {
      instance: this.#options.id,
      incarnation: this.#incarnation,
      state: this.#state,
      membership: null,
      model: "",
      running: this.#running,
      queued: 0,
      tokens: 0,
      lag: 0,
    };
  }
}

/** `{pad: BYTES}` in a body adds padding of that size to the answer. */
function paddingOf(body: unknown): object {
  const { pad } = (body ?? {}) as { pad?: unknown };
  return typeof pad === "number" ? { padding: "x".repeat(pad) } : {};
}
