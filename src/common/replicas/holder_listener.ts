/**
 * The part of a process that does not hold the lease: it tells the holder what
 * it has in flight and hears which groups serve.
 *
 * Without it a process learns of a lost or a new group from the platform's
 * list, a second or more later, and of the others' requests never.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IStoreWord } from "../relay/types.ts";
import type { IClock, ILog } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import type { IHolderLink, IHolderWord, IProcessWord } from "./exchange.ts";

/** The holder answers at the latest by then where nothing changes. */
export const EXCHANGE_WAIT = 200;

/** Beyond it until an exchange counts as failed, milliseconds. */
const EXCHANGE_GRACE = 400;

/** Shortest time between two exchanges, milliseconds. */
const SHORTEST_PAUSE = 30;

/** Time between two tries while there is no holder, milliseconds. */
const RETRY_PAUSE = 150;

/** Names no table, so that the answer does not wait for a newer one. */
const NO_TABLE = 0;

/** A table that is older is not used, milliseconds. */
const TABLE_LIFETIME = 1_500;

/** What the listener needs. */
export interface IHolderListenerParts {
  readonly link: IHolderLink;
  readonly clock: IClock;
  readonly log: ILog;
  /** Where the holder is reached; null where there is none, or it is here. */
  readonly holderAddress: () => string | null;
  readonly word: (tableVersion: number) => IProcessWord;
  readonly onHeard: () => void;
  readonly onStoreWord: (word: IStoreWord) => void;
  /** Another process answers at the holder's address. */
  readonly onOtherProcess: (process: string) => void;
}

/** What a holder knows of the groups and of the other processes. */
export interface IHolderTable {
  readonly groups: readonly IServingGroup[];
  /** Groups that were given up of late. */
  readonly givenUp: readonly string[];
  /** Requests in each group that the others have sent. */
  readonly others: ReadonlyMap<string, number>;
  /** Processes heard of, the holder included. */
  readonly processes: number;
}

/** Hears from the holder. */
export class HolderListener {
  readonly #parts: IHolderListenerParts;
  #groups: readonly IServingGroup[] = [];
  #givenUp: readonly string[] = [];
  #others: ReadonlyMap<string, number> = new Map();
  #processes = 1;
  #version = 0;
  #address: string | null = null;
  #heardAt: MonotonicTime = Number.NEGATIVE_INFINITY;
  #hasAnswered = false;
  #isInDoubt = false;
  #isStopped = false;

  constructor(parts: IHolderListenerParts) {
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
    return this.#parts.clock.now() - this.#heardAt;
  }

  /** Whether the holder answered the last exchange and can give orders. */
  get isHolderSound(): boolean {
    return this.#hasAnswered && !this.#isInDoubt;
  }

  get groups(): readonly IServingGroup[] {
    return this.#groups;
  }

  /** Groups that the holder has given up of late. */
  get givenUp(): readonly string[] {
    return this.#givenUp;
  }

  get others(): ReadonlyMap<string, number> {
    return this.#others;
  }

  /** Processes that the holder hears of. */
  get processes(): number {
    return this.#processes;
  }

  /**
   * Goes by this process's own last table until another holder is heard: what
   * the holder before it told is out of date.
   */
  leaveOffice(table: IHolderTable): void {
    this.#heardAt = this.#parts.clock.now();
    this.#address = null;
    this.#groups = table.groups;
    this.#givenUp = table.givenUp;
    this.#others = table.others;
    this.#processes = table.processes;
  }

  /**
   * Tells the holder at once, beside the exchange that waits: a group found
   * standing still is healed sooner by the wait.
   */
  urge(): void {
    const address = this.#parts.holderAddress();
    if (address !== null) {
      const word = this.#parts.word(NO_TABLE);
      void this.#parts.link.exchange(address, word, EXCHANGE_GRACE);
    }
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const address = this.#parts.holderAddress();
      const heard = address !== null && (await this.#exchange(address));
      await this.#wait(heard ? SHORTEST_PAUSE : RETRY_PAUSE);
    }
  }

  async #exchange(address: string): Promise<boolean> {
    if (address !== this.#address) {
      this.#address = address;
      this.#version = 0;
    }
    const word = this.#parts.word(this.#version);
    const timeout = EXCHANGE_WAIT + EXCHANGE_GRACE;
    const answer = await this.#parts.link.exchange(address, word, timeout);
    if (answer.isErr()) {
      this.#lost(address, answer.error.detail);
      return false;
    }
    if (!answer.value.isHolder) {
      const { process } = answer.value.other;
      this.#lost(address, "does not hold the lease");
      this.#parts.onOtherProcess(process);
      return false;
    }
    if (!this.#hasAnswered) {
      this.#parts.log.info("holder_heard", { address });
    }
    this.#hasAnswered = true;
    this.#take(answer.value.word);
    return true;
  }

  #lost(address: string, detail: string): void {
    if (this.#hasAnswered) {
      this.#parts.log.warn("holder_lost", { address, detail });
    }
    this.#hasAnswered = false;
  }

  #take(word: IHolderWord): void {
    this.#heardAt = this.#parts.clock.now();
    this.#version = word.tableVersion;
    this.#groups = word.groups ?? this.#groups;
    this.#givenUp = word.givenUp ?? this.#givenUp;
    this.#others = new Map(Object.entries(word.othersInFlight));
    this.#isInDoubt = word.isInDoubt;
    this.#processes = word.processes;
    if (word.store) {
      this.#parts.onStoreWord(word.store);
    }
    this.#parts.onHeard();
  }

  #wait(delay: number): Promise<void> {
    return new Promise((resolve) => {
      this.#parts.clock.after(delay, resolve);
    });
  }
}
