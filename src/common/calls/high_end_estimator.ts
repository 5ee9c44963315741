/**
 * Estimates the high end of a time or a factor. It rises quickly and falls
 * slowly, so that few samples are above it.
 */

/** Weight of a sample above the estimate. */
const HIGHER_SAMPLE_WEIGHT = 1 / 4;

/** Weight of one below it. */
const LOWER_SAMPLE_WEIGHT = 1 / 40;

/** The high end of the samples of one quantity. */
export class HighEndEstimator {
  #estimate: number | null = null;

  /** Null before the first sample. */
  get estimate(): number | null {
    return this.#estimate;
  }

  addSample(sample: number): void {
    const estimate = this.#estimate ?? sample;
    const isHigher = sample > estimate;
    const weight = isHigher ? HIGHER_SAMPLE_WEIGHT : LOWER_SAMPLE_WEIGHT;
    this.#estimate = estimate + (sample - estimate) * weight;
  }
}
