import { expect } from "chai";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { NO_QUARANTINE } from "../../../test/support/recording_services.ts";
import type { IServingGroup } from "../calls/serving_groups.ts";
import type { IHolderReply, IProcessReport } from "./exchange.ts";
import { ExchangeServer } from "./exchange_server.ts";

/** A deployment of 160 engines. */
const GROUP_COUNT = 45;

/** A tenth of such a table; a few changed groups fit. */
const CHANGE_LENGTH_SHARE = 0.1;

function servingGroup(index: number): IServingGroup {
  return {
    group: `group-${index}`,
    service: "summaries",
    model: "large",
    head: { id: `engine-${index}`, address: `10.0.0.${index}:8000` },
    zone: "north-a",
    slots: 20,
    takesWork: true,
    pace: 1,
    isZoneOnly: false,
  };
}

const TABLE = Array.from({ length: GROUP_COUNT }, (_, at) => servingGroup(at));

function processReport(
  tableVersion: number,
  other: Partial<IProcessReport> = {},
): IProcessReport {
  return {
    process: "other",
    hasCalls: true,
    inFlight: {},
    work: [],
    tableVersion,
    suspects: [],
    versions: { configuration: 0, targets: 0 },
    takesTableChanges: true,
    ...other,
  };
}

function startServer(
  onGroupsSuspected: (groups: readonly string[]) => void = () => undefined,
): ExchangeServer {
  return new ExchangeServer({
    clock: new ManualClock(),
    isActiveHolder: () => true,
    mayOrder: () => true,
    leaseEpoch: () => 1,
    rateLimits: { merge: () => undefined, observations: {}, rates: new Map() },
    onGroupsSuspected,
    ownReport: () => processReport(0, { process: "holder" }),
    storeUpdate: () => null,
    quarantine: NO_QUARANTINE,
  });
}

async function replyTo(
  server: ExchangeServer,
  report: IProcessReport,
): Promise<IHolderReply> {
  const answer = await server.answer(report);
  if (!answer.isHolder) {
    throw new Error("answered as if it did not hold the lease");
  }
  return answer.word;
}

describe("ExchangeServer", () => {
  // Guards against a holder on a small machine whose link is full of tables
  // after a loss of engines: its reports time out, and it abandons groups whose
  // engines are well.
  it("sends a process only the groups that changed", async () => {
    const server = startServer();
    server.updateTable(TABLE, []);
    const first = await replyTo(server, processReport(0));
    expect(first.groups).to.deep.equal(TABLE);
    const opened = servingGroup(GROUP_COUNT);
    const slowed = { ...servingGroup(3), pace: 2 };
    const rest = TABLE.filter((_, at) => at !== 3 && at !== 7);
    server.updateTable([...rest, slowed, opened], ["group-7"]);
    const next = await replyTo(server, processReport(first.tableVersion));
    expect(next.groups).to.equal(null);
    expect(next.tableChanges).to.deep.equal({
      since: first.tableVersion,
      changed: [slowed, opened],
      removed: ["group-7"],
    });
    expect(JSON.stringify(next).length).to.be.below(
      JSON.stringify(first).length * CHANGE_LENGTH_SHARE,
    );
  });

  // Guards against processes that keep an old table: they have missed more
  // changes than the holder remembers.
  it("sends all groups to a process with an unknown table", async () => {
    const server = startServer();
    server.updateTable(TABLE, []);
    const first = await replyTo(server, processReport(0));
    for (let change = 0; change < 100; change += 1) {
      server.updateTable(TABLE.slice(change % 2), []);
    }
    const next = await replyTo(server, processReport(first.tableVersion));
    expect(next.groups).to.deep.equal(TABLE.slice(1));
  });

  // Guards against stale tables during a rolling update: an older build reads
  // the missing groups as an unchanged table.
  it("sends all groups to a process of an older build", async () => {
    const server = startServer();
    server.updateTable(TABLE, []);
    const { tableVersion } = await replyTo(server, processReport(0));
    server.updateTable(TABLE.slice(1), []);
    const older = processReport(tableVersion, { takesTableChanges: undefined });
    const next = await replyTo(server, older);
    expect(next.groups).to.deep.equal(TABLE.slice(1));
  });

  // Guards against forwarded calls to processes of older builds, which answer
  // that there is no such path.
  it("names only processes that take forwarded requests", async () => {
    const server = startServer();
    const forwarding = { zone: "north-a", outOfReach: [] };
    const newer = processReport(0, { process: "10.0.0.2:1/run", forwarding });
    await replyTo(server, newer);
    await replyTo(server, processReport(0, { process: "10.0.0.3:1/run" }));
    const asking = { process: "10.0.0.1:1/run", forwarding };
    const { peers } = await replyTo(server, processReport(0, asking));
    expect(peers).to.deep.equal([{ address: "10.0.0.2:1", zone: "north-a" }]);
    const older = await replyTo(server, processReport(0));
    expect(older).to.not.have.property("peers");
  });

  // Guards against suspicions of a process that sees all groups fall silent
  // because it has lost its own links.
  it("ignores what a process out of reach suspects", async () => {
    const suspected: string[] = [];
    const server = startServer((groups) => suspected.push(...groups));
    const suspects = ["group-1"];
    const outOfReach = ["summaries"];
    const forwarding = { zone: "north-a", outOfReach };
    await replyTo(server, processReport(0, { suspects, forwarding }));
    expect(suspected).to.deep.equal([]);
    await replyTo(server, processReport(0, { suspects }));
    expect(suspected).to.deep.equal(suspects);
  });
});

describe("the succession of the lease holder", () => {
  async function successors(
    cores: Readonly<Record<string, number | undefined>>,
  ): Promise<readonly string[]> {
    const server = startServer();
    server.updateTable(TABLE, []);
    const report = (process: string): IProcessReport => {
      const known = cores[process];
      return processReport(0, {
        process,
        ...(known === undefined ? {} : { cores: known }),
      });
    };
    const names = Object.keys(cores);
    await Promise.all(names.map((name) => server.answer(report(name))));
    const answers = await Promise.all(
      names.map((name) => server.answer(report(name))),
    );
    return names.filter((_, index) => {
      const answer = answers[index];
      return answer?.isHolder === true && answer.word.isSuccessor === true;
    });
  }

  // Guards against a lease that goes to a process which falls behind with the
  // holder's work, and loses it again and again.
  it("leaves processes out that get far less processor time", async () => {
    const large = { a: 1.35, b: 1.35 };
    const small = { c: 0.324, d: 0.324, e: 0.324 };
    expect(await successors({ ...small, ...large })).to.deep.equal(["a", "b"]);
  });

  it("is open to all processes that are alike", async () => {
    const alike = { a: 0.675, b: 0.675, c: 0.6 };
    expect(await successors(alike)).to.deep.equal(["a", "b", "c"]);
  });

  it("is open to a process of unknown size", async () => {
    const mixed = { a: 1.35, b: undefined, c: 0.3 };
    expect(await successors(mixed)).to.deep.equal(["a", "b"]);
  });
});
