/**
 * The model of each engine's last group since its start. An engine keeps it
 * after it has left the group, and joins it again at once.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";

interface ILoaded {
  readonly model: string;
  readonly joinedAt: MonotonicTime;
  readonly startedAt: number;
}

/** Learned from orders that were accepted, else from reports. */
export class LoadedModels {
  readonly #loaded = new Map<InstanceId, ILoaded>();

  /** The engine has accepted the order to join a group of the model. */
  recordJoin(view: IEngineView, model: string, now: MonotonicTime): void {
    const { id } = view.target;
    const { startedAt } = view;
    this.#loaded.set(id, { model, joinedAt: now, startedAt });
  }

  /**
   * Whether the newest report may be of the time before the engine joined.
   *
   * @param reportLag - milliseconds by which reports describe the past
   */
  isUnconfirmed(view: IEngineView, reportLag: number): boolean {
    const known = this.#loaded.get(view.target.id);
    return known !== undefined && view.askedAt <= known.joinedAt + reportLag;
  }

  /** Null where it is not known to have been in a group. */
  modelOf(view: IEngineView): string | null {
    const known = this.#loaded.get(view.target.id);
    if (known !== undefined && known.startedAt === view.startedAt) {
      return known.model;
    }
    return view.state?.model ?? null;
  }

  /** Forgets engines that are known no longer. */
  retainOnly(views: ReadonlyMap<InstanceId, IEngineView>): void {
    for (const id of this.#loaded.keys()) {
      if (!views.has(id)) {
        this.#loaded.delete(id);
      }
    }
  }
}
