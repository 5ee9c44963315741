/**
 * The part of a process that does not hold the lease: it tells the holder what
 * it has in flight and hears which groups serve.
 *
 * Without it a process learns of a lost or a new group from the platform's
 * list, a second or more later, and of the others' requests never.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IStoreUpdate } from "../relay/types.ts";
import type { IClock, ILog } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import type { IHolderLink, IHolderReply, IProcessReport } from "./exchange.ts";

/** The holder answers at the latest by then where nothing changes. */
export const EXCHANGE_WAIT = 200;

/** Beyond it until an exchange counts as failed, milliseconds. */
const EXCHANGE_GRACE = 400;

/** Shortest time between two exchanges, milliseconds. */
const MIN_PAUSE = 30;

/** Time between two tries while there is no holder, milliseconds. */
const RETRY_PAUSE = 150;

/** Names no table, so that the answer does not wait for a newer one. */
const NO_TABLE = 0;

/** A table that is older is not used, milliseconds. */
const TABLE_LIFETIME = 1_500;

/** What the listener needs. */
export interface IExchangeClientParts {
  readonly link: IHolderLink;
  readonly clock: IClock;
  readonly log: ILog;
  /** Where the holder is reached; null where there is none, or it is here. */
  readonly holderAddress: () => string | null;
  readonly report: (tableVersion: number) => IProcessReport;
  readonly onReply: () => void;
  readonly onStoreUpdate: (word: IStoreUpdate) => void;
  /** Another process answers at the holder's address. */
  readonly onOtherProcess: (process: string) => void;
}

/** What a holder knows of the groups and of the other processes. */
export interface IHolderTable {
  readonly groups: readonly IServingGroup[];
  /** Groups that were given up of late. */
  readonly abandonedGroups: readonly string[];
  /** Requests in each group that the others have sent. */
  readonly othersInFlight: ReadonlyMap<string, number>;
  /** Processes heard of, the holder included. */
  readonly processes: number;
}

/** Hears from the holder. */
export class ExchangeClient {
  readonly #parts: IExchangeClientParts;
  #groups: readonly IServingGroup[] = [];
  #abandonedGroups: readonly string[] = [];
  #othersInFlight: ReadonlyMap<string, number> = new Map();
  #processes = 1;
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

  /** Whether the holder's table is fresh enough to go by. */
  get isFresh(): boolean {
    return this.age < TABLE_LIFETIME;
  }

  /** Milliseconds since the holder was last heard. */
  get age(): number {
    return this.#parts.clock.now() - this.#repliedAt;
  }

  /** Whether the holder answered the last exchange and can give orders. */
  get isHolderHealthy(): boolean {
    return this.#hasAnswered && !this.#isInDoubt;
  }

  get groups(): readonly IServingGroup[] {
    return this.#groups;
  }

  /** Groups that the holder has given up of late. */
  get abandonedGroups(): readonly string[] {
    return this.#abandonedGroups;
  }

  get othersInFlight(): ReadonlyMap<string, number> {
    return this.#othersInFlight;
  }

  /** Processes that the holder hears of. */
  get processes(): number {
    return this.#processes;
  }

  /**
   * Goes by this process's own last table until another holder is heard: what
   * the holder before it told is out of date.
   */
  useTable(table: IHolderTable): void {
    this.#repliedAt = this.#parts.clock.now();
    this.#address = null;
    this.#groups = table.groups;
    this.#abandonedGroups = table.abandonedGroups;
    this.#othersInFlight = table.othersInFlight;
    this.#processes = table.processes;
  }

  /**
   * Tells the holder at once, beside the exchange that waits: a group found
   * standing still is healed sooner by the wait.
   */
  reportNow(): void {
    const address = this.#parts.holderAddress();
    if (address !== null) {
      const report = this.#parts.report(NO_TABLE);
      void this.#parts.link.exchange(address, report, EXCHANGE_GRACE);
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
      this.#version = 0;
    }
    const report = this.#parts.report(this.#version);
    const timeout = EXCHANGE_WAIT + EXCHANGE_GRACE;
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
    this.#applyReply(answer.value.word);
    return true;
  }

  #handleLost(address: string, detail: string): void {
    if (this.#hasAnswered) {
      this.#parts.log.warn("holder_lost", { address, detail });
    }
    this.#hasAnswered = false;
  }

  #applyReply(reply: IHolderReply): void {
    this.#repliedAt = this.#parts.clock.now();
    this.#version = reply.tableVersion;
    this.#groups = reply.groups ?? this.#groups;
    this.#abandonedGroups = reply.givenUp ?? this.#abandonedGroups;
    this.#othersInFlight = new Map(Object.entries(reply.othersInFlight));
    this.#isInDoubt = reply.isInDoubt;
    this.#processes = reply.processes;
    if (reply.store) {
      this.#parts.onStoreUpdate(reply.store);
    }
    this.#parts.onReply();
  }

  #wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.after(delay, resolve);
    });
  }
}
