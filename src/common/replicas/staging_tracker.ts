/** Loads onto hosts that were ordered and are not known to have ended. */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { EngineViews } from "./group_controller.ts";

/**
 * Multiple of the load time after which a load that no report shows as done is
 * considered ended.
 */
const TIMEOUT_FACTOR = 2.5;

interface IStaging {
  readonly model: string;
  readonly until: MonotonicTime;
}

/** Tracks the model that each engine is staging. */
export class StagingTracker {
  readonly #loads = new Map<InstanceId, IStaging>();

  /** The model that each engine loads. */
  get models(): ReadonlyMap<InstanceId, string> {
    return new Map([...this.#loads].map(([id, { model }]) => [id, model]));
  }

  isStaging(id: InstanceId): boolean {
    return this.#loads.has(id);
  }

  handleStarted(
    id: InstanceId,
    model: string,
    times: { readonly now: MonotonicTime; readonly loadTime: number },
  ): void {
    const until = times.now + times.loadTime * TIMEOUT_FACTOR;
    this.#loads.set(id, { model, until });
  }

  /** Handles an order that was not accepted. */
  handleFailed(id: InstanceId): void {
    this.#loads.delete(id);
  }

  /**
   * Removes loads that a report shows on the host, and those that took too
   * long.
   */
  removeEnded(views: EngineViews, now: MonotonicTime): void {
    for (const [id, { model, until }] of this.#loads) {
      const isDone = views.get(id)?.state?.staged.includes(model) ?? false;
      if (isDone || now >= until) {
        this.#loads.delete(id);
      }
    }
  }
}
