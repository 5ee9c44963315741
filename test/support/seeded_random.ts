/** Random numbers that are reproducible from a seed. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { IRandom } from "../../src/common/services/services.ts";

/** Uses a generator of pure-rand. */
export class SeededRandom implements IRandom {
  readonly #generator;
  #identifiers = 0;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.#generator);
  }

  identifier(): string {
    this.#identifiers += 1;
    return `identifier-${this.#identifiers}`;
  }
}
