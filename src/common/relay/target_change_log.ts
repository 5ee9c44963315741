/**
 * The changes of the target list that matter, by the store's version, so that
 * processes that have an older list can be told the difference.
 *
 * Pattern of load: targets write to the list with each heartbeat, and each
 * process that watches it is answered at once, each time. The calls grow with
 * processes times targets, though hardly any of them says anything new. So what
 * decodes to the same target is no change here.
 */
import type { IListedTarget } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";
import type { ITargetChanges } from "./types.ts";

/** Changes kept: far more than come in a relay's longest gap. */
const MAX_ENTRIES = 2_000;

interface IEntry {
  readonly version: number;
  readonly id: InstanceId;
}

/** What became known with one answer. */
export interface IRecordedChange {
  readonly version: number;
  /** Whether the list was read whole: nothing is known of the time before. */
  readonly isWhole: boolean;
  /** The targets that the answer names, gone ones included. */
  readonly ids: Iterable<InstanceId>;
  /** All targets, the changes included. */
  readonly all: ReadonlyMap<InstanceId, IListedTarget>;
}

/** The log of one process. */
export class TargetChangeLog {
  #entries: readonly IEntry[] = [];
  /** What each target was when it last changed. */
  readonly #known = new Map<InstanceId, string>();
  #all: ReadonlyMap<InstanceId, IListedTarget> = new Map();
  /** Changes after this version are all here; null before a whole list. */
  #start: number | null = null;
  #changedVersion = 0;

  /** No target has changed since this version. */
  get changedVersion(): number {
    return this.#changedVersion;
  }

  record({ version, isWhole, ids, all }: IRecordedChange): void {
    this.#all = all;
    if (isWhole) {
      this.#entries = [];
      this.#start = version;
      this.#known.clear();
    }
    const changed = [...ids].filter((id) => this.#isChanged(id));
    if (isWhole || changed.length > 0) {
      this.#changedVersion = version;
    }
    if (!isWhole) {
      this.#add(changed.map((id) => ({ version, id })));
    }
  }

  /** The changes after a version; null where they are not all known. */
  changesSince(version: number): ITargetChanges | null {
    if (this.#start === null || version < this.#start) {
      return null;
    }
    const later = this.#entries.filter((entry) => entry.version > version);
    const ids = new Set(later.map(({ id }) => id));
    const targets: IListedTarget[] = [];
    const removed: InstanceId[] = [];
    for (const id of ids) {
      const target = this.#all.get(id);
      if (target === undefined) {
        removed.push(id);
      } else {
        targets.push(target);
      }
    }
    return { targets, removed };
  }

  #isChanged(id: InstanceId): boolean {
    const target = this.#all.get(id);
    const now = target === undefined ? "" : JSON.stringify(target);
    const before = this.#known.get(id) ?? "";
    if (now === "") {
      this.#known.delete(id);
    } else {
      this.#known.set(id, now);
    }
    return now !== before;
  }

  #add(entries: readonly IEntry[]): void {
    const all = [...this.#entries, ...entries];
    const surplus = all.length - MAX_ENTRIES;
    this.#start = all[surplus - 1]?.version ?? this.#start;
    this.#entries = surplus > 0 ? all.slice(surplus) : all;
  }
}
