/**
 * The model of each engine's last group since its start. An engine keeps it
 * after leaving the group, and can join it again at once.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";

interface ILoadedModel {
  readonly model: string;
  readonly joinedAt: MonotonicTime;
  readonly startedAt: number;
}

/** Tracks loaded models from accepted orders, else from reports. */
export class LoadedModels {
  readonly #loaded = new Map<InstanceId, ILoadedModel>();

  /** Records that an engine accepted the order to join a group of the model. */
  recordJoin(view: IEngineView, model: string, now: MonotonicTime): void {
    const { id } = view.target;
    const { startedAt } = view;
    this.#loaded.set(id, { model, joinedAt: now, startedAt });
  }

  /**
   * Whether the latest report may predate the engine's join.
   *
   * @param reportLag - milliseconds by which reports lag behind
   */
  isUnconfirmed(view: IEngineView, reportLag: number): boolean {
    const known = this.#loaded.get(view.target.id);
    return known !== undefined && view.askedAt <= known.joinedAt + reportLag;
  }

  /** Returns null if the engine is not known to have been in a group. */
  modelOf(view: IEngineView): string | null {
    const known = this.#loaded.get(view.target.id);
    if (known !== undefined && known.startedAt === view.startedAt) {
      return known.model;
    }
    return view.state?.model ?? null;
  }

  /** Removes engines that are no longer known. */
  retainOnly(views: ReadonlyMap<InstanceId, IEngineView>): void {
    for (const id of this.#loaded.keys()) {
      if (!views.has(id)) {
        this.#loaded.delete(id);
      }
    }
  }
}
