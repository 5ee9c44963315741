/**
 * Counts this daemon's calls to the platform. The platform's rate limits count
 * every call, a pending watch as one, and grow more slowly than the fleet; the
 * metrics show a rising call rate before the platform rejects calls.
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

/** Delegates every call; counts calls when sent, and failures separately. */
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
    return this.#recordCall("read", kind, this.#platform.read(kind, name));
  }

  list(kind: string): Promise<Result<IWatchResult, ICallFailure>> {
    return this.#recordCall("list", kind, this.#platform.list(kind));
  }

  async watch(
    kind: string,
    after: number,
    options: { readonly timeout: number; readonly signal: AbortSignal },
  ): Promise<Result<IWatchResult, ICallFailure>> {
    const sent = this.#platform.watch(kind, after, options);
    this.#addWatches(1);
    const found = await this.#recordCall("watch", kind, sent);
    this.#addWatches(-1);
    return found;
  }

  write(write: IConditionalWrite): Promise<Result<number, IWriteFailure>> {
    const sent = this.#platform.write(write);
    return this.#recordCall("write", write.kind, sent);
  }

  remove(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<Result<void, IWriteFailure>> {
    const sent = this.#platform.remove(kind, name, expectedVersion);
    return this.#recordCall("remove", kind, sent);
  }

  instances(): Promise<Result<readonly IInstance[], ICallFailure>> {
    return this.#recordCall("list", "instances", this.#platform.instances());
  }

  async #recordCall<T, E>(
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

  #addWatches(change: number): void {
    this.#watches += change;
    this.#metrics.gauge("platform_watches", this.#watches);
  }
}
