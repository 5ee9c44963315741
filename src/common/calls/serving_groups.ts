/** The open groups of all models, and the requests in flight in each. */
import type { InstanceId, ServiceName, ZoneName } from "../types.ts";
import type { IGroupLoad } from "./group_choice.ts";
import type { ISendTarget } from "./types.ts";

/** A group that serves requests. */
export interface IServingGroup {
  /** Identifies one list of members; a changed list has another name. */
  readonly group: string;
  readonly service: ServiceName;
  readonly model: string;
  readonly head: ISendTarget;
  readonly zone: ZoneName;
  readonly slots: number;
  /** False while it only completes its requests because a member leaves. */
  readonly takesWork: boolean;
  /** Factor on its times in addition to its model's; above 1 it is slow. */
  readonly pace: number;
  /** True while only processes of its own zone are likely to reach it. */
  readonly isZoneOnly: boolean;
}

/** A group and its load. */
export interface ILoadedGroup extends IServingGroup, IGroupLoad {}

/** The groups known to this process. */
export class ServingGroups {
  #groups: readonly IServingGroup[] = [];
  readonly #ownInFlight = new Map<string, number>();
  /** Outstanding prefill time of this process's prompts, milliseconds. */
  readonly #ownPrefillTime = new Map<string, number>();
  #othersInFlight: ReadonlyMap<string, number> | null = null;

  /** Replaces all known groups. */
  replace(groups: readonly IServingGroup[]): void {
    this.#groups = groups;
  }

  /** Sets the requests of other processes in each group; null if unknown. */
  setOthersInFlight(counts: ReadonlyMap<string, number> | null): void {
    this.#othersInFlight = counts;
  }

  /** This process's requests in each group. */
  get ownInFlight(): ReadonlyMap<string, number> {
    return this.#ownInFlight;
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
        ownInFlight: this.#ownInFlight.get(group.group) ?? 0,
        othersInFlight:
          this.#othersInFlight && (this.#othersInFlight.get(group.group) ?? 0),
        ownPrefillTime: this.#ownPrefillTime.get(group.group) ?? 0,
      }));
  }

  isHead(id: InstanceId): boolean {
    return this.#groups.some(({ head }) => head.id === id);
  }

  /** @param prefillTime - prefill time of the prompt, milliseconds */
  recordSend(group: string, prefillTime: number): void {
    this.#ownInFlight.set(group, (this.#ownInFlight.get(group) ?? 0) + 1);
    this.#ownPrefillTime.set(
      group,
      (this.#ownPrefillTime.get(group) ?? 0) + prefillTime,
    );
  }

  /** A prompt has been prefilled, or will not be any more. */
  recordPrefillEnd(group: string, prefillTime: number): void {
    const left = (this.#ownPrefillTime.get(group) ?? 0) - prefillTime;
    this.#ownPrefillTime.set(group, Math.max(0, left));
  }

  recordEnd(group: string): void {
    const left = (this.#ownInFlight.get(group) ?? 1) - 1;
    if (left > 0) {
      this.#ownInFlight.set(group, left);
    } else {
      this.#ownInFlight.delete(group);
      this.#ownPrefillTime.delete(group);
    }
  }
}
