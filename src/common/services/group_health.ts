/** Tracks which replica groups cannot serve, and the instances they strand. */
import { DisposableStore } from "../disposable.ts";
import type { IDisposable } from "../disposable.ts";
import type { IReplicaGroup } from "../groups/types.ts";
import { InstanceState, ServiceKind } from "../types.ts";
import type { GroupId, MonotonicTime, ServiceName } from "../types.ts";
import { AlarmName } from "./alarms.ts";
import type { Alarms } from "./alarms.ts";
import type { GroupDirectory } from "./group_directory.ts";
import type { IClock, ILog, IMetrics } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** How often groups are checked, milliseconds. */
const CHECK_INTERVAL = 200;

const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of {@link GroupHealth}. */
export interface IGroupHealthPorts {
  readonly groups: GroupDirectory;
  readonly directory: TargetDirectory;
  readonly clock: IClock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly alarms: Alarms;
}

/** Monitors the groups of one zone, as this daemon sees them. */
export class GroupHealth implements IDisposable {
  readonly #ports: IGroupHealthPorts;
  readonly #owned = new DisposableStore();
  readonly #downSince = new Map<GroupId, MonotonicTime>();
  readonly #downtime = new Map<ServiceName, number>();
  #lastCheckAt: MonotonicTime;

  constructor(ports: IGroupHealthPorts) {
    this.#ports = ports;
    this.#lastCheckAt = ports.clock.now();
  }

  start(): void {
    this.#owned.add(
      this.#ports.clock.every(CHECK_INTERVAL, () => this.#check()),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Milliseconds since a group became unable to serve; 0 while it can. */
  downtimeOf(group: GroupId): number {
    const since = this.#downSince.get(group);
    return since === undefined ? 0 : this.#ports.clock.now() - since;
  }

  /** Live engines that are in no group. */
  get spares(): readonly string[] {
    const members = new Set(
      this.#ports.groups.groups().flatMap(({ group }) => group.members),
    );
    return this.#liveEngines().filter((engine) => !members.has(engine));
  }

  #check(): void {
    const { clock } = this.#ports;
    const now = clock.now();
    const elapsed = now - this.#lastCheckAt;
    this.#lastCheckAt = now;
    const groups = this.#ports.groups.groups();
    for (const { group, isComplete } of groups) {
      this.#updateGroup(group, isComplete, elapsed);
    }
    const known = new Set(groups.map(({ group }) => group.id));
    for (const id of this.#downSince.keys()) {
      if (!known.has(id)) {
        this.#downSince.delete(id);
      }
    }
    this.#publish(groups);
  }

  #updateGroup(
    group: IReplicaGroup,
    isComplete: boolean,
    elapsed: number,
  ): void {
    const { clock, log } = this.#ports;
    const since = this.#downSince.get(group.id);
    const { id, service, generation } = group;
    if (!isComplete) {
      const total = (this.#downtime.get(service) ?? 0) + elapsed;
      this.#downtime.set(service, total);
    }
    if (!isComplete && since === undefined) {
      this.#downSince.set(id, clock.now());
      log.warn("group_down", { group: id, service, generation });
    }
    if (isComplete && since !== undefined) {
      const down = Math.round(clock.now() - since);
      this.#downSince.delete(id);
      log.info("group_up", { group: id, service, generation, down_ms: down });
    }
  }

  #publish(
    groups: readonly { group: IReplicaGroup; isComplete: boolean }[],
  ): void {
    const { alarms, metrics } = this.#ports;
    for (const [service, downtime] of this.#downtime) {
      const seconds = downtime / MILLISECONDS_PER_SECOND;
      metrics.gauge("group_downtime_seconds", seconds, { service });
    }
    const serving = new Set(
      groups
        .filter(({ isComplete }) => isComplete)
        .flatMap(({ group }) => group.members),
    );
    const stranded = this.#liveEngines().filter(
      (engine) => !serving.has(engine),
    );
    metrics.gauge("stranded_instances", stranded.length);
    metrics.gauge("groups_down", this.#downSince.size);
    const down = [...this.#downSince.keys()].join(" ");
    const detail = `cannot serve: ${down}`;
    alarms.set(AlarmName.GroupsDown, down === "" ? null : detail);
  }

  #liveEngines(): readonly string[] {
    return [...this.#ports.directory.instances.values()]
      .filter(
        ({ kind, state }) =>
          kind === ServiceKind.Engine && state === InstanceState.Live,
      )
      .map(({ id }) => id);
  }
}
