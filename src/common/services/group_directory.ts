/** Replica groups and plain targets of this zone, and which can serve now. */
import { ServiceScheduler } from "../decisions/service_scheduler.ts";
import type {
  ITargetsUpdate,
  ITargetLoadReport,
  ITrackedRequest,
} from "../decisions/target_tracker.ts";
import type { IWorkItem } from "../decisions/work_item.ts";
import { isComplete, isFresh } from "../groups/presence.ts";
import type { IPresenceView } from "../groups/presence.ts";
import type { IReplicaGroup } from "../groups/types.ts";
import { InstanceState, ServiceKind, TargetState } from "../types.ts";
import type { IInstance, ITimestampedReport, ServiceName } from "../types.ts";
import type { DomainController } from "./domain_controller.ts";
import type { TargetCooldowns } from "../target_cooldowns.ts";
import type { IClock, ILiveDaemons, IRandom } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { ICallerRequest } from "./types.ts";
import { workOf } from "./work_of.ts";

/** A replica group or plain target chosen for a request. */
export interface IChosenTarget {
  /** Id of the group, or of the plain target's instance. */
  readonly id: string;
  readonly address: string;
  /** Null for a plain target. */
  readonly group: IReplicaGroup | null;
  readonly service: ServiceName;
  /** The request's work that it was chosen for. */
  readonly work: IWorkItem;
}

/** Dependencies of {@link GroupDirectory}. */
export interface IGroupSources {
  readonly targets: TargetDirectory;
  readonly domains: () => Iterable<DomainController>;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly live: ILiveDaemons;
  /** By address. */
  readonly cooldowns: Pick<TargetCooldowns, "isActive" | "retryAfter">;
}

/** A group's first member or a plain target that can serve now. */
interface IServableTarget {
  readonly instance: IInstance;
  readonly group: IReplicaGroup | null;
}

/** Chooses targets for requests and keeps the schedulers up to date on them. */
export class GroupDirectory {
  readonly #sources: IGroupSources;
  readonly #freshness: number;
  readonly #schedulers = new Map<ServiceName, ServiceScheduler>();
  /** Requests in flight, by the target chosen for each. */
  readonly #inFlight = new Map<IChosenTarget, ITrackedRequest>();

  constructor(sources: IGroupSources, freshness: number) {
    this.#sources = sources;
    this.#freshness = freshness;
  }

  /** Every group of the zone, and whether it is complete and may serve. */
  groups(): readonly { group: IReplicaGroup; isComplete: boolean }[] {
    const { domains, targets } = this.#sources;
    const { instances, reports } = targets;
    const view = { instances, reports, ...this.#ageLimits };
    const found = [];
    for (const domain of domains()) {
      for (const group of domain.record?.groups ?? []) {
        found.push({ group, isComplete: isComplete(group, view) });
      }
    }
    return found;
  }

  /** The scheduler of a service, which holds its waiting work. */
  schedulerOf(service: ServiceName): ServiceScheduler {
    const scheduler = this.#schedulers.get(service) ?? new ServiceScheduler();
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }

  /** Updates a service's scheduler; false if no target can serve now. */
  refresh(service: ServiceName): boolean {
    return this.#refresh(service, this.#findServable(service)) > 0;
  }

  /**
   * Milliseconds after which a target takes calls, if all that could serve have
   * rejected some and want no more until then; null otherwise.
   */
  overloadedFor(service: ServiceName): number | null {
    const { cooldowns, random } = this.#sources;
    const addresses = [...this.#findPresent(service).values()].map(
      ({ instance }) => instance.address,
    );
    const retryAfter = cooldowns.retryAfter(addresses, random.next());
    return retryAfter && Math.ceil(retryAfter);
  }

  /** The best group for a request, or null. */
  chooseGroup(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    return this.#choose(request, avoid);
  }

  /** The best plain target for a request, or null. */
  choosePlain(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    return this.#choose(request, avoid);
  }

  /** Counts a request in flight until the returned function is called. */
  beginRequest(target: IChosenTarget): () => void {
    const { clock } = this.#sources;
    const { targets } = this.schedulerOf(target.service);
    const request = targets.startRequest(target.id, target.work, clock.now());
    this.#inFlight.set(target, request);
    return () => {
      targets.endRequest(request, clock.now());
      this.#inFlight.delete(target);
    };
  }

  /** Records tokens received from a target; 1 for a plain call's answer. */
  recordTokens(target: IChosenTarget, tokens: number): void {
    const request = this.#inFlight.get(target);
    if (request !== undefined && tokens > 0) {
      const { targets } = this.schedulerOf(target.service);
      targets.recordTokens(request, tokens, this.#sources.clock.now());
    }
  }

  /** Records that reading resumes: the caller's pause is not the target's. */
  recordReadResumed(target: IChosenTarget): void {
    const request = this.#inFlight.get(target);
    if (request !== undefined) {
      const { targets } = this.schedulerOf(target.service);
      targets.resumeRequest(request, this.#sources.clock.now());
    }
  }

  #choose(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    const { name } = request.service;
    const servable = this.#findServable(name);
    this.#refresh(name, servable);
    const work = workOf(request);
    const { targets } = this.schedulerOf(name);
    const random = () => this.#sources.random.next();
    const id = targets.choose({ work, avoid }, random);
    const chosen = id === null ? undefined : servable.get(id);
    if (id === null || chosen === undefined) {
      return null;
    }
    const { instance, group } = chosen;
    return { id, address: instance.address, group, service: name, work };
  }

  #refresh(
    service: ServiceName,
    servable: ReadonlyMap<string, IServableTarget>,
  ): number {
    const { clock, live } = this.#sources;
    const targets: ITargetLoadReport[] = [];
    for (const [id, { instance }] of servable) {
      const seen = this.#sources.targets.reports.get(instance.id);
      if (seen !== undefined) {
        const { running, queued, lag } = seen.report;
        const describedAt = seen.seenAt - lag;
        targets.push({
          id,
          reported: running + queued,
          describedAt,
        });
      }
    }
    const reports: ITargetsUpdate = { targets, daemons: live.inZone.length };
    this.schedulerOf(service).targets.update(reports, clock.now());
    return targets.length;
  }

  /** Groups and plain targets that can serve it now, by target id. */
  #findServable(service: ServiceName): ReadonlyMap<string, IServableTarget> {
    const { cooldowns } = this.#sources;
    const present = [...this.#findPresent(service)];
    return new Map(
      present.filter(
        ([, { instance }]) => !cooldowns.isActive(instance.address),
      ),
    );
  }

  /** Those that are complete and ready, whether they take calls or not. */
  #findPresent(service: ServiceName): ReadonlyMap<string, IServableTarget> {
    const servable = new Map<string, IServableTarget>();
    const { instances, reports } = this.#sources.targets;
    for (const { group, isComplete } of this.groups()) {
      const instance = instances.get(group.members[0] ?? "");
      if (group.service === service && isComplete && instance) {
        servable.set(group.id, { instance, group });
      }
    }
    for (const instance of instances.values()) {
      const isPlain = instance.kind === ServiceKind.Plain;
      const isOfService = isPlain && instance.service === service;
      if (isOfService && this.#isReady(instance, reports.get(instance.id))) {
        servable.set(instance.id, { instance, group: null });
      }
    }
    return servable;
  }

  #isReady(instance: IInstance, seen: ITimestampedReport | undefined): boolean {
    return (
      seen !== undefined &&
      instance.state === InstanceState.Live &&
      seen.report.state === TargetState.Ready &&
      isFresh(seen, this.#ageLimits)
    );
  }

  /** What {@link isFresh} needs to judge the age of a report. */
  get #ageLimits(): Pick<IPresenceView, "now" | "freshness" | "watchedSince"> {
    const { clock, targets } = this.#sources;
    return {
      now: clock.now(),
      freshness: this.#freshness,
      watchedSince: targets.watchedSince,
    };
  }
}
