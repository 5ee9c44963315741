/** The open groups of all models, and how many requests each has. */
import type { InstanceId, ServiceName, ZoneName } from "../types.ts";
import type { IGroupLoad } from "./group_choice.ts";
import type { ISendTarget } from "./types.ts";

/** A group that takes requests. */
export interface IServingGroup {
  /** Names one list of members; a changed list has another name. */
  readonly group: string;
  readonly service: ServiceName;
  readonly model: string;
  readonly head: ISendTarget;
  readonly zone: ZoneName;
  readonly slots: number;
  /** False while it finishes what it has because a member leaves. */
  readonly takesWork: boolean;
  /** Factor on its times beside those of its model; over 1 it is slow. */
  readonly pace: number;
  /** True while only processes of its own zone are likely to reach it. */
  readonly isZoneOnly: boolean;
}

/** A group with what is in it. */
export interface ILoadedGroup extends IServingGroup, IGroupLoad {}

/** Groups as believed by this process. */
export class ServingGroups {
  #groups: readonly IServingGroup[] = [];
  readonly #own = new Map<string, number>();
  /** Milliseconds of this process's unread prompts in each group. */
  readonly #reading = new Map<string, number>();
  #others: ReadonlyMap<string, number> | null = null;

  /** Replaces the belief. */
  replace(groups: readonly IServingGroup[]): void {
    this.#groups = groups;
  }

  /** Requests in each group that others have sent; null when not known. */
  setOthersInFlight(counts: ReadonlyMap<string, number> | null): void {
    this.#others = counts;
  }

  /** This process's requests in each group. */
  get ownInFlight(): ReadonlyMap<string, number> {
    return this.#own;
  }

  get all(): readonly IServingGroup[] {
    return this.#groups;
  }

  ofModel(service: ServiceName, model: string): readonly ILoadedGroup[] {
    return this.#groups
      .filter(
        (group) =>
          group.takesWork && group.service === service && group.model === model,
      )
      .map((group) => ({
        ...group,
        ownInFlight: this.#own.get(group.group) ?? 0,
        othersInFlight: this.#others && (this.#others.get(group.group) ?? 0),
        ownPrefillTime: this.#reading.get(group.group) ?? 0,
      }));
  }

  isHead(id: InstanceId): boolean {
    return this.#groups.some(({ head }) => head.id === id);
  }

  /** @param readTime - milliseconds its prompt takes to read */
  recordSend(group: string, readTime: number): void {
    this.#own.set(group, (this.#own.get(group) ?? 0) + 1);
    this.#reading.set(group, (this.#reading.get(group) ?? 0) + readTime);
  }

  /** A prompt was read, or will not be any more. */
  recordPrefillEnd(group: string, readTime: number): void {
    const left = (this.#reading.get(group) ?? 0) - readTime;
    this.#reading.set(group, Math.max(0, left));
  }

  recordEnd(group: string): void {
    const left = (this.#own.get(group) ?? 1) - 1;
    if (left > 0) {
      this.#own.set(group, left);
    } else {
      this.#own.delete(group);
      this.#reading.delete(group);
    }
  }
}
