/** The replica groups of this zone, and which of them may serve now. */
import { chooseCandidate } from "../decisions/routing.ts";
import type { ICandidate } from "../decisions/routing.ts";
import { isComplete } from "../groups/presence.ts";
import type { IReplicaGroup } from "../groups/types.ts";
import { InstanceState, TargetState } from "../types.ts";
import type { IInstance, ISeenReport, ServiceName } from "../types.ts";
import type { DomainService } from "./domain_service.ts";
import type { IClock } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** A replica group or plain target that a request can be sent to. */
export interface IPlace extends ICandidate {
  readonly address: string;
  /** Null for a plain target. */
  readonly group: IReplicaGroup | null;
}

/** Finds places to send requests to, and counts what is in flight there. */
export class GroupDirectory {
  readonly #targets: TargetDirectory;
  readonly #domains: () => Iterable<DomainService>;
  readonly #clock: IClock;
  readonly #freshness: number;
  readonly #inFlight = new Map<string, number>();

  constructor(
    sources: {
      readonly targets: TargetDirectory;
      readonly domains: () => Iterable<DomainService>;
      readonly clock: IClock;
    },
    freshness: number,
  ) {
    this.#targets = sources.targets;
    this.#domains = sources.domains;
    this.#clock = sources.clock;
    this.#freshness = freshness;
  }

  /** Every group of the zone with whether it may serve now. */
  groups(): readonly { group: IReplicaGroup; isComplete: boolean }[] {
    const view = {
      instances: this.#targets.instances,
      reports: this.#targets.reports,
      now: this.#clock.now(),
      freshness: this.#freshness,
    };
    const found = [];
    for (const domain of this.#domains()) {
      for (const group of domain.record?.groups ?? []) {
        found.push({ group, isComplete: isComplete(group, view) });
      }
    }
    return found;
  }

  /** The best group for a request of the service, or null. */
  chooseGroup(service: ServiceName, avoid: ReadonlySet<string>): IPlace | null {
    const places: IPlace[] = [];
    for (const { group, isComplete } of this.groups()) {
      const leader = this.#targets.instances.get(group.members[0] ?? "");
      if (group.service === service && isComplete && leader) {
        places.push(this.#place(group.id, leader, group));
      }
    }
    return chooseCandidate(places, avoid);
  }

  /** The best plain target of the service, or null. */
  choosePlain(service: ServiceName, avoid: ReadonlySet<string>): IPlace | null {
    const places: IPlace[] = [];
    for (const instance of this.#targets.instances.values()) {
      const seen = this.#targets.reports.get(instance.id);
      if (instance.service === service && this.#isReady(instance, seen)) {
        places.push(this.#place(instance.id, instance, null));
      }
    }
    return chooseCandidate(places, avoid);
  }

  /** Counts a request in flight at a place until the result is called. */
  begin(place: IPlace): () => void {
    const change = (by: number) =>
      this.#inFlight.set(place.id, (this.#inFlight.get(place.id) ?? 0) + by);
    change(1);
    let isEnded = false;
    return () => {
      if (!isEnded) {
        isEnded = true;
        change(-1);
      }
    };
  }

  #place(id: string, instance: IInstance, group: IReplicaGroup | null): IPlace {
    const report = this.#targets.reports.get(instance.id)?.report;
    return {
      id,
      address: instance.address,
      group,
      reported: (report?.running ?? 0) + (report?.queued ?? 0),
      inFlight: this.#inFlight.get(id) ?? 0,
    };
  }

  #isReady(instance: IInstance, seen: ISeenReport | undefined): boolean {
    return (
      seen !== undefined &&
      instance.state === InstanceState.Live &&
      seen.report.state === TargetState.Ready &&
      this.#clock.now() - seen.seenAt <= this.#freshness
    );
  }
}
