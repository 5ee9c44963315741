/**
 * How many groups' whole time the calls of one model ask for.
 *
 * Pattern of load: few calls with long prompts beside many with short ones.
 * Counted by requests in flight the first look small until their groups are
 * full; then they queue, and only the queue shows what was missing. The time
 * that a call takes of a group is known when it arrives: reading its prompt
 * takes the group alone, writing is shared with the rest of the batch.
 */
import type { MonotonicTime } from "../types.ts";
import { prefillMs, stepTime } from "./engine_timing.ts";
import type { IEngineProfile, IModel, ITokenEstimate } from "./types.ts";

/** Time constant of the rate, milliseconds: some run times. */
const MEMORY = 4_000;

/** Announced output is a maximum; before answers were seen, this part of it. */
const FIRST_OUTPUT_PART = 0.5;

/** Weight of the newest answer in the part of the output that is written. */
const NEWEST_WEIGHT = 1 / 32;

/** The work of one model in one process. */
export class DemandEstimator {
  #rate = 0;
  #countedAt: MonotonicTime | null = null;
  #outputPart = FIRST_OUTPUT_PART;

  /** A call has arrived. */
  recordCall(
    call: { readonly tokens: ITokenEstimate; readonly now: MonotonicTime },
    engine: IEngineProfile,
    model: IModel,
  ): void {
    const output = call.tokens.output * this.#outputPart;
    const step = stepTime(engine, engine.slots, 0);
    const writing = (output * step) / engine.slots;
    const time = (prefillMs(engine, call.tokens.prompt) + writing) * model.pace;
    this.#decay(call.now);
    this.#rate += time / MEMORY;
  }

  /** An answer was written whole. @param written - tokens */
  recordOutput(written: number, announced: number): void {
    if (announced > 0) {
      const part = Math.min(1, written / announced);
      this.#outputPart += (part - this.#outputPart) * NEWEST_WEIGHT;
    }
  }

  /** Groups that are wholly busy with what arrives. */
  groupsNeeded(now: MonotonicTime): number {
    this.#decay(now);
    return this.#rate;
  }

  #decay(now: MonotonicTime): void {
    const gap = now - (this.#countedAt ?? now);
    this.#countedAt = now;
    this.#rate *= Math.exp(-gap / MEMORY);
  }
}
