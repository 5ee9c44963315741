/**
 * Counts this daemon's calls to the platform. The platform counts each call, a
 * waiting watch as one, and its rates grow more slowly than the fleet: a daemon
 * whose rate rises is to be seen before the platform turns calls away.
 */
import type { Option, Result } from "ts-results-es";
import type { ICallFailure, IInstance } from "../types.ts";
import type {
  IConditionalWrite,
  IMetrics,
  IPlatform,
  IPlatformObject,
  IWatchResult,
  IWriteFailure,
} from "./services.ts";

/** Passes every call on; counts it when it is sent, and failures again. */
export class MeteredPlatform implements IPlatform {
  readonly #platform: IPlatform;
  readonly #metrics: IMetrics;
  #watches = 0;

  constructor(platform: IPlatform, metrics: IMetrics) {
    this.#platform = platform;
    this.#metrics = metrics;
  }

  read(
    kind: string,
    name: string,
  ): Promise<Result<Option<IPlatformObject>, ICallFailure>> {
    return this.#counted("read", kind, this.#platform.read(kind, name));
  }

  list(kind: string): Promise<Result<IWatchResult, ICallFailure>> {
    return this.#counted("list", kind, this.#platform.list(kind));
  }

  async watch(
    kind: string,
    after: number,
    options: { readonly timeout: number; readonly signal: AbortSignal },
  ): Promise<Result<IWatchResult, ICallFailure>> {
    const sent = this.#platform.watch(kind, after, options);
    this.#noteWatches(1);
    const found = await this.#counted("watch", kind, sent);
    this.#noteWatches(-1);
    return found;
  }

  write(write: IConditionalWrite): Promise<Result<number, IWriteFailure>> {
    const sent = this.#platform.write(write);
    return this.#counted("write", write.kind, sent);
  }

  remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<void, IWriteFailure>> {
    const sent = this.#platform.remove(kind, name, expectedVersion);
    return this.#counted("remove", kind, sent);
  }

  instances(): Promise<Result<readonly IInstance[], ICallFailure>> {
    return this.#counted("list", "instances", this.#platform.instances());
  }

  async #counted<T, E>(
    call: string,
    kind: string,
    sent: Promise<Result<T, E>>,
  ): Promise<Result<T, E>> {
    this.#metrics.count("platform_calls", { call, kind });
    const answer = await sent;
    if (answer.isErr()) {
      this.#metrics.count("platform_failures", { call, kind });
    }
    return answer;
  }

  #noteWatches(change: number): void {
    this.#watches += change;
    this.#metrics.gauge("platform_watches", this.#watches);
  }
}
