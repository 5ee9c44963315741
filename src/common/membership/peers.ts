/** Interfaces for calls to and from other daemons. */
import type { Result } from "ts-results-es";
import type { IListText, PlanListName } from "../plans/types.ts";
import type { IListVersion } from "../services/services.ts";
import type { ICallFailure } from "../types.ts";
import type { IDigestRow, IHeldRow } from "./digest_types.ts";
import type { IMember, IMemberUpdate, IProbe } from "./types.ts";
import type { IZoneSummary } from "./zone_directory.ts";

/** A delegate's zone summaries and plan list versions. */
export interface IZonesResponse {
  readonly zones: readonly IZoneSummary[];
  readonly versions: readonly IListVersion[];
}

/** A daemon's request for zone summaries. */
export interface IZonesRequest {
  readonly from: IMember;
  readonly versions: readonly IListVersion[];
}

/** Calls to other daemons, by `host:port`; timeouts are in milliseconds. */
export interface IPeers {
  probe(
    address: string,
    probe: IProbe,
    timeout: number,
  ): Promise<Result<IProbe, ICallFailure>>;
  /** Probes a target through the daemon at the address. */
  probeThrough(
    address: string,
    probe: IProbe,
    options: { readonly target: string; readonly timeout: number },
  ): Promise<Result<IProbe, ICallFailure>>;
  synchronize(
    address: string,
  ): Promise<Result<readonly IMemberUpdate[], ICallFailure>>;
  pullDigests(
    address: string,
    held: readonly IHeldRow[],
  ): Promise<Result<readonly IDigestRow[], ICallFailure>>;
  pullZones(
    address: string,
    request: IZonesRequest,
  ): Promise<Result<IZonesResponse, ICallFailure>>;
  fetchList(
    address: string,
    list: PlanListName,
  ): Promise<Result<IListText, ICallFailure>>;
}

/** Handles the requests of other daemons. */
export interface IPeerRequestHandler {
  handleProbe(probe: IProbe): IProbe;
  /** Relays a probe; returns its answer, or why there is none. */
  relayProbe(
    probe: IProbe,
    target: string,
  ): Promise<Result<IProbe, ICallFailure>>;
  view(): readonly IMemberUpdate[];
  digests(held: readonly IHeldRow[]): readonly IDigestRow[];
  zones(request: IZonesRequest): IZonesResponse;
  listText(list: PlanListName): IListText | null;
}
