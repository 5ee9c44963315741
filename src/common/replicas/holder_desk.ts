/**
 * The lease holder's side of the exchange: keeps the table of serving groups
 * and answers processes at once when it changes, else after a short wait.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";
import { Emitter } from "../emitter.ts";
import type { IStoreVersions, IStoreWord } from "../relay/types.ts";
import type { IClock } from "../services/services.ts";
import { EXCHANGE_WAIT } from "./holder_listener.ts";
import type { ExchangeAnswer, IProcessWord } from "./exchange.ts";
import { ProcessWords, sumInFlight } from "./process_words.ts";

/** Versions of the table under one epoch of the lease. */
const TABLES_PER_EPOCH = 1_000_000;

/** What the desk needs. */
export interface IHolderDeskParts {
  readonly clock: IClock;
  /** Whether this process holds the lease and knows the groups. */
  readonly isInOffice: () => boolean;
  readonly mayOrder: () => boolean;
  readonly leaseEpoch: () => number;
  /** Groups that some process found standing still. */
  readonly onSuspects: (groups: readonly string[]) => void;
  /** This process's own word. */
  readonly ownWord: () => IProcessWord;
  /** What the store told, beyond what a process has. */
  readonly storeWord: (versions: IStoreVersions) => IStoreWord | null;
}

/** Answers the other processes. */
export class HolderDesk {
  readonly #parts: IHolderDeskParts;
  readonly #words = new ProcessWords();
  readonly #changed = new Emitter<void>();
  #groups: readonly IServingGroup[] = [];
  #givenUp: readonly string[] = [];
  #changes = 0;

  constructor(parts: IHolderDeskParts) {
    this.#parts = parts;
  }

  /**
   * The groups that serve have changed.
   *
   * @param givenUp - groups that were given up of late
   */
  tableChanged(
    groups: readonly IServingGroup[],
    givenUp: readonly string[],
  ): void {
    this.#groups = groups;
    this.#givenUp = givenUp;
    this.#changes += 1;
    this.#changed.fire();
  }

  get groups(): readonly IServingGroup[] {
    return this.#groups;
  }

  get givenUp(): readonly string[] {
    return this.#givenUp;
  }

  /** Words of all processes, this one's included. */
  get words(): readonly IProcessWord[] {
    const now = this.#parts.clock.now();
    return [...this.#words.fresh(now), this.#parts.ownWord()];
  }

  /** Requests in each group that the others have sent. */
  get others(): ReadonlyMap<string, number> {
    return sumInFlight(this.#words.fresh(this.#parts.clock.now()));
  }

  async answer(word: IProcessWord): Promise<ExchangeAnswer> {
    if (!this.#parts.isInOffice()) {
      return this.#otherWord();
    }
    this.#words.heard(word, this.#parts.clock.now());
    this.#parts.onSuspects(word.suspects);
    if (word.tableVersion === this.#version) {
      await this.#changeOrWait();
    }
    if (!this.#parts.isInOffice()) {
      return this.#otherWord();
    }
    const words = this.words;
    const others = words.filter(({ process }) => process !== word.process);
    const hasTable = word.tableVersion === this.#version;
    return {
      isHolder: true,
      word: {
        tableVersion: this.#version,
        groups: hasTable ? null : this.#groups,
        givenUp: hasTable ? null : this.#givenUp,
        othersInFlight: Object.fromEntries(sumInFlight(others)),
        isInDoubt: !this.#parts.mayOrder(),
        processes: words.length,
        store: this.#parts.storeWord(word.versions),
      },
    };
  }

  #otherWord(): ExchangeAnswer {
    const { process } = this.#parts.ownWord();
    return { isHolder: false, other: { process } };
  }

  get #version(): number {
    return this.#parts.leaseEpoch() * TABLES_PER_EPOCH + this.#changes;
  }

  #changeOrWait(): Promise<void> {
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
