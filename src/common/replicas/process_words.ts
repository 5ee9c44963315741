/** What the lease holder last heard of each process. */
import type { MonotonicTime } from "../types.ts";
import type { IProcessWord } from "./exchange.ts";

/** A process that was not heard of for so long is not counted, milliseconds. */
const WORD_LIFETIME = 1_500;

interface IHeardWord {
  readonly word: IProcessWord;
  readonly heardAt: MonotonicTime;
}

/** Words of all processes but the holder. */
export class ProcessWords {
  readonly #words = new Map<string, IHeardWord>();

  heard(word: IProcessWord, now: MonotonicTime): void {
    this.#words.set(word.process, { word, heardAt: now });
  }

  /** Those heard of lately. */
  fresh(now: MonotonicTime): readonly IProcessWord[] {
    for (const [process, { heardAt }] of this.#words) {
      if (now - heardAt > WORD_LIFETIME) {
        this.#words.delete(process);
      }
    }
    return [...this.#words.values()].map(({ word }) => word);
  }
}

/** Adds up requests in flight, by group. */
export function sumInFlight(
  words: readonly Pick<IProcessWord, "inFlight">[],
): Map<string, number> {
  const sums = new Map<string, number>();
  for (const { inFlight } of words) {
    for (const [group, count] of Object.entries(inFlight)) {
      sums.set(group, (sums.get(group) ?? 0) + count);
    }
  }
  return sums;
}
