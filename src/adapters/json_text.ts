/**
 * Measures a JSON text before it is parsed: its values take far more memory than
 * their text, and deeply nested ones exhaust the stack of whatever reads them.
 */

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const OPENING = new Set([..."[{"].map((text) => text.charCodeAt(0)));
const CLOSING = new Set([..."]}"].map((text) => text.charCodeAt(0)));
const SEPARATORS = new Set([...",:"].map((text) => text.charCodeAt(0)));

/** Bounds on a text, or on several that belong together. */
export interface IJsonBounds {
  /** Bytes. */
  readonly bytes: number;
  /** As {@link measureJson} counts them. */
  readonly values: number;
}

/** What remains of the bounds on texts that belong together. */
export class JsonBudget {
  #bytes: number;
  #values: number;

  constructor({ bytes, values }: IJsonBounds) {
    this.#bytes = bytes;
    this.#values = values;
  }

  /** Bytes of the next text. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Returns false for a text with more values than remain. */
  take(text: string): boolean {
    const { values } = measureJson(text);
    this.takeMeasured({ bytes: Buffer.byteLength(text), values });
    return this.#values >= 0;
  }

  /** Whether a text of so many bytes and values is within what remains. */
  has({ bytes, values }: IJsonBounds): boolean {
    return bytes <= this.#bytes && values <= this.#values;
  }

  takeMeasured({ bytes, values }: IJsonBounds): void {
    this.#bytes -= bytes;
    this.#values -= values;
  }
}

/** What parsing a text would produce, if it is valid. */
export interface IJsonMeasure {
  /** Values at most. */
  readonly values: number;
  /** Arrays and objects within each other. */
  readonly depth: number;
}

/** Measures a text, whether it is valid or not. */
export function measureJson(text: string): IJsonMeasure {
  let values = 1;
  let depth = 0;
  let deepest = 0;
  let isString = false;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (isString) {
      index += code === BACKSLASH ? 1 : 0;
      isString = code !== QUOTE;
    } else if (code === QUOTE) {
      isString = true;
    } else if (OPENING.has(code)) {
      values += 1;
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (CLOSING.has(code)) {
      depth -= 1;
    } else if (SEPARATORS.has(code)) {
      values += 1;
    }
  }
  return { values, depth: deepest };
}
