/**
 * Plans every request of a run in advance, from the profile and its seed.
 * The load is open-loop: a tool that waited for answers would send less to a
 * slow system and so hide the delays that it measures.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { IArrival, ILoadProfile, ILoadStream } from "./types.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Random sizes are capped at this multiple of their mean. */
const LARGEST_SIZE_FACTOR = 8;

const PREFIX_WORDS = 20;

/** All requests of a profile, ordered by time. */
export function planArrivals(profile: ILoadProfile): readonly IArrival[] {
  const arrivals = profile.streams.flatMap((stream, index) =>
    new StreamPlanner(stream, profile.seed + index).plan(profile.duration),
  );
  return arrivals.sort((left, right) => left.at - right.at);
}

/** Plans one stream with its own generator, independently of other streams. */
class StreamPlanner {
  readonly #stream: ILoadStream;
  readonly #generator;
  readonly #seed: number;

  constructor(stream: ILoadStream, seed: number) {
    this.#stream = stream;
    this.#seed = seed;
    this.#generator = xoroshiro128plus(seed);
  }

  plan(duration: number): IArrival[] {
    const arrivals: IArrival[] = [];
    const peakRate = this.#peakRate();
    let at = this.#interarrivalTime(peakRate);
    while (at < duration) {
      // Thinning: candidates arrive at the peak rate and are accepted in
      // proportion to the rate at their time.
      if (this.#uniform() * peakRate < this.#rateAt(at)) {
        arrivals.push(this.#createArrival(at, arrivals.length));
      }
      at += this.#interarrivalTime(peakRate);
    }
    return arrivals;
  }

  #createArrival(at: number, index: number): IArrival {
    const { hasKey, name } = this.#stream;
    const key = hasKey ? `${name}-${this.#seed}-${index}` : null;
    const maximumTokens = this.#randomSize(this.#stream.maximumTokens);
    const body = {
      prompt: this.#createPrompt(),
      maximum_tokens: maximumTokens,
    };
    return { stream: this.#stream, at, body, key };
  }

  #createPrompt(): string {
    const { sharedPrefixes } = this.#stream;
    const words = this.#randomSize(this.#stream.promptWords);
    const own = Array.from({ length: words }, () =>
      Math.floor(this.#uniform() * 10_000).toString(36),
    );
    if (sharedPrefixes === 0) {
      return own.join(" ");
    }
    const prefix = Math.floor(this.#uniform() * sharedPrefixes);
    const shared = Array<string>(PREFIX_WORDS).fill(`prefix${prefix}`);
    return [...shared, ...own].join(" ");
  }

  #rateAt(at: number): number {
    const { bursts, rate } = this.#stream;
    const burst = bursts.find(({ from, until }) => at >= from && at < until);
    return rate * (burst?.factor ?? 1);
  }

  #peakRate(): number {
    const { bursts, rate } = this.#stream;
    return rate * Math.max(1, ...bursts.map(({ factor }) => factor));
  }

  /** Milliseconds to the next candidate, exponentially distributed. */
  #interarrivalTime(rate: number): number {
    return (this.#exponential() * MILLISECONDS_PER_SECOND) / rate;
  }

  #randomSize(mean: number): number {
    const factor = Math.min(this.#exponential(), LARGEST_SIZE_FACTOR);
    return Math.max(1, Math.round(mean * factor));
  }

  #exponential(): number {
    return -Math.log(1 - this.#uniform());
  }

  #uniform(): number {
    return uniformFloat64(this.#generator);
  }
}
