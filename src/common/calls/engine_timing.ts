/** What a group's times should be, by the published model of its engine. */
import type { IEngineProfile, IModel, ITokenEstimate } from "./types.ts";

/** Tokens in a thousand and in a million, as the published figures count. */
const THOUSAND = 1_000;
const MILLION = 1_000_000;

/** Milliseconds of one token step with so many requests writing. */
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

/** Milliseconds to read a prompt by itself. */
export function prefillMs(engine: IEngineProfile, prompt: number): number {
  const pairs = (prompt * prompt) / 2 / MILLION;
  return (
    prompt / engine.promptTokensPerMillisecond +
    pairs * engine.timePerMillionPairs
  );
}

/** Milliseconds between two events of a full group that reads no prompt. */
export function fullBatchGap(engine: IEngineProfile, model: IModel): number {
  const step = stepTime(engine, engine.slots, 0);
  return step * engine.stride * model.pace;
}

/**
 * Milliseconds between two events of a full group while one chunk of a prompt
 * is read.
 */
export function gapDuringPrefill(
  engine: IEngineProfile,
  model: IModel,
): number {
  return fullBatchGap(engine, model) + chunkTime(engine, model);
}

/** The same in the worst regular case: a chunk is read in each step. */
export function longestGap(engine: IEngineProfile, model: IModel): number {
  const reading = chunkTime(engine, model) * engine.stride;
  return fullBatchGap(engine, model) + reading;
}

function chunkTime(engine: IEngineProfile, model: IModel): number {
  return prefillMs(engine, engine.chunk) * model.pace;
}

/** Milliseconds from the start of reading to the last token, batch given. */
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
