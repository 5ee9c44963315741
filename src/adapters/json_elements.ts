/**
 * Splits a JSON text into values that are not parsed, so that a value which
 * exceeds a bound does not cost the others. Counts as {@link measureJson} does.
 * Of a text that is not JSON the parts are arbitrary, and fail to be parsed.
 */

/** A value within a text. */
export interface IJsonRange {
  /** Index of its first character. */
  readonly start: number;
  /** Index after its last character. */
  readonly end: number;
  /** Values that parsing it would produce, at most. */
  readonly values: number;
}

/** An array within the outermost object of a text. */
export interface ISplitArray {
  readonly elements: Iterable<IJsonRange>;
  /** The text, with nothing in the array. */
  readonly rest: string;
}

/** Members of an object that are looked at. */
const MOST_MEMBERS = 100;

const enum Code {
  Quote = 0x22,
  Comma = 0x2c,
  Colon = 0x3a,
  OpeningBracket = 0x5b,
  Backslash = 0x5c,
  ClosingBracket = 0x5d,
  OpeningBrace = 0x7b,
  ClosingBrace = 0x7d,
}

const SPACE = /\s*/y;
/** A number, or true, false or null. */
const SCALAR = /[^\s,\]}]*/y;

/**
 * Finds the array under a key of the outermost object.
 *
 * @returns null if there is none
 */
export function splitArray(text: string, key: string): ISplitArray | null {
  const found = findMember(text, skipSpace(text, 0), key);
  if (found === null || text.charCodeAt(found.start) !== Code.OpeningBracket) {
    return null;
  }
  const { start, end } = found;
  const rest = `${text.slice(0, start + 1)}${text.slice(end - 1)}`;
  return { elements: elementsIn(text, found), rest };
}

function* elementsIn(
  text: string,
  { start, end }: IJsonRange,
): Generator<IJsonRange> {
  let index = skipSpace(text, start + 1);
  while (index < end - 1) {
    const element = measureValue(text, index);
    yield element;
    index = skipSpace(text, element.end);
    if (text.charCodeAt(index) !== Code.Comma) {
      return;
    }
    index = skipSpace(text, index + 1);
  }
}

/**
 * Finds the value under a key of an object.
 *
 * @param start - index of the object's opening brace
 * @returns null if there is none
 */
export function findMember(
  text: string,
  start: number,
  key: string,
): IJsonRange | null {
  if (text.charCodeAt(start) !== Code.OpeningBrace) {
    return null;
  }
  const quoted = JSON.stringify(key);
  let index = skipSpace(text, start + 1);
  for (let members = 0; members < MOST_MEMBERS; members += 1) {
    if (text.charCodeAt(index) !== Code.Quote) {
      return null;
    }
    const name = measureValue(text, index);
    index = skipSpace(text, name.end);
    if (text.charCodeAt(index) !== Code.Colon) {
      return null;
    }
    const value = measureValue(text, skipSpace(text, index + 1));
    if (text.slice(name.start, name.end) === quoted) {
      return value;
    }
    index = skipSpace(text, value.end);
    if (text.charCodeAt(index) !== Code.Comma) {
      return null;
    }
    index = skipSpace(text, index + 1);
  }
  return null;
}

/** Measures the value that begins at an index. */
function measureValue(text: string, start: number): IJsonRange {
  let values = 1;
  let depth = 0;
  let index = start;
  do {
    const code = text.charCodeAt(index);
    if (code === Code.Quote) {
      index = endOfString(text, index);
    } else if (code === Code.OpeningBracket || code === Code.OpeningBrace) {
      values += 1;
      depth += 1;
      index += 1;
    } else if (code === Code.ClosingBracket || code === Code.ClosingBrace) {
      depth -= 1;
      index += 1;
    } else if (code === Code.Comma || code === Code.Colon) {
      values += 1;
      index += 1;
    } else {
      index = endOfMatch(SCALAR, text, index);
      index = skipSpace(text, index);
    }
  } while (depth > 0 && index < text.length);
  return { start, end: Math.min(index, text.length), values };
}

function endOfString(text: string, start: number): number {
  let end = start;
  do {
    end = text.indexOf('"', end + 1);
    if (end === -1) {
      return text.length;
    }
  } while (isEscaped(text, end));
  return end + 1;
}

function isEscaped(text: string, index: number): boolean {
  let backslashes = 0;
  while (text.charCodeAt(index - 1 - backslashes) === Code.Backslash) {
    backslashes += 1;
  }
  return backslashes % 2 === 1;
}

function skipSpace(text: string, index: number): number {
  return endOfMatch(SPACE, text, index);
}

function endOfMatch(pattern: RegExp, text: string, index: number): number {
  pattern.lastIndex = index;
  pattern.test(text);
  return pattern.lastIndex;
}
