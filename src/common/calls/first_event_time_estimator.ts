/**
 * Estimates how soon a group that is not overloaded sends the first event, not
 * counting the prefill of the prompt. It decides until when a waiting call can
 * still be on time. The estimate is deliberately low: a call counts as late
 * only if even a fast group could not make up for its wait.
 */

/** Weight of a sample below the estimate. */
const LOWER_SAMPLE_WEIGHT = 1 / 4;

/** Weight of one above it: a tenth, so the estimate stays near the fast end. */
const HIGHER_SAMPLE_WEIGHT = 1 / 40;

/** The fast end of the first event times of one model. */
export class FirstEventTimeEstimator {
  #estimate: number | null = null;

  /** Milliseconds without prefill; 0 before the first sample. */
  get estimate(): number {
    return this.#estimate ?? 0;
  }

  /** @param time - milliseconds to a first event, without prefill */
  addSample(time: number): void {
    if (this.#estimate === null) {
      this.#estimate = time;
      return;
    }
    const isLower = time < this.#estimate;
    const weight = isLower ? LOWER_SAMPLE_WEIGHT : HIGHER_SAMPLE_WEIGHT;
    this.#estimate += (time - this.#estimate) * weight;
  }
}
