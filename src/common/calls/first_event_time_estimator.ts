/**
 * How soon a group that is not overloaded answers with the first event, beyond
 * reading the prompt. From it follows until when a waiting call can still be on
 * time. Kept low on purpose: a call is taken for late only if even a quick
 * group could not make up for its wait.
 */

/** Weight of a sample that is quicker than what is known. */
const QUICKER_WEIGHT = 1 / 4;

/** Weight of a slower one: a tenth, so the estimate stays near the quick end. */
const SLOWER_WEIGHT = 1 / 40;

/** The quick end of the first events of one model. */
export class FirstEventTimeEstimator {
  #time: number | null = null;

  /** Milliseconds beyond reading; 0 before the first answer. */
  get estimate(): number {
    return this.#time ?? 0;
  }

  /** A first event came. @param time - milliseconds beyond reading */
  addSample(time: number): void {
    if (this.#time === null) {
      this.#time = time;
      return;
    }
    const isQuicker = time < this.#time;
    const weight = isQuicker ? QUICKER_WEIGHT : SLOWER_WEIGHT;
    this.#time += (time - this.#time) * weight;
  }
}
