/**
 * Orders to join that no engine has answered. Each may be carried out seconds
 * later, also after the engine has left the group: it is then a member again.
 */
import type { InstanceId, MonotonicTime } from "../types.ts";

/** How long after it was sent an order may be carried out, milliseconds. */
const LATE_ORDER_TIME = 15_000;

interface IUnansweredJoin {
  readonly member: InstanceId;
  readonly group: string;
  readonly at: MonotonicTime;
}

/** Remembers the unanswered joins of one process. */
export class UnansweredJoins {
  #joins: readonly IUnansweredJoin[] = [];

  record(member: InstanceId, group: string, now: MonotonicTime): void {
    this.#joins = [...this.#joins, { member, group, at: now }];
  }

  /** Groups that an engine may still join by an earlier order. */
  groupsOf(member: InstanceId): readonly string[] {
    return this.#joins
      .filter((join) => join.member === member)
      .map(({ group }) => group);
  }

  removeExpired(now: MonotonicTime): void {
    this.#joins = this.#joins.filter(({ at }) => now - at <= LATE_ORDER_TIME);
  }

  clear(): void {
    this.#joins = [];
  }
}
