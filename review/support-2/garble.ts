/** When runners repeat answers, and how many of them, within the site's doses. */
import { performance } from "node:perf_hooks";
import { HAS_TROUBLE } from "./deployment.ts";

/** Milliseconds for which the disruption lasts each time. */
const LENGTH = 5_000;

/** Share of the answers of all faulty runners meanwhile. */
const LARGEST_SHARE = 0.03;

/** Second answers of the faulty runners of a case. */
export class Garble {
  #until = Number.NEGATIVE_INFINITY;
  #answers = 0;
  #repeated = 0;

  /** Begins, for {@link LENGTH}. */
  begin(): void {
    this.#until = performance.now() + LENGTH;
  }

  /**
   * Counts an answer of a faulty runner; returns whether it is repeated.
   *
   * @param isChosen - whether it is one that the case wants repeated
   */
  repeats(isChosen: boolean): boolean {
    if (!HAS_TROUBLE || performance.now() > this.#until) {
      return false;
    }
    this.#answers += 1;
    const share = (this.#repeated + 1) / this.#answers;
    const isRepeated = isChosen && share <= LARGEST_SHARE;
    this.#repeated += isRepeated ? 1 : 0;
    return isRepeated;
  }

  /** What was repeated, for the record. */
  get dose(): string {
    return `${this.#repeated} of ${this.#answers} answers repeated`;
  }
}
