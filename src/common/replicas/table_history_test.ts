import { expect } from "chai";
import fc from "fast-check";
import type { IServingGroup } from "../calls/serving_groups.ts";
import { TableHistory, withTableChanges } from "./table_history.ts";

const SEED = 20261203;

const groups = fc.uniqueArray(
  fc.record({ name: fc.integer({ min: 0, max: 9 }), pace: fc.nat(2) }),
  { selector: ({ name }) => name },
);

function servingGroups(
  from: readonly { readonly name: number; readonly pace: number }[],
): readonly IServingGroup[] {
  return from.map(({ name, pace }) => ({
    group: `group-${name}`,
    service: "summaries",
    model: "large",
    head: { id: `engine-${name}`, address: "10.0.0.1:8000" },
    zone: "north-a",
    slots: 20,
    takesWork: true,
    pace,
    isZoneOnly: false,
  }));
}

function sorted(table: readonly IServingGroup[]): readonly IServingGroup[] {
  return [...table].sort((one, other) => (one.group < other.group ? -1 : 1));
}

describe("TableHistory", () => {
  // Guards against calls sent to a group that is gone, or kept from one that
  // is open, by a process that received changes instead of the whole table.
  it("gives changes that lead to the current table", () => {
    const tables = fc.array(groups, { minLength: 2, maxLength: 8 });
    fc.assert(
      fc.property(tables, fc.nat(), (drawn, chance) => {
        const history = new TableHistory();
        const all = drawn.map(servingGroups);
        all.forEach((table, version) => history.record(version, table));
        const since = chance % all.length;
        const current = all.at(-1) ?? [];
        const changes = history.changesSince(since, current);
        if (changes === null) {
          throw new Error(`table ${since} is not known`);
        }
        const applied = withTableChanges(all[since] ?? [], changes);
        expect(sorted(applied)).to.deep.equal(sorted(current));
      }),
      { seed: SEED },
    );
  });
});
