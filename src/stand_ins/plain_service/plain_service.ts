/** A plain service, as a stand-in that keeps a record of what it ran. */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { TargetState } from "../../common/types.ts";
import type { ITargetReport } from "../../common/types.ts";
import { JsonServer, ok, refuse } from "../shared/json_server.ts";
import type { IJsonAnswer, IJsonRequest } from "../shared/json_server.ts";

const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;

/** Options of a plain service; times in milliseconds. */
export interface IPlainServiceOptions {
  readonly id: string;
  readonly workTime: number;
}

/** One run, kept so that proofs can judge by it. */
export interface IRunDeed {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
  readonly at: number;
}

interface IWantedRun {
  readonly requestId: string;
  readonly operation: string;
  readonly body: unknown;
}

/** One instance of a plain service. */
export class PlainService {
  readonly #options: IPlainServiceOptions;
  readonly #incarnation = randomUUID();
  readonly #runs: IRunDeed[] = [];
  readonly #server = new JsonServer((request) => this.#handle(request));
  #state = TargetState.Ready;
  #running = 0;

  constructor(options: IPlainServiceOptions) {
    this.#options = options;
  }

  listen(address: string): Promise<string> {
    return this.#server.listen(address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
  }

  #handle(request: IJsonRequest): Promise<IJsonAnswer> | IJsonAnswer {
    switch (request.parts[0]) {
      case "report":
        return ok(this.#report());
      case "call":
        return this.#call(request.body as IWantedRun);
      case "leave":
        this.#state = TargetState.Leaving;
        return ok({});
      case "record":
        return ok({ runs: this.#runs });
      default:
        return refuse(STATUS_NOT_FOUND, "no such path");
    }
  }

  async #call(wanted: IWantedRun): Promise<IJsonAnswer> {
    if (this.#state === TargetState.Leaving) {
      return refuse(STATUS_UNAVAILABLE, "leaving");
    }
    const { requestId, operation, body } = wanted;
    this.#running += 1;
    await sleep(this.#options.workTime);
    this.#runs.push({ requestId, operation, body, at: Date.now() });
    this.#running -= 1;
    const number = this.#runs.length;
    const answer = { operation, done: true, by: this.#options.id, number };
    return ok({ requestId, answer });
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
