/** Records which targets reject calls and name a time for which they do. */
import type { Result } from "ts-results-es";
import type { TargetCooldowns } from "../target_cooldowns.ts";
import type { ICallFailure, ITargetReport } from "../types.ts";
import type {
  IEngineCall,
  IEngineOrder,
  IEngineToken,
  IGenerateOptions,
  IOrderOptions,
  IServiceCall,
  ITargets,
} from "./services.ts";

/** Passes calls on to other targets and keeps their cooldowns by address. */
export class CooldownObservingTargets implements ITargets {
  readonly #targets: ITargets;
  readonly #cooldowns: TargetCooldowns;

  constructor(targets: ITargets, cooldowns: TargetCooldowns) {
    this.#targets = targets;
    this.#cooldowns = cooldowns;
  }

  report(
    address: string,
    timeout: number,
  ): Promise<Result<ITargetReport, ICallFailure>> {
    return this.#targets.report(address, timeout);
  }

  order(
    address: string,
    order: IEngineOrder,
    options: IOrderOptions,
  ): Promise<Result<void, ICallFailure>> {
    return this.#targets.order(address, order, options);
  }

  async *generate(
    address: string,
    call: IEngineCall,
    options: IGenerateOptions,
  ): AsyncIterable<Result<readonly IEngineToken[], ICallFailure>> {
    this.#cooldowns.recordSend(address);
    let isFirst = true;
    for await (const batch of this.#targets.generate(address, call, options)) {
      if (isFirst || batch.isErr()) {
        this.#recordResult(address, batch);
      }
      isFirst = false;
      yield batch;
    }
  }

  async call(
    address: string,
    call: IServiceCall,
    signal: AbortSignal,
  ): Promise<Result<unknown, ICallFailure>> {
    this.#cooldowns.recordSend(address);
    const answer = await this.#targets.call(address, call, signal);
    this.#recordResult(address, answer);
    return answer;
  }

  #recordResult(address: string, result: Result<unknown, ICallFailure>): void {
    if (result.isOk()) {
      this.#cooldowns.recordResponse(address);
    } else if (result.error.retryAfter !== undefined) {
      this.#cooldowns.recordRejection(address, result.error.retryAfter);
    }
  }
}
