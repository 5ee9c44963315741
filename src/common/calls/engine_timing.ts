/** The expected times of a group, by the published profile of its engine. */
import type { IEngineProfile, IModel, ITokenEstimate } from "./types.ts";

/** Units of the published figures: 1,000 tokens, 1,000,000 token pairs. */
const THOUSAND = 1_000;
const MILLION = 1_000_000;

/** Milliseconds of one token step with `running` requests in decoding. */
export function stepTime(
  engine: IEngineProfile,
  running: number,
  contextTokens: number,
): number {
  return (
    engine.stepTime +
    engine.stepTimePerRequest * running +
    (engine.stepTimePerThousandTokens * contextTokens) / THOUSAND
  );
}

/** Milliseconds of prefill for a prompt by itself. */
export function prefillMs(engine: IEngineProfile, prompt: number): number {
  const pairs = (prompt * prompt) / 2 / MILLION;
  return (
    prompt / engine.promptTokensPerMillisecond +
    pairs * engine.timePerMillionPairs
  );
}

/** Milliseconds between two events of a full group without prefill. */
export function fullBatchGap(engine: IEngineProfile, model: IModel): number {
  const step = stepTime(engine, engine.slots, 0);
  return step * engine.stride * model.pace;
}

/**
 * Milliseconds between two events of a full group while one chunk of a prompt
 * is prefilled.
 */
export function gapDuringPrefill(
  engine: IEngineProfile,
  model: IModel,
): number {
  return fullBatchGap(engine, model) + chunkTime(engine, model);
}

/** The same as {@link gapDuringPrefill}, but each step prefills a chunk. */
export function longestGap(engine: IEngineProfile, model: IModel): number {
  const prefill = chunkTime(engine, model) * engine.stride;
  return fullBatchGap(engine, model) + prefill;
}

function chunkTime(engine: IEngineProfile, model: IModel): number {
  return prefillMs(engine, engine.chunk) * model.pace;
}

/** Milliseconds from the start of prefill to the last token, in a batch. */
export function runTime(
  engine: IEngineProfile,
  model: IModel,
  work: { readonly tokens: ITokenEstimate; readonly running: number },
): number {
  const { tokens, running } = work;
  const context = tokens.prompt * running;
  const step = stepTime(engine, running, context);
  return (prefillMs(engine, tokens.prompt) + step * tokens.output) * model.pace;
}
