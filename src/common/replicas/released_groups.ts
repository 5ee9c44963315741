/**
 * Groups whose members were freed. Members that have not left one keep
 * reporting it until they join another.
 *
 * A head that has stopped takes no requests again, and the members of its group
 * may be joined elsewhere, as long as it is the same run of the engine. One that
 * restarts under its id counts its orders from zero, so that its first orders,
 * carried out late, may open it again.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";
import type { EngineViews } from "./group_controller.ts";

/** How long an abandoned group is reported to other processes, milliseconds. */
const ABANDONED_REPORT_TIME = 10_000;

interface IReleasedGroup {
  readonly at: MonotonicTime;
  /** The run of the head that has stopped; null if it may still be open. */
  stoppedHead: IEngineRun | null;
}

/** One run of an engine, from its start to its end. */
interface IEngineRun {
  readonly id: InstanceId;
  readonly startedAt: number;
}

/** Remembers the released groups of one service. */
export class ReleasedGroups {
  readonly #groups = new Map<string, IReleasedGroup>();

  /**
   * Records a group.
   *
   * @param stoppedHead - null if the head may still be open, and its members
   *   have left
   */
  add(
    name: string,
    release: {
      readonly at: MonotonicTime;
      readonly stoppedHead: IEngineView | null;
    },
  ): void {
    const { at, stoppedHead: head } = release;
    const stoppedHead =
      head === null ? null : { id: head.target.id, startedAt: head.startedAt };
    this.#groups.set(name, { at, stoppedHead });
  }

  /** Forgets that heads have stopped that may have started again since. */
  updateHeads(views: EngineViews): void {
    for (const group of this.#groups.values()) {
      const { stoppedHead } = group;
      const view = views.get(stoppedHead?.id ?? "");
      const isSameRun =
        isObserved(view) && view.startedAt === stoppedHead?.startedAt;
      if (!isSameRun) {
        group.stoppedHead = null;
      }
    }
  }

  has(name: string): boolean {
    return this.#groups.has(name);
  }

  /** When a group was released; null if it was not. */
  releasedAt(name: string): MonotonicTime | null {
    return this.#groups.get(name)?.at ?? null;
  }

  /** Whether a group's head has stopped for certain. */
  hasHeadStopped(name: string): boolean {
    return (this.#groups.get(name)?.stoppedHead ?? null) !== null;
  }

  /** Groups that other processes may not know yet as abandoned. */
  recent(now: MonotonicTime): readonly string[] {
    return [...this.#groups]
      .filter(([, { at }]) => now - at < ABANDONED_REPORT_TIME)
      .map(([name]) => name);
  }

  clear(): void {
    this.#groups.clear();
  }
}

/** Whether a restart of the engine would be seen. */
export function isObserved(
  view: IEngineView | null | undefined,
): view is IEngineView {
  return view?.isListed === true && !view.isSilent;
}
