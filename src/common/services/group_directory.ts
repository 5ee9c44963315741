/** The replica groups of this zone, and which of them may serve now. */
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
import type { IInstance, ISeenReport, ServiceName } from "../types.ts";
import type { DomainController } from "./domain_controller.ts";
import type { IClock, ILiveDaemons, IRandom } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { ICallerRequest } from "./types.ts";
import { workOf } from "./work_of.ts";

/** A replica group or plain target that a request can be sent to. */
export interface IChosenTarget {
  /** Of the group, or of the plain target's instance. */
  readonly id: string;
  readonly address: string;
  /** Null for a plain target. */
  readonly group: IReplicaGroup | null;
  readonly service: ServiceName;
  /** What it was chosen for. */
  readonly work: IWorkItem;
}

/** What the directory reads. */
export interface IGroupSources {
  readonly targets: TargetDirectory;
  readonly domains: () => Iterable<DomainController>;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly live: ILiveDaemons;
}

/** Where a service can be served now. */
interface IServableTarget {
  readonly instance: IInstance;
  readonly group: IReplicaGroup | null;
}

/** Finds places to send requests to, and tells the decisions of them. */
export class GroupDirectory {
  readonly #sources: IGroupSources;
  readonly #freshness: number;
  readonly #schedulers = new Map<ServiceName, ServiceScheduler>();
  readonly #uses = new Map<IChosenTarget, ITrackedRequest>();

  constructor(sources: IGroupSources, freshness: number) {
    this.#sources = sources;
    this.#freshness = freshness;
  }

  /** Every group of the zone with whether it may serve now. */
  groups(): readonly { group: IReplicaGroup; isComplete: boolean }[] {
    const { domains, targets } = this.#sources;
    const { instances, reports } = targets;
    const view = { instances, reports, ...this.#age };
    const found = [];
    for (const domain of domains()) {
      for (const group of domain.record?.groups ?? []) {
        found.push({ group, isComplete: isComplete(group, view) });
      }
    }
    return found;
  }

  /** The decisions of a service; its waiting work is kept there. */
  schedulerOf(service: ServiceName): ServiceScheduler {
    const known = this.#schedulers.get(service) ?? new ServiceScheduler();
    this.#schedulers.set(service, known);
    return known;
  }

  /** Tells a service's decisions what can serve now; false if nothing can. */
  refresh(service: ServiceName): boolean {
    return this.#refresh(service, this.#servedBy(service)) > 0;
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

  /** Counts a request in flight at a place until the result is called. */
  beginRequest(place: IChosenTarget): () => void {
    const { clock } = this.#sources;
    const { targets } = this.schedulerOf(place.service);
    const use = targets.startRequest(place.id, place.work, clock.now());
    this.#uses.set(place, use);
    return () => {
      targets.endRequest(use, clock.now());
      this.#uses.delete(place);
    };
  }

  /** Tokens, or the answer of a plain call, came from a place in use. */
  recordTokens(place: IChosenTarget, tokens: number): void {
    const use = this.#uses.get(place);
    if (use !== undefined && tokens > 0) {
      const { targets } = this.schedulerOf(place.service);
      targets.recordTokens(use, tokens, this.#sources.clock.now());
    }
  }

  /** The caller has taken what came; more is read from now on. */
  recordReadResumed(place: IChosenTarget): void {
    const use = this.#uses.get(place);
    if (use !== undefined) {
      const { targets } = this.schedulerOf(place.service);
      targets.resumeRequest(use, this.#sources.clock.now());
    }
  }

  #choose(
    request: ICallerRequest,
    avoid: ReadonlySet<string>,
  ): IChosenTarget | null {
    const { name } = request.service;
    const served = this.#servedBy(name);
    this.#refresh(name, served);
    const work = workOf(request);
    const { targets } = this.schedulerOf(name);
    const random = () => this.#sources.random.next();
    const id = targets.choose({ work, avoid }, random);
    const chosen = id === null ? undefined : served.get(id);
    if (id === null || chosen === undefined) {
      return null;
    }
    const { instance, group } = chosen;
    return { id, address: instance.address, group, service: name, work };
  }

  #refresh(
    service: ServiceName,
    served: ReadonlyMap<string, IServableTarget>,
  ): number {
    const { clock, live } = this.#sources;
    const targets: ITargetLoadReport[] = [];
    for (const [id, { instance }] of served) {
      const seen = this.#sources.targets.reports.get(instance.id);
      if (seen !== undefined) {
        const { running, queued, lag } = seen.report;
        const describes = seen.seenAt - lag;
        targets.push({ id, reported: running + queued, describes });
      }
    }
    const reports: ITargetsUpdate = { targets, daemons: live.inZone.length };
    this.schedulerOf(service).targets.update(reports, clock.now());
    return targets.length;
  }

  /** Groups and plain targets that serve it now, by the id of the place. */
  #servedBy(service: ServiceName): ReadonlyMap<string, IServableTarget> {
    const served = new Map<string, IServableTarget>();
    const { instances, reports } = this.#sources.targets;
    for (const { group, isComplete } of this.groups()) {
      const instance = instances.get(group.members[0] ?? "");
      if (group.service === service && isComplete && instance) {
        served.set(group.id, { instance, group });
      }
    }
    for (const instance of instances.values()) {
      const isPlain = instance.kind === ServiceKind.Plain;
      const isOurs = isPlain && instance.service === service;
      if (isOurs && this.#isReady(instance, reports.get(instance.id))) {
        served.set(instance.id, { instance, group: null });
      }
    }
    return served;
  }

  #isReady(instance: IInstance, seen: ISeenReport | undefined): boolean {
    return (
      seen !== undefined &&
      instance.state === InstanceState.Live &&
      seen.report.state === TargetState.Ready &&
      isFresh(seen, this.#age)
    );
  }

  /** What the age of reports is judged by. */
  get #age(): Pick<IPresenceView, "now" | "freshness" | "watchedSince"> {
    const { clock, targets } = this.#sources;
    return {
      now: clock.now(),
      freshness: this.#freshness,
      watchedSince: targets.watchedSince,
    };
  }
}
