/**
 * Logs the relevant changes of the target list by store version, so that
 * processes with an older list can be sent the difference.
 *
 * Targets write to the list with each heartbeat, and each process that watches
 * it is answered at once, each time. These calls grow with processes times
 * targets, although hardly any of them has new content. So a target that
 * decodes to the same value counts as unchanged here.
 */
import type { IListedTarget } from "../calls/types.ts";
import type { InstanceId } from "../types.ts";
import type { ITargetChanges } from "./types.ts";

/** Number of changes kept: far more than occur in a relay's longest gap. */
const MAX_ENTRIES = 2_000;

interface IEntry {
  readonly version: number;
  readonly id: InstanceId;
}

/** Content of one answer of the store. */
export interface IRecordedChange {
  readonly version: number;
  /** Whether the whole list was read: earlier changes are unknown. */
  readonly isFullList: boolean;
  /** The targets that the answer names, including removed ones. */
  readonly ids: Iterable<InstanceId>;
  /** All targets, with the changes applied. */
  readonly all: ReadonlyMap<InstanceId, IListedTarget>;
  /** Milliseconds for which a removed target is still kept; null if it is not. */
  readonly timeLeft: (id: InstanceId) => number | null;
}

/** Target changes known to one process. */
export class TargetChangeLog {
  #entries: readonly IEntry[] = [];
  /** Content of each target when it last changed. */
  readonly #contents = new Map<InstanceId, string>();
  #all: ReadonlyMap<InstanceId, IListedTarget> = new Map();
  #timeLeft: (id: InstanceId) => number | null = () => null;
  /**
   * All changes after this version are kept; null before a whole list was read.
   */
  #start: number | null = null;
  #changedVersion = 0;

  /** No target has changed since this version. */
  get changedVersion(): number {
    return this.#changedVersion;
  }

  record(change: IRecordedChange): void {
    const { version, isFullList, ids, all } = change;
    this.#all = all;
    this.#timeLeft = change.timeLeft;
    if (isFullList) {
      this.#entries = [];
      this.#start = version;
      this.#contents.clear();
    }
    const changed = [...ids].filter((id) => this.#isChanged(id));
    if (isFullList || changed.length > 0) {
      this.#changedVersion = version;
    }
    if (!isFullList) {
      this.#append(changed.map((id) => ({ version, id })));
    }
  }

  /** Returns the changes after a version; null if they are not all known. */
  changesSince(version: number): ITargetChanges | null {
    if (this.#start === null || version < this.#start) {
      return null;
    }
    const later = this.#entries.filter((entry) => entry.version > version);
    const ids = new Set(later.map(({ id }) => id));
    const targets: IListedTarget[] = [];
    const removed: InstanceId[] = [];
    const expiring: Record<InstanceId, number> = {};
    for (const id of ids) {
      const target = this.#all.get(id);
      const timeLeft = this.#timeLeft(id);
      if (target === undefined) {
        removed.push(id);
      } else if (timeLeft !== null) {
        expiring[id] = timeLeft;
      } else {
        targets.push(target);
      }
    }
    return { targets, removed, expiring };
  }

  #isChanged(id: InstanceId): boolean {
    const target = this.#all.get(id);
    const isExpiring = this.#timeLeft(id) !== null;
    const current =
      target === undefined ? "" : JSON.stringify([target, isExpiring]);
    const previous = this.#contents.get(id) ?? "";
    if (current === "") {
      this.#contents.delete(id);
    } else {
      this.#contents.set(id, current);
    }
    return current !== previous;
  }

  #append(entries: readonly IEntry[]): void {
    const all = [...this.#entries, ...entries];
    const surplus = all.length - MAX_ENTRIES;
    this.#start = all[surplus - 1]?.version ?? this.#start;
    this.#entries = surplus > 0 ? all.slice(surplus) : all;
  }
}
