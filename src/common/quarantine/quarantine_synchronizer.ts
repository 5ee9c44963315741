/**
 * Keeps the list of a process and the record in the platform's store alike: adds
 * what the record lacks, and drops what an operator has taken out of it.
 */
import type { IClock, ILog } from "../services/services.ts";
import type { MonotonicTime } from "../types.ts";
import type { QuarantineList, ReleasedEntries } from "./quarantine_list.ts";
import type { QuarantineRecord } from "./quarantine_record.ts";
import type { IQuarantineEntry } from "./types.ts";

/**
 * Milliseconds between two reads of the record, which show the entries that
 * operators have taken out; by a process without a holder; and while entries
 * are not saved.
 */
const READ_PERIOD = 10_000;
const ALONE_READ_PERIOD = 2_000;
const RETRY_PERIOD = 300;

/** Dependencies of {@link QuarantineSynchronizer}. */
export interface IQuarantineSynchronizerParts {
  readonly record: QuarantineRecord;
  readonly list: QuarantineList;
  readonly clock: IClock;
  readonly log: ILog;
  /** Called when the list has changed. */
  readonly onChanged: (released: ReleasedEntries) => void;
}

/** Reads and writes the record when that is due. */
export class QuarantineSynchronizer {
  readonly #parts: IQuarantineSynchronizerParts;
  #isLoaded = false;
  #isBusy = false;
  /** When the record was last read or written, or that failed. */
  #triedAt: MonotonicTime = Number.NEGATIVE_INFINITY;

  constructor(parts: IQuarantineSynchronizerParts) {
    this.#parts = parts;
  }

  /** Whether the record has been read. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** @param isAlone - whether no other process sends this one changes */
  update(isAlone: boolean): void {
    const { clock, list } = this.#parts;
    const isWritten = list.unsaved.length === 0 && !list.hasUnsavedReleases;
    const isDone = this.#isLoaded && isWritten;
    const period = isAlone ? ALONE_READ_PERIOD : READ_PERIOD;
    const pause = isDone ? period : RETRY_PERIOD;
    if (!this.#isBusy && clock.now() - this.#triedAt >= pause) {
      void this.#synchronize();
    }
  }

  async #synchronize(): Promise<void> {
    const { clock, list, log } = this.#parts;
    this.#isBusy = true;
    const problem = await this.#readAndWrite();
    this.#isBusy = false;
    this.#triedAt = clock.now();
    if (problem !== null && list.unsaved.length > 0) {
      const entries = list.unsaved.length;
      log.warn("quarantine_unsaved", { entries, detail: problem });
    }
  }

  /** Returns what failed, or null. */
  async #readAndWrite(): Promise<string | null> {
    const { clock, list, onChanged, record } = this.#parts;
    const stored = await record.read();
    if (stored.isErr()) {
      return stored.error;
    }
    this.#isLoaded = true;
    const now = clock.calendar();
    const current = stored.value.filter(({ until }) => now < until);
    const before = list.entries;
    const released = list.replaceSaved(current);
    const problem = await this.#writeUnsaved();
    if (!isSameList(before, list.entries)) {
      onChanged(released);
    }
    return problem;
  }

  /** Returns what failed, or null. */
  async #writeUnsaved(): Promise<string | null> {
    const { list, record } = this.#parts;
    const { unsaved } = list;
    if (unsaved.length === 0 && !list.hasUnsavedReleases) {
      return null;
    }
    const written = await record.write(list.entries);
    if (written.isErr()) {
      return written.error;
    }
    const saved = list.entries.map((entry) =>
      unsaved.includes(entry) ? { ...entry, isSaved: true } : entry,
    );
    list.replaceSaved(saved);
    list.handleReleasesSaved();
    return null;
  }
}

function isSameList(
  one: readonly IQuarantineEntry[],
  other: readonly IQuarantineEntry[],
): boolean {
  return (
    one.length === other.length &&
    one.every((entry, index) => {
      const match = other[index];
      return (
        entry.service === match?.service &&
        entry.parts.join(",") === match.parts.join(",") &&
        entry.isSaved === match.isSaved
      );
    })
  );
}
