/** Reads a text file of limited size that a user has named. */
import { readFileSync, statSync } from "node:fs";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import {
  MAXIMUM_TEXT_LENGTH,
  documentFinding,
} from "../common/plans/findings.ts";
import type { IFinding } from "../common/plans/types.ts";

/** Maximum size in UTF-8 of a text with `MAXIMUM_TEXT` characters. */
const MAXIMUM_BYTES = 4 * MAXIMUM_TEXT_LENGTH;

/** Returns the file's text, or why it cannot be read. */
export function readTextFile(
  path: string,
): Result<string, readonly IFinding[]> {
  try {
    const { size } = statSync(path);
    if (size > MAXIMUM_BYTES) {
      const message = `longer than ${MAXIMUM_TEXT_LENGTH} characters`;
      return Err([documentFinding(path, message)]);
    }
    const decoder = new TextDecoder("utf-8", { fatal: true });
    return Ok(decoder.decode(readFileSync(path)));
  } catch (error) {
    const isBadText = error instanceof TypeError;
    const detail = isBadText ? "it is not UTF-8 text" : String(error);
    return Err([documentFinding(path, `cannot be read: ${detail}`)]);
  }
}
