/** Load profiles, and the requests and results of a run. */

/** A period in which a stream's rate is multiplied. */
export interface IBurst {
  /** Milliseconds from the start. */
  readonly from: number;
  /** Milliseconds from the start. */
  readonly until: number;
  /** Multiple of the stream's rate. */
  readonly factor: number;
}

/** Requests of one kind from one client account. */
export interface ILoadStream {
  readonly name: string;
  readonly credential: string;
  /** Service and operation, as `summarizer/headline`. */
  readonly operation: string;
  /** Requests per second outside bursts. */
  readonly rate: number;
  readonly bursts: readonly IBurst[];
  /** Mean number of words in a prompt, exponentially distributed. */
  readonly promptWords: number;
  /** Mean number of tokens requested, exponentially distributed. */
  readonly maximumTokens: number;
  /** Number of shared prompt prefixes, for engines that cache; 0 for none. */
  readonly sharedPrefixes: number;
  /** Whether each request carries an `Idempotency-Key` header. */
  readonly hasKey: boolean;
  /** Milliseconds within which a completed answer is on time. */
  readonly deadline: number;
}

/** All streams of a run. */
export interface ILoadProfile {
  readonly seed: number;
  /** Milliseconds. */
  readonly duration: number;
  readonly streams: readonly ILoadStream[];
}

/** One request, planned before the run so that every run is the same. */
export interface IArrival {
  readonly stream: ILoadStream;
  /** Milliseconds from the start at which it is due. */
  readonly at: number;
  readonly body: object;
  readonly key: string | null;
}

/** Result of one request. */
export interface ILoadResult {
  readonly stream: string;
  /** `completed`, `not_run`, `unknown`, or `reset` for a broken connection. */
  readonly outcome: string;
  /** Reason given for the outcome, or the name of an error; empty if none. */
  readonly reason: string;
  /** Milliseconds from when it was due to the first byte of the answer. */
  readonly firstByte: number;
  /** Milliseconds from when it was due to the end of the answer. */
  readonly total: number;
  /** Milliseconds between events of a streamed answer. */
  readonly gaps: readonly number[];
  readonly onTime: boolean;
}
