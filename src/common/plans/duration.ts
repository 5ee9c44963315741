/** Durations in settings and lists carry their unit: `250ms`, `5s`, `2m`. */
import { z } from "zod";

const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;

/** Accepts a duration with its unit and yields milliseconds. */
export const durationSchema = z
  .string({ error: "expected a duration with its unit, such as 250ms or 5s" })
  .transform((text, context) => {
    const match = DURATION_PATTERN.exec(text);
    const unit = match?.[2] === undefined ? 0 : MILLISECONDS_PER_UNIT[match[2]];
    if (match === null || unit === undefined) {
      context.addIssue({
        code: "custom",
        message: `expected a duration such as 250ms, 5s, 2m; found ${text}`,
      });
      return z.NEVER;
    }
    return Number(match[1]) * unit;
  });
