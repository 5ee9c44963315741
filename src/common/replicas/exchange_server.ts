/**
 * The lease holder's side of the exchange: keeps the table of serving groups,
 * and replies to processes at once when it changes or else after a short wait.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type {
  RateShares,
  TargetRateLimits,
} from "../calls/target_rate_limits.ts";
import { Emitter } from "../emitter.ts";
import type { IReportedPeer } from "../forwarding/forwarding_peers.ts";
import { PeerAssignment } from "../forwarding/peer_assignment.ts";
import type { IForwardingPeer } from "../forwarding/types.ts";
import type { IQuarantineMember } from "../quarantine/types.ts";
import type { IStoreVersions, IStoreUpdate } from "../relay/types.ts";
import type { IClock } from "../services/services.ts";
import { isSuccessor } from "./succession.ts";
import { EXCHANGE_WAIT } from "./exchange_client.ts";
import type {
  ExchangeAnswer,
  IHolderReply,
  IProcessReport,
} from "./exchange.ts";
import { addressOf } from "./process_name.ts";
import { ProcessReports, sumInFlight } from "./process_reports.ts";
import { RateShareAssignment } from "./rate_share_assignment.ts";
import { TableHistory } from "./table_history.ts";
import type { ITableChanges } from "./table_history.ts";

/** What the replies to other processes contained. */
export interface IExchangeVolume {
  readonly replies: number;
  /** Entries of the table of serving groups. */
  readonly groups: number;
  /** Entries of the platform's target list. */
  readonly targets: number;
}

/** Table versions within one epoch of the lease. */
const TABLES_PER_EPOCH = 1_000_000;

/** Dependencies of {@link ExchangeServer}. */
export interface IExchangeServerParts {
  readonly clock: IClock;
  /** Whether this process holds the lease and knows the groups. */
  readonly isActiveHolder: () => boolean;
  readonly mayOrder: () => boolean;
  readonly leaseEpoch: () => number;
  readonly rateLimits: Pick<
    TargetRateLimits,
    "merge" | "observations" | "rates"
  >;
  readonly quarantine: Pick<IQuarantineMember, "composeReply" | "handleReport">;
  /** Called with groups that a process found stalled. */
  readonly onGroupsSuspected: (groups: readonly string[]) => void;
  /** Returns this process's own report. */
  readonly ownReport: () => IProcessReport;
  /** Returns the state of the store beyond what a process has. */
  readonly storeUpdate: (versions: IStoreVersions) => IStoreUpdate | null;
}

/** Replies to the other processes. */
export class ExchangeServer {
  readonly #parts: IExchangeServerParts;
  readonly #reports = new ProcessReports();
  readonly #rateShares = new RateShareAssignment();
  readonly #peers = new PeerAssignment();
  readonly #changed = new Emitter<void>();
  readonly #history = new TableHistory();
  #groups: readonly IServingGroup[] = [];
  #abandonedGroups: readonly string[] = [];
  #changes = 0;
  #volume: IExchangeVolume = { replies: 0, groups: 0, targets: 0 };

  constructor(parts: IExchangeServerParts) {
    this.#parts = parts;
  }

  /**
   * Publishes a changed table of serving groups.
   *
   * @param abandonedGroups - recently abandoned groups
   */
  updateTable(
    groups: readonly IServingGroup[],
    abandonedGroups: readonly string[],
  ): void {
    this.#groups = groups;
    this.#abandonedGroups = abandonedGroups;
    this.#changes += 1;
    this.#history.record(this.#version, groups);
    this.#changed.fire();
  }

  get groups(): readonly IServingGroup[] {
    return this.#groups;
  }

  get abandonedGroups(): readonly string[] {
    return this.#abandonedGroups;
  }

  /** Reports of all processes, including this one. */
  get reports(): readonly IProcessReport[] {
    const now = this.#parts.clock.now();
    return [...this.#reports.recent(now), this.#parts.ownReport()];
  }

  /** Requests in each group sent by other processes. */
  get othersInFlight(): ReadonlyMap<string, number> {
    return sumInFlight(this.#otherReports);
  }

  get #otherReports(): readonly IProcessReport[] {
    return this.#reports.recent(this.#parts.clock.now());
  }

  /** Requests per second that a process may send to limited targets. */
  rateSharesOf(process: string): RateShares {
    const { rates } = this.#parts.rateLimits;
    if (rates.size === 0) {
      return {};
    }
    const { reports } = this;
    const calling = reports.filter(({ hasCalls }) => hasCalls);
    const sharing = calling.length > 0 ? calling : reports;
    const names = sharing.map((one) => one.process);
    this.#rateShares.update(rates, names);
    return this.#rateShares.sharesOf(process);
  }

  /** Returns the volume of the replies since the last call. */
  takeVolume(): IExchangeVolume {
    const volume = this.#volume;
    this.#volume = { replies: 0, groups: 0, targets: 0 };
    return volume;
  }

  async answer(report: IProcessReport): Promise<ExchangeAnswer> {
    // A holder that does not know the groups yet may need peers to ask engines.
    this.#reports.record(report, this.#parts.clock.now());
    if (!this.#parts.isActiveHolder()) {
      return this.#notHolder();
    }
    if ((report.forwarding?.outOfReach ?? []).length === 0) {
      this.#parts.onGroupsSuspected(report.suspects);
    }
    this.#parts.rateLimits.merge(report.rateLimits ?? {});
    if (report.quarantine !== undefined) {
      this.#parts.quarantine.handleReport(report.process, report.quarantine);
    }
    if (report.tableVersion === this.#version) {
      await this.#waitForChange();
    }
    if (!this.#parts.isActiveHolder()) {
      return this.#notHolder();
    }
    const reports = this.reports;
    const others = reports.filter(({ process }) => process !== report.process);
    const hasTable = report.tableVersion === this.#version;
    const tableChanges = hasTable ? null : this.#changesFor(report);
    const groups = hasTable || tableChanges !== null ? null : this.#groups;
    const store = this.#parts.storeUpdate(report.versions);
    this.#countVolume(groups ?? tableChanges?.changed ?? [], store);
    return {
      isHolder: true,
      word: {
        tableVersion: this.#version,
        groups,
        tableChanges,
        givenUp: hasTable ? null : this.#abandonedGroups,
        othersInFlight: Object.fromEntries(sumInFlight(others)),
        isInDoubt: !this.#parts.mayOrder(),
        processes: reports.length,
        rateLimits: this.#parts.rateLimits.observations,
        rateShares: this.rateSharesOf(report.process),
        store,
        isSuccessor: isSuccessor(report, this.#otherReports),
        ...this.#newPeersOf(report, reports),
        ...this.#quarantineOf(report),
      },
    };
  }

  /** The processes that the holder itself may forward to. */
  get ownPeers(): readonly IForwardingPeer[] {
    const own = reportedPeerOf(this.#parts.ownReport());
    const now = this.#parts.clock.now();
    const all = () => reportedPeersOf(this.reports);
    return own === null ? [] : this.#peers.peersOf(own, all, now);
  }

  /** Replies at once to the processes that wait for a change. */
  announce(): void {
    this.#changed.fire();
  }

  #quarantineOf({
    process,
    quarantine,
  }: IProcessReport): Pick<IHolderReply, "quarantine"> {
    if (quarantine === undefined) {
      return {};
    }
    const { listVersion } = quarantine;
    const reply = this.#parts.quarantine.composeReply(process, listVersion);
    return { quarantine: reply };
  }

  #newPeersOf(
    report: IProcessReport,
    reports: readonly IProcessReport[],
  ): Pick<IHolderReply, "peers"> {
    const process = reportedPeerOf(report);
    const now = this.#parts.clock.now();
    const all = () => reportedPeersOf(reports);
    const peers = process && this.#peers.peersToSend(process, all, now);
    return peers === null ? {} : { peers };
  }

  /** Returns what a process's table lacks; null if it needs all groups. */
  #changesFor(report: IProcessReport): ITableChanges | null {
    return report.takesTableChanges === true
      ? this.#history.changesSince(report.tableVersion, this.#groups)
      : null;
  }

  #countVolume(
    groups: readonly IServingGroup[],
    store: IStoreUpdate | null,
  ): void {
    const targets = store?.targetChanges?.targets ?? [];
    this.#volume = {
      replies: this.#volume.replies + 1,
      groups: this.#volume.groups + groups.length,
      targets: this.#volume.targets + targets.length,
    };
  }

  #notHolder(): ExchangeAnswer {
    const { process } = this.#parts.ownReport();
    return { isHolder: false, other: { process } };
  }

  get #version(): number {
    return this.#parts.leaseEpoch() * TABLES_PER_EPOCH + this.#changes;
  }

  #waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      const listener = this.#changed.event(() => done());
      const timer = this.#parts.clock.after(EXCHANGE_WAIT, () => done());
      function done(): void {
        listener.dispose();
        timer.dispose();
        resolve();
      }
    });
  }
}

/** Null for a process that takes no forwarded requests. */
function reportedPeerOf({
  process,
  forwarding,
}: IProcessReport): IReportedPeer | null {
  return forwarding === undefined
    ? null
    : { ...forwarding, address: addressOf(process) };
}

function reportedPeersOf(
  reports: readonly IProcessReport[],
): readonly IReportedPeer[] {
  return reports.map(reportedPeerOf).filter((peer) => peer !== null);
}
