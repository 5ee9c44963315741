/**
 * The exchange of a process that does not hold the lease: reports its requests
 * in flight to the holder and receives the serving groups.
 *
 * Without it, a process learns of a lost or new group from the platform's list,
 * a second or more later, and never of other processes' requests.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type {
  RateLimitObservations,
  RateShares,
} from "../calls/target_rate_limits.ts";
import type { IForwardingPeer } from "../forwarding/types.ts";
import type { IQuarantineReply } from "../quarantine/types.ts";
import type { IStoreUpdate } from "../relay/types.ts";
import type { IClock, ILog } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import type { IHolderLink, IHolderReply, IProcessReport } from "./exchange.ts";
import { withTableChanges } from "./table_history.ts";

/**
 * Time after which the holder replies even if nothing has changed,
 * milliseconds.
 */
export const EXCHANGE_WAIT = 200;

/** Time beyond the wait after which an exchange has failed, milliseconds. */
const EXCHANGE_GRACE = 400;

/** Minimum time between two exchanges, milliseconds. */
const MIN_PAUSE = 30;

/** Time between attempts while there is no holder, milliseconds. */
const RETRY_PAUSE = 150;

/** Version of no table, so that the reply does not wait for a newer one. */
const NO_TABLE = 0;

/** Age from which a table is no longer used, milliseconds. */
const TABLE_LIFETIME = 1_500;

/** Dependencies of {@link ExchangeClient}. */
export interface IExchangeClientParts {
  readonly link: IHolderLink;
  readonly clock: IClock;
  readonly log: ILog;
  /** Address of the holder; null if there is none or it is this process. */
  readonly holderAddress: () => string | null;
  readonly report: (tableVersion: number) => IProcessReport;
  readonly onReply: () => void;
  /** @param askedAt - when the report was sent that it replies to */
  readonly onStoreUpdate: (
    update: IStoreUpdate,
    askedAt: MonotonicTime,
  ) => void;
  readonly onRateLimits: (limits: RateLimitObservations) => void;
  readonly onPeers: (peers: readonly IForwardingPeer[]) => void;
  readonly onQuarantine: (reply: IQuarantineReply | undefined) => void;
  /** Called when another process answers at the holder's address. */
  readonly onOtherProcess: (process: string) => void;
}

/** A holder's view of the groups and the other processes. */
export interface IHolderTable {
  readonly groups: readonly IServingGroup[];
  /** Recently abandoned groups. */
  readonly abandonedGroups: readonly string[];
  /** Requests in each group sent by other processes. */
  readonly othersInFlight: ReadonlyMap<string, number>;
  /** Number of known processes, including the holder. */
  readonly processes: number;
}

/** Sends reports to the holder and keeps its latest reply. */
export class ExchangeClient {
  readonly #parts: IExchangeClientParts;
  #groups: readonly IServingGroup[] = [];
  #abandonedGroups: readonly string[] = [];
  #othersInFlight: ReadonlyMap<string, number> = new Map();
  #processes = 1;
  #rateShares: RateShares | null = null;
  #isSuccessor = true;
  #version = 0;
  #address: string | null = null;
  #repliedAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #hasAnswered = false;
  #isInDoubt = false;
  #isStopped = false;

  constructor(parts: IExchangeClientParts) {
    this.#parts = parts;
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#isStopped = true;
  }

  /** Whether the holder's table is recent enough to use. */
  get isFresh(): boolean {
    return this.age < TABLE_LIFETIME;
  }

  /** Whether the holder answered the last exchange. */
  get isConnected(): boolean {
    return this.isFresh && this.#hasAnswered;
  }

  /** Milliseconds since the holder's last reply. */
  get age(): number {
    return this.#parts.clock.now() - this.#repliedAt;
  }

  /** Whether the holder answered the last exchange and can send orders. */
  get isHolderHealthy(): boolean {
    return this.#hasAnswered && !this.#isInDoubt;
  }

  get groups(): readonly IServingGroup[] {
    return this.#groups;
  }

  /** Groups that the holder abandoned recently. */
  get abandonedGroups(): readonly string[] {
    return this.#abandonedGroups;
  }

  get othersInFlight(): ReadonlyMap<string, number> {
    return this.#othersInFlight;
  }

  /**
   * Requests per second that this process may send to limited targets; null
   * while the holder has not replied.
   */
  get rateShares(): RateShares | null {
    return this.isFresh ? this.#rateShares : null;
  }

  /** Whether this process takes the lease first, as the holder said last. */
  get isSuccessor(): boolean {
    return this.#isSuccessor;
  }

  /** Number of processes known to the holder. */
  get processes(): number {
    return this.#processes;
  }

  /**
   * Uses this process's own last table until another holder replies, since what
   * the previous holder replied is out of date.
   */
  useTable(table: IHolderTable): void {
    this.#repliedAt = this.#parts.clock.now();
    this.#address = null;
    this.#version = NO_TABLE;
    this.#groups = table.groups;
    this.#abandonedGroups = table.abandonedGroups;
    this.#othersInFlight = table.othersInFlight;
    this.#processes = table.processes;
    this.#rateShares = null;
  }

  /**
   * Reports to the holder at once, beside the exchange that waits, so that a
   * stalled group recovers sooner by the length of the wait. The table in the
   * reply is not used, so the report names the one that this process has: a
   * whole one for each stalled group and process would fill the holder's link.
   */
  reportNow(): void {
    const address = this.#parts.holderAddress();
    if (address !== null) {
      const report = this.#parts.report(this.#version);
      const timeout = EXCHANGE_WAIT + EXCHANGE_GRACE;
      void this.#parts.link
        .exchange(address, report, timeout)
        .then((answer) => {
          if (answer.isOk() && answer.value.isHolder) {
            this.#applyPeers(answer.value.word);
            this.#parts.onQuarantine(answer.value.word.quarantine);
          }
        });
    }
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const address = this.#parts.holderAddress();
      const hasReplied = address !== null && (await this.#exchange(address));
      await this.#wait(hasReplied ? MIN_PAUSE : RETRY_PAUSE);
    }
  }

  async #exchange(address: string): Promise<boolean> {
    if (address !== this.#address) {
      this.#address = address;
      this.#version = NO_TABLE;
    }
    const report = this.#parts.report(this.#version);
    const timeout = EXCHANGE_WAIT + EXCHANGE_GRACE;
    const askedAt = this.#parts.clock.now();
    const answer = await this.#parts.link.exchange(address, report, timeout);
    if (answer.isErr()) {
      this.#handleLost(address, answer.error.detail);
      return false;
    }
    if (!answer.value.isHolder) {
      const { process } = answer.value.other;
      this.#handleLost(address, "does not hold the lease");
      this.#parts.onOtherProcess(process);
      return false;
    }
    if (!this.#hasAnswered) {
      this.#parts.log.info("holder_heard", { address });
    }
    this.#hasAnswered = true;
    this.#applyReply(answer.value.word, askedAt);
    return true;
  }

  #handleLost(address: string, detail: string): void {
    if (this.#hasAnswered) {
      this.#parts.log.warn("holder_lost", { address, detail });
    }
    this.#hasAnswered = false;
  }

  #applyReply(reply: IHolderReply, askedAt: MonotonicTime): void {
    this.#repliedAt = this.#parts.clock.now();
    this.#applyTable(reply);
    this.#abandonedGroups = reply.givenUp ?? this.#abandonedGroups;
    this.#othersInFlight = new Map(Object.entries(reply.othersInFlight));
    this.#isInDoubt = reply.isInDoubt;
    this.#processes = reply.processes;
    this.#rateShares = reply.rateShares ?? null;
    this.#isSuccessor = reply.isSuccessor ?? true;
    this.#parts.onRateLimits(reply.rateLimits ?? {});
    this.#applyPeers(reply);
    this.#parts.onQuarantine(reply.quarantine);
    if (reply.store) {
      this.#parts.onStoreUpdate(reply.store, askedAt);
    }
    this.#parts.onReply();
  }

  #applyPeers({ peers }: IHolderReply): void {
    if (peers !== undefined) {
      this.#parts.onPeers(peers);
    }
  }

  #applyTable({ tableVersion, groups, tableChanges }: IHolderReply): void {
    if (
      groups === null &&
      tableChanges &&
      tableChanges.since !== this.#version
    ) {
      // The table was replaced meanwhile: the next reply contains all groups.
      this.#version = NO_TABLE;
      return;
    }
    this.#version = tableVersion;
    this.#groups =
      groups ??
      (tableChanges
        ? withTableChanges(this.#groups, tableChanges)
        : this.#groups);
  }

  #wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.after(delay, resolve);
    });
  }
}
