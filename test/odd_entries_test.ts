/** Entries of other writers among those of the targets. */
import { expect } from "chai";
import { EntryFleet, Path } from "./support/entry_fleet.ts";
import { waitFor } from "./support/process_handle.ts";

/** Depth of an entry that is nested needlessly. */
const DEPTH = 3_000;

function nested(): unknown {
  let value: unknown = 1;
  for (let level = 0; level < DEPTH; level += 1) {
    value = [value];
  }
  return value;
}

/** Entries that resemble one of a plain target, but for one field. */
function oddEntries(entry: object): readonly unknown[] {
  return [
    null,
    "text",
    nested(),
    { ...entry, address: "127.0.0.1:70000" },
    { ...entry, address: "127.0.0.1:0" },
    { ...entry, address: "300.0.0.1:80" },
    { ...entry, slots: 1e308 },
    { ...entry, slots: -1 },
    { ...entry, born: 1e300 },
    { ...entry, born: "soon" },
    { ...entry, state: "elsewhere" },
    { ...entry, group: nested() },
    {
      ...entry,
      service: "summaries",
      group: { name: "odd", epoch: 1e308, rank: 0, state: "open" },
    },
  ];
}

const ODD_ITEMS = [null, {}, [], { metadata: null }, { object: null }];

describe("odd entries among those of the targets", () => {
  // Guards against processes that end, or follow the list no more, since another
  // writer left an entry that cannot be read among those of the targets.
  it("end no process, and the others hold", async () => {
    await using fleet = new EntryFleet();
    await fleet.start(2);
    const [left, stays] = fleet.plainTargets;
    const entry = fleet.store.specOf("servers", stays?.id ?? "") as object;
    fleet.store.oddItems = ODD_ITEMS;
    oddEntries(entry).forEach((odd, index) =>
      fleet.store.put("servers", `odd-${index}`, odd),
    );
    const unreadable = "event=objects_unreadable";
    await waitFor("the holder has read them", () =>
      Boolean(fleet.processes[0]?.handle.output.includes(unreadable)),
    );
    fleet.store.remove("servers", left?.id ?? "");
    const dropped = `targets=${left?.id}`;
    await waitFor("all have read a later change", () =>
      fleet.processes.every(({ handle }) => handle.output.includes(dropped)),
    );
    for (const index of [0, 1]) {
      for (const path of [Path.Safe, Path.Stream]) {
        const { status } = await fleet.sendCall(index, path);
        expect(status, `${path} at ${index}`).to.equal(200);
      }
    }
  });
});
