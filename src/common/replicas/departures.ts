/** Members that have acknowledged an order to leave their group. */
import type { InstanceId, MonotonicTime } from "../types.ts";
import type { IEngineView } from "./engine_registry.ts";

interface IDeparture {
  readonly group: string;
  readonly at: MonotonicTime;
}

/** Remembers the group that each engine left last. */
export class Departures {
  readonly #departures = new Map<InstanceId, IDeparture>();

  record(member: InstanceId, group: string, now: MonotonicTime): void {
    this.#departures.set(member, { group, at: now });
  }

  hasLeft(member: InstanceId, group: string): boolean {
    return this.#departures.get(member)?.group === group;
  }

  /**
   * Whether an engine's report shows it in a group that it has left since.
   *
   * @param reportLag - milliseconds by which reports lag behind
   */
  isOutdated(
    { target, state, askedAt }: IEngineView,
    reportLag: number,
  ): boolean {
    const departure = this.#departures.get(target.id);
    return (
      departure !== undefined &&
      state?.membership?.group === departure.group &&
      askedAt <= departure.at + reportLag
    );
  }

  /** Removes the departures of engines that joined again or are gone. */
  forget(members: Iterable<InstanceId>): void {
    for (const member of members) {
      this.#departures.delete(member);
    }
  }

  /** Removes the departures of engines that are not known any more. */
  retainOnly(known: { has(id: InstanceId): boolean }): void {
    const gone = [...this.#departures.keys()].filter((id) => !known.has(id));
    this.forget(gone);
  }

  clear(): void {
    this.#departures.clear();
  }
}
