/** Generates the stand-in engine's deterministic text. */

const WORDS: readonly string[] = [
  "river",
  "market",
  "signal",
  "harbour",
  "council",
  "season",
  "bridge",
  "ledger",
];

/** Offset basis and prime of the 32-bit FNV-1a hash. */
const HASH_START = 2_166_136_261;
const HASH_FACTOR = 16_777_619;

/**
 * The text of one token. It depends only on the prompt and the token's index,
 * so a stream resumed on another group continues with the same words.
 */
export function tokenText(prompt: string, sequence: number): string {
  let hash = HASH_START;
  for (const character of `${sequence}:${prompt}`) {
    hash ^= character.codePointAt(0) ?? 0;
    hash = Math.imul(hash, HASH_FACTOR) >>> 0;
  }
  const word = WORDS[hash % WORDS.length] ?? "";
  return sequence === 0 ? word : ` ${word}`;
}

/** The text of an answer with the given number of tokens. */
export function wholeText(prompt: string, tokens: number): string {
  const parts = [];
  for (let sequence = 0; sequence < tokens; sequence++) {
    parts.push(tokenText(prompt, sequence));
  }
  return parts.join("");
}
