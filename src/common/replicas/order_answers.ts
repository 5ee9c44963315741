/**
 * When each engine last answered an order. Reports lag behind, so one that was
 * requested sooner may show neither the effect of that order nor the number of
 * orders that the next one must name.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";

/** A join that did not fit the state of its engine. */
export interface IJoinConflict {
  readonly group: string;
  readonly expectedOrderCount: number;
}

/** Remembers the last answer of each engine to an order. */
export class OrderAnswers {
  readonly #answeredAt = new Map<InstanceId, MonotonicTime>();
  /** The last join of each engine, if it did not fit its state. */
  readonly #conflicts = new Map<InstanceId, IJoinConflict>();

  record(engine: InstanceId, now: MonotonicTime): void {
    this.#answeredAt.set(engine, now);
    this.#conflicts.delete(engine);
  }

  /** Records a join that did not fit the state of the engine. */
  recordConflict(
    engine: InstanceId,
    conflict: IJoinConflict,
    now: MonotonicTime,
  ): void {
    this.record(engine, now);
    this.#conflicts.set(engine, conflict);
  }

  /**
   * Whether the engine's report shows the effect of all orders that it has
   * answered.
   *
   * @param reportLag - milliseconds by which reports lag behind
   */
  areShown({ target, askedAt }: IEngineView, reportLag: number): boolean {
    const answeredAt = this.#answeredAt.get(target.id);
    return answeredAt === undefined || askedAt > answeredAt + reportLag;
  }

  /**
   * Whether the engine did not refuse its last join, of a given group, for
   * another order: its report shows the very number that the join named.
   */
  isConflictUnexplained(
    { target, orderCount }: IEngineView,
    group: string,
  ): boolean {
    const conflict = this.#conflicts.get(target.id);
    return (
      conflict?.group === group && conflict.expectedOrderCount === orderCount
    );
  }

  /** Removes the answers of engines that are not known any more. */
  retainOnly(known: { has(id: InstanceId): boolean }): void {
    for (const id of this.#answeredAt.keys()) {
      if (!known.has(id)) {
        this.#answeredAt.delete(id);
        this.#conflicts.delete(id);
      }
    }
  }

  clear(): void {
    this.#answeredAt.clear();
    this.#conflicts.clear();
  }
}
