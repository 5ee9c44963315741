/**
 * Estimates how many groups the calls of one model fully occupy.
 *
 * With few calls of long prompts beside many of short ones, a count of requests
 * in flight makes the long ones look small until their groups are full; then
 * they queue, and only the queue shows the missing capacity. The time that a
 * call takes of a group is known when it arrives: its prefill occupies the
 * group alone, its decoding is shared with the rest of the batch.
 */
import type { MonotonicTime } from "../types.ts";
import { prefillMs, stepTime } from "./engine_timing.ts";
import type { IEngineProfile, IModel, ITokenEstimate } from "./types.ts";

/** Time constant of the rate, milliseconds: a few times a call's run time. */
const TIME_CONSTANT = 4_000;

/** Initial estimate of the share of the announced output that is generated. */
const INITIAL_OUTPUT_SHARE = 0.5;

/** Weight of the newest response in the share of the announced output. */
const NEWEST_WEIGHT = 1 / 32;

/** The demand for one model in one process. */
export class DemandEstimator {
  #rate = 0;
  #decayedAt: MonotonicTime | null = null;
  #outputShare = INITIAL_OUTPUT_SHARE;

  /** Adds an arriving call. */
  recordCall(
    call: { readonly tokens: ITokenEstimate; readonly now: MonotonicTime },
    engine: IEngineProfile,
    model: IModel,
  ): void {
    const output = call.tokens.output * this.#outputShare;
    const step = stepTime(engine, engine.slots, 0);
    const decoding = (output * step) / engine.slots;
    const time =
      (prefillMs(engine, call.tokens.prompt) + decoding) * model.pace;
    this.#decay(call.now);
    this.#rate += time / TIME_CONSTANT;
  }

  /**
   * Records a complete response.
   *
   * @param written - generated tokens
   * @param announced - maximum number of tokens, as the caller announced it
   */
  recordOutput(written: number, announced: number): void {
    if (announced > 0) {
      const share = Math.min(1, written / announced);
      this.#outputShare += (share - this.#outputShare) * NEWEST_WEIGHT;
    }
  }

  /** Number of groups that the arriving calls fully occupy. */
  groupsNeeded(now: MonotonicTime): number {
    this.#decay(now);
    return this.#rate;
  }

  #decay(now: MonotonicTime): void {
    const gap = now - (this.#decayedAt ?? now);
    this.#decayedAt = now;
    this.#rate *= Math.exp(-gap / TIME_CONSTANT);
  }
}
