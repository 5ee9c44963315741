/**
 * Forms replica groups in one fabric domain. A function without side effects:
 * it maps the known state to the wanted groups.
 *
 * A group never spans domains and an instance is in at most one group of the
 * record, so "no instance in two groups" needs no agreement beyond the one
 * conditional write of the record. A complete group is never dissolved. An
 * incomplete one is kept unchanged until it can be healed: its lost member may
 * only have paused, and then heals the group by returning, without any write.
 * Only where no instance is free is an incomplete group dissolved, if its
 * members can heal another.
 */
import type {
  IInstance,
  InstanceId,
  ITimestampedReport,
  MonotonicTime,
  ServiceName,
} from "../types.ts";
import { TargetState } from "../types.ts";
import type { MemberMonitor } from "./member_monitor.ts";
import type { IDomainRecord, IReplicaGroup } from "./types.ts";

/** The number of groups of a service that a domain should have. */
export interface IWantedGroups {
  readonly service: ServiceName;
  readonly model: string;
  readonly count: number;
}

/** The state that formation depends on besides the record. */
export interface IFormationView {
  readonly instances: readonly IInstance[];
  readonly reports: ReadonlyMap<InstanceId, ITimestampedReport>;
  readonly monitor: MemberMonitor;
  /** When an order to each instance was last answered or abandoned. */
  readonly orderedAt: ReadonlyMap<InstanceId, MonotonicTime>;
  readonly now: MonotonicTime;
}

/** Limits of formation. */
export interface IFormationPolicy {
  readonly membersPerGroup: number;
  /** Maximum age of a report of a present member, milliseconds. */
  readonly freshness: number;
  /** How long an engine may act on an order after receipt, milliseconds. */
  readonly orderValidity: number;
  /** Engines of a domain that may load from the weight store at once. */
  readonly concurrentLoads: number;
}

/** The part of a record that formation changes. */
export type GroupChange = Pick<IDomainRecord, "groups" | "nextGroup">;

/** The next groups of a record, or null when nothing changes. */
export function planGroupChange(
  record: IDomainRecord,
  wanted: readonly IWantedGroups[],
  view: IFormationView,
  policy: IFormationPolicy,
): GroupChange | null {
  const planner = new GroupPlanner(record, view, policy);
  planner.removeUnserved(wanted);
  planner.heal();
  planner.mergeIncomplete();
  planner.formMissing(wanted);
  return planner.result();
}

/** Plans changes on a copy of a record's groups. */
class GroupPlanner {
  readonly #record: IDomainRecord;
  readonly #view: IFormationView;
  readonly #policy: IFormationPolicy;
  #free: InstanceId[];
  #groups: IReplicaGroup[];
  #nextGroup: number;
  #isChanged = false;

  constructor(
    record: IDomainRecord,
    view: IFormationView,
    policy: IFormationPolicy,
  ) {
    this.#record = record;
    this.#view = view;
    this.#policy = policy;
    this.#groups = [...record.groups];
    this.#nextGroup = record.nextGroup;
    this.#free = this.#findFree();
  }

  /**
   * Removes groups of services that are no longer served. A group beyond the
   * wanted count is kept: the count follows the platform's lagging list, and an
   * incomplete list must not dissolve complete groups.
   */
  removeUnserved(wanted: readonly IWantedGroups[]): void {
    const services = new Set(wanted.map((entry) => entry.service));
    const kept = this.#groups.filter((group) => services.has(group.service));
    this.#isChanged ||= kept.length < this.#groups.length;
    this.#groups = kept;
  }

  /**
   * Replaces lost members by free instances, groups that lack the fewest first.
   */
  heal(): void {
    for (const group of this.#incomplete()) {
      if (this.#absentMembers(group).length <= this.#free.length) {
        this.#regenerate(group);
      }
    }
  }

  /** Dissolves the most incomplete group while its members can heal another. */
  mergeIncomplete(): void {
    const incomplete = this.#incomplete();
    const service = incomplete[0]?.service;
    const worst = incomplete.findLast((group) => group.service === service);
    const best = incomplete[0];
    if (worst === undefined || best === undefined || worst === best) {
      return;
    }
    const released = worst.members.filter((member) => this.#isUsable(member));
    if (
      this.#absentMembers(best).length >
      this.#free.length + released.length
    ) {
      return;
    }
    this.#groups = this.#groups.filter((group) => group !== worst);
    this.#free.push(...released);
    this.heal();
    this.mergeIncomplete();
  }

  /** Forms groups from free instances until the wanted counts are met. */
  formMissing(wanted: readonly IWantedGroups[]): void {
    for (const { service, model, count } of wanted) {
      const existing = this.#groups.filter(
        (group) => group.service === service,
      );
      for (let index = existing.length; index < count; index++) {
        if (this.#free.length < this.#policy.membersPerGroup) {
          return;
        }
        this.#form(service, model);
      }
    }
  }

  result(): GroupChange | null {
    if (!this.#isChanged) {
      return null;
    }
    return { groups: this.#groups, nextGroup: this.#nextGroup };
  }

  #form(service: ServiceName, model: string): void {
    const members = this.#takeFree(this.#policy.membersPerGroup, model);
    this.#groups.push({
      id: `${this.#record.domain}/${this.#nextGroup}`,
      service,
      model,
      generation: 1,
      epoch: this.#record.epoch,
      members,
      incarnations: members.map((member) => this.#incarnation(member)),
    });
    this.#nextGroup += 1;
    this.#isChanged = true;
  }

  /**
   * Starts the group's next generation; the remaining members keep their ranks.
   */
  #regenerate(group: IReplicaGroup): void {
    const absent = this.#absentMembers(group);
    const spares = this.#takeFree(absent.length, group.model);
    const members = group.members.map((member) =>
      absent.includes(member) ? (spares.shift() ?? member) : member,
    );
    const next = {
      ...group,
      generation: group.generation + 1,
      epoch: this.#record.epoch,
      members,
      incarnations: members.map((member) => this.#incarnation(member)),
    };
    this.#groups = this.#groups.map((entry) =>
      entry === group ? next : entry,
    );
    this.#isChanged = true;
  }

  /**
   * Takes free instances, those that already hold the model's weights first.
   */
  #takeFree(count: number, model: string): InstanceId[] {
    const holds = (id: InstanceId) =>
      this.#view.reports.get(id)?.report.model === model;
    const ordered = [
      ...this.#free.filter(holds),
      ...this.#free.filter((id) => !holds(id)),
    ];
    const taken = ordered.slice(0, count);
    this.#free = this.#free.filter((id) => !taken.includes(id));
    return taken;
  }

  /** Groups with lost members, those that lack the fewest first. */
  #incomplete(): readonly IReplicaGroup[] {
    return this.#groups
      .filter((group) => this.#lostMembers(group).length > 0)
      .sort(
        (left, right) =>
          this.#lostMembers(left).length - this.#lostMembers(right).length,
      );
  }

  /** Members that are lost or have restarted since the group was formed. */
  #lostMembers(group: IReplicaGroup): readonly InstanceId[] {
    const { monitor, now } = this.#view;
    return group.members.filter((member, rank) => {
      const known = this.#view.reports.get(member)?.report.incarnation;
      const isRestarted =
        known !== undefined && known !== group.incarnations[rank];
      return isRestarted || monitor.isLost(member, now);
    });
  }

  /** Lost members that cannot resume their own place. */
  #absentMembers(group: IReplicaGroup): readonly InstanceId[] {
    return this.#lostMembers(group).filter((member) => !this.#isUsable(member));
  }

  #findFree(): InstanceId[] {
    const assigned = new Set(this.#groups.flatMap((group) => group.members));
    return this.#view.instances
      .map((instance) => instance.id)
      .filter((id) => !assigned.has(id) && this.#isUsable(id))
      .sort();
  }

  /** Whether it has answered recently, is not leaving and is not held out. */
  #isUsable(id: InstanceId): boolean {
    const { reports, monitor, now } = this.#view;
    const seen = reports.get(id);
    return (
      seen !== undefined &&
      now - seen.seenAt <= this.#policy.freshness &&
      seen.report.state !== TargetState.Leaving &&
      !monitor.isLost(id, now) &&
      !monitor.isHeldOut(id, now)
    );
  }

  #incarnation(id: InstanceId): string {
    return this.#view.reports.get(id)?.report.incarnation ?? "";
  }
}
