/** Computes the load of a zone's services, as reported to other zones. */
import type { IServiceLoad } from "../membership/zone_directory.ts";
import { ServiceKind, TargetState } from "../types.ts";
import type { InstanceId, ServiceName } from "../types.ts";
import type { GroupDirectory } from "./group_directory.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Sums the load of complete groups and ready plain targets by service. */
export function zoneLoads(
  groups: GroupDirectory,
  targets: TargetDirectory,
): readonly IServiceLoad[] {
  const loads = new Map<ServiceName, IServiceLoad>();
  const add = (service: ServiceName, instance: InstanceId | undefined) => {
    const report = targets.reports.get(instance ?? "")?.report;
    const sum = loads.get(service) ?? emptyLoad(service);
    loads.set(service, {
      service,
      places: sum.places + 1,
      running: sum.running + (report?.running ?? 0),
      queued: sum.queued + (report?.queued ?? 0),
    });
  };
  for (const { group, isComplete } of groups.groups()) {
    if (isComplete) {
      add(group.service, group.members[0]);
    }
  }
  for (const { id, kind, service } of targets.instances.values()) {
    const state = targets.reports.get(id)?.report.state;
    if (kind === ServiceKind.Plain && state === TargetState.Ready) {
      add(service, id);
    }
  }
  return [...loads.values()];
}

function emptyLoad(service: ServiceName): IServiceLoad {
  return { service, places: 0, running: 0, queued: 0 };
}
