/**
 * Parses durations in settings and lists, which carry a unit: `250ms`, `5s`,
 * `2m`.
 */
import { z } from "zod";

const MILLISECONDS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const DURATION_PATTERN = /^(\d{1,9}(?:\.\d{1,9})?)(ms|s|m|h)$/;

/**
 * Maximum duration in milliseconds: one day. Timers overflow at 24 days and
 * would then fire immediately, again and again.
 */
const LONGEST_DURATION = 86_400_000;

/** Accepts a duration with its unit and converts it to milliseconds. */
export const durationSchema = z
  .string({ error: "expected a duration with its unit, such as 250ms or 5s" })
  .transform((text, context) => {
    const match = DURATION_PATTERN.exec(text);
    const unit = MILLISECONDS_PER_UNIT[match?.[2] ?? ""] ?? 0;
    const duration = Number(match?.[1] ?? 0) * unit;
    if (duration <= 0 || duration > LONGEST_DURATION) {
      context.addIssue({
        code: "custom",
        message:
          "expected a duration above 0 and up to 24h, such as 250ms, 5s or " +
          `2m; found ${text}`,
      });
      return z.NEVER;
    }
    return duration;
  });
