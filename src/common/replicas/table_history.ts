/**
 * Recent tables of serving groups, so that a process that has one of them is
 * sent the difference.
 *
 * A table has some ten kilobytes, and after a loss of engines it changes with
 * each pass. Sent whole to every process each time, it fills the link of a small
 * machine: the holder's reports and orders then wait in the same queue, engines
 * count as silent, and their groups are abandoned, which changes the table again.
 */
import type { IServingGroup } from "../calls/serving_groups.ts";

/** Number of tables kept: far more than arise between two exchanges. */
const MAX_TABLES = 64;

/** The difference between two tables. */
export interface ITableChanges {
  /** The table that they apply to. */
  readonly since: number;
  /** New groups and those with new content. */
  readonly changed: readonly IServingGroup[];
  /** Names of groups that are not in the table any more. */
  readonly removed: readonly string[];
}

/** The contents of a table's groups by name. */
type TableContents = ReadonlyMap<string, string>;

/** Keeps recent tables by version. */
export class TableHistory {
  readonly #tables = new Map<number, TableContents>();

  record(version: number, groups: readonly IServingGroup[]): void {
    this.#tables.set(version, contentsOf(groups));
    const [oldest] = this.#tables.keys();
    if (oldest !== undefined && this.#tables.size > MAX_TABLES) {
      this.#tables.delete(oldest);
    }
  }

  /**
   * Returns the changes from one table to the current one; null if the former
   * is not known any more.
   */
  changesSince(
    since: number,
    groups: readonly IServingGroup[],
  ): ITableChanges | null {
    const before = this.#tables.get(since);
    if (before === undefined) {
      return null;
    }
    const present = new Set(groups.map(({ group }) => group));
    return {
      since,
      changed: groups.filter(
        (one) => before.get(one.group) !== JSON.stringify(one),
      ),
      removed: [...before.keys()].filter((name) => !present.has(name)),
    };
  }
}

function contentsOf(groups: readonly IServingGroup[]): TableContents {
  return new Map(groups.map((one) => [one.group, JSON.stringify(one)]));
}

/** Returns a table with changes applied. */
export function withTableChanges(
  groups: readonly IServingGroup[],
  { changed, removed }: ITableChanges,
): readonly IServingGroup[] {
  const table = new Map(groups.map((one) => [one.group, one]));
  removed.forEach((name) => table.delete(name));
  changed.forEach((one) => table.set(one.group, one));
  return [...table.values()];
}
