/** Reads a load profile, a YAML file checked in full before sending starts. */
import { readFileSync } from "node:fs";
import { Err } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { durationSchema } from "../common/plans/duration.ts";
import { checkDocument } from "../common/plans/findings.ts";
import type { IFinding } from "../common/plans/types.ts";
import type { ILoadProfile } from "./types.ts";

/** Highest rate that one tool may send, in requests per second. */
const LARGEST_RATE = 20_000;

const burstSchema = z.strictObject({
  from: durationSchema,
  until: durationSchema,
  factor: z.number().positive(),
});

const streamSchema = z.strictObject({
  name: z.string().min(1),
  credential: z.string().min(1),
  operation: z.string().regex(/^[^/]+\/[^/]+$/, "expected SERVICE/OPERATION"),
  rate: z.number().positive().max(LARGEST_RATE),
  bursts: z.array(burstSchema).default([]),
  prompt_words: z.number().int().positive().default(50),
  maximum_tokens: z.number().int().positive().default(40),
  shared_prefixes: z.number().int().nonnegative().default(0),
  key: z.boolean().default(false),
  deadline: durationSchema,
});

const profileSchema = z
  .strictObject({
    seed: z.number().int(),
    duration: durationSchema,
    streams: z.array(streamSchema).min(1),
  })
  .transform(({ seed, duration, streams }) => ({
    seed,
    duration,
    streams: streams.map((stream) => ({
      name: stream.name,
      credential: stream.credential,
      operation: stream.operation,
      rate: stream.rate,
      bursts: stream.bursts,
      promptWords: stream.prompt_words,
      maximumTokens: stream.maximum_tokens,
      sharedPrefixes: stream.shared_prefixes,
      hasKey: stream.key,
      deadline: stream.deadline,
    })),
  }));

/** Checks a profile and reports every finding with its line and path. */
export function checkProfile(
  source: string,
  text: string,
): Result<ILoadProfile, readonly IFinding[]> {
  return checkDocument(source, text, { schema: profileSchema }).map(
    ({ content }) => content,
  );
}

/** Reads and checks a profile file. */
export function readProfile(
  path: string,
): Result<ILoadProfile, readonly IFinding[]> {
  try {
    return checkProfile(path, readFileSync(path, "utf8"));
  } catch (error) {
    const message = `cannot be read: ${String(error)}`;
    return Err([{ source: path, line: 1, column: 1, path: "", message }]);
  }
}
