/** What the load tool sends and what it tells of the answers. */

/** How a stream's rate changes while it runs. */
export interface IBurst {
  /** Milliseconds from the start. */
  readonly from: number;
  /** Milliseconds from the start. */
  readonly until: number;
  /** Times the ordinary rate. */
  readonly factor: number;
}

/** Requests of one kind from one client account. */
export interface ILoadStream {
  readonly name: string;
  readonly credential: string;
  /** Service and operation, as `summarizer/headline`. */
  readonly operation: string;
  /** Requests a second outside bursts. */
  readonly rate: number;
  readonly bursts: readonly IBurst[];
  /** Words of an ordinary prompt; the sizes are spread exponentially. */
  readonly promptWords: number;
  /** Tokens asked for by an ordinary request; spread likewise. */
  readonly maximumTokens: number;
  /** Prompts that share a prefix, for engines that cache; 0 shares none. */
  readonly sharedPrefixes: number;
  /** Whether each request carries an Idempotency-Key. */
  readonly hasKey: boolean;
  /** Milliseconds within which an answer counts as on time. */
  readonly deadline: number;
}

/** A whole run. */
export interface ILoadProfile {
  readonly seed: number;
  /** Milliseconds. */
  readonly duration: number;
  readonly streams: readonly ILoadStream[];
}

/** One request, decided before the run so that every run is the same. */
export interface IArrival {
  readonly stream: ILoadStream;
  /** Milliseconds from the start at which it is due. */
  readonly at: number;
  readonly body: object;
  readonly key: string | null;
}

/** What became of one request. */
export interface ILoadResult {
  readonly stream: string;
  /** `completed`, `not_run`, `unknown`, or `reset` for a broken connection. */
  readonly outcome: string;
  /** The reason given with a refusal; empty otherwise. */
  readonly reason: string;
  /** Milliseconds from when it was due to the first byte of the answer. */
  readonly firstByte: number;
  /** Milliseconds from when it was due to the end of the answer. */
  readonly total: number;
  /** Milliseconds between events of a streamed answer. */
  readonly gaps: readonly number[];
  readonly onTime: boolean;
}
