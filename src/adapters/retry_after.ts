/** Decodes the HTTP header `Retry-After`, as far as targets send it. */

const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;

const MILLISECONDS_A_SECOND = 1_000;

/**
 * @param value - seconds, also with a fraction
 * @returns milliseconds; null for any other value
 */
export function decodeRetryAfter(
  value: string | string[] | undefined,
): number | null {
  const isNumber = typeof value === "string" && DECIMAL_NUMBER.test(value);
  return isNumber ? Number(value) * MILLISECONDS_A_SECOND : null;
}
