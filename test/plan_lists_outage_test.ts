/**
 * Guards against plan lists that do not reach a daemon, or that go back to an
 * older version there, under cuts, a stale or restored platform, bad input and
 * concurrent operators. All tests share one deployment and check what callers
 * get by the lists; no daemon's version may ever decrease.
 */
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { PLAN_LIST_KIND } from "../src/common/plans/types.ts";
import type { IBurnReport } from "../src/common/reports/burn_report.ts";
import type { IDaemonStatus } from "../src/common/services/daemon_status.ts";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { Operator } from "./support/operator.ts";
import { waitFor } from "./support/process_handle.ts";
import { VersionSampler } from "./support/version_sampler.ts";

const ZONES = ["vn-north-a", "vn-north-b", "vn-north-c"];
const CUT_ZONE_PREFIX = "daemon-vn-north-c-";
const EXAMPLES = new URL("../examples/song_lam/", import.meta.url);
const EDITS = 50;
/** Milliseconds. */
const EDIT_INTERVAL = 100;
const PUBLISHED = readFileSync(new URL("customers.yaml", EXAMPLES), "utf8");
const PLANS = readFileSync(new URL("plans.yaml", EXAMPLES), "utf8");

/** The published customers and one more, which identifies the version. */
function customersWith(secret: string): string {
  const digest = createHash("sha256").update(secret).digest("hex");
  return `${PUBLISHED}  - account: added
    plan: readers
    credential_sha256: ${digest}
`;
}

describe("plan lists under failure", () => {
  let deployment: Deployment;
  let operator: Operator;
  let sampler: VersionSampler;
  let daemons: readonly string[];

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: ZONES,
      daemonsPerZone: 3,
      enginesPerZone: 4,
      plainService: "delivery-api",
      lists: { poll: "1s" },
    });
    operator = new Operator(deployment.platformAddress);
    daemons = deployment.processNames("daemon-");
    sampler = new VersionSampler(
      daemons.map((name) =>
        deployment.process(name).listeningField("operations"),
      ),
    );
  });

  after(async () => {
    await sampler[Symbol.asyncDispose]();
    await operator[Symbol.asyncDispose]();
    await deployment[Symbol.asyncDispose]();
  });

  afterEach(() => {
    expect(sampler.regressions).to.deep.equal([]);
  });

  /** The HTTP status of a call with a credential at a daemon. */
  async function callStatus(daemon: string, credential: string) {
    const address = deployment.process(daemon).listeningField("callers");
    const operation = "delivery-api/feed";
    const reply = await sendCall({ address, credential, operation, body: {} });
    return reply.status;
  }

  function waitUntilServed(
    names: readonly string[],
    secret: string,
  ): Promise<void> {
    return waitFor(`${secret} is served at ${names.join(" ")}`, async () => {
      const answers = names.map((name) => callStatus(name, secret));
      return (await Promise.all(answers)).every((status) => status === 200);
    });
  }

  async function statusOf(daemon: string): Promise<IDaemonStatus> {
    const status: unknown = await deployment.status(daemon);
    return status as IDaemonStatus;
  }

  function waitForAlarm(daemon: string, alarm: string, isRaised: boolean) {
    return waitFor(`${alarm} at ${daemon}: ${isRaised}`, async () => {
      const { alarms } = await statusOf(daemon);
      return alarms.some((entry) => entry.alarm === alarm) === isRaised;
    });
  }

  function setLinks(prefix: string, mode: LinkMode): void {
    for (const daemon of daemons) {
      if (
        `${prefix}${daemon}`.includes(CUT_ZONE_PREFIX) ||
        prefix === "peers>"
      ) {
        deployment.link(`${prefix}${daemon}`).setMode(mode);
      }
    }
  }

  const cutDaemons = () =>
    daemons.filter((name) => name.startsWith(CUT_ZONE_PREFIX));
  const otherDaemons = () =>
    daemons.filter((name) => !name.startsWith(CUT_ZONE_PREFIX));

  it("reach a zone that is cut from the platform only", async () => {
    // One zone loses the platform but not its peers. Without lists from other
    // zones, it would apply outdated plans and refuse a newly added customer.
    setLinks("platform<", LinkMode.Cut);
    await waitForAlarm(`${CUT_ZONE_PREFIX}0`, "plan_lists_unconfirmed", true);
    await operator.putList("customers", customersWith("through-peers"));
    await waitUntilServed(daemons, "through-peers");
    expect((await statusOf(`${CUT_ZONE_PREFIX}0`)).lists_age_ms).to.be.above(0);
    setLinks("platform<", LinkMode.Pass);
    await waitForAlarm(`${CUT_ZONE_PREFIX}0`, "plan_lists_unconfirmed", false);
  });

  it("stay in force in an isolated zone, and catch up afterwards", async () => {
    // A zone loses both the platform and its peers. It must keep serving by the
    // lists it has and show their age to operators; the edits made meanwhile
    // must come into force once the cut ends.
    await operator.putList("customers", customersWith("before-cut"));
    await waitUntilServed(daemons, "before-cut");
    setLinks("platform<", LinkMode.Cut);
    setLinks("peers>", LinkMode.Cut);
    await operator.putList("customers", customersWith("during-cut"));
    await waitUntilServed(otherDaemons(), "during-cut");
    for (const daemon of cutDaemons()) {
      expect(await callStatus(daemon, "before-cut")).to.equal(200);
      expect(await callStatus(daemon, "during-cut")).to.equal(401);
      await waitForAlarm(daemon, "plan_lists_unconfirmed", true);
      const { lists_age_ms: age } = await statusOf(daemon);
      await waitFor("the age grows", async () => {
        return ((await statusOf(daemon)).lists_age_ms ?? 0) > (age ?? 0);
      });
    }
    setLinks("platform<", LinkMode.Pass);
    setLinks("peers>", LinkMode.Pass);
    await waitUntilServed(cutDaemons(), "during-cut");
  });

  it("come into force although open connections went silent", async () => {
    // A device between daemons and platform loses the state of open
    // connections; new ones work. A daemon that waits on its old watch would
    // miss edits until the connection times out minutes later.
    for (const daemon of daemons) {
      deployment.link(`platform<${daemon}`).setMode(LinkMode.SilentExisting);
    }
    await operator.putList("customers", customersWith("after-silence"));
    await waitUntilServed(daemons, "after-silence");
  });

  it("never go back by a stale read or a late watch event", async () => {
    // Reads may come from a stale replica, and watch events may be reordered. A
    // daemon that accepts them would put an old plan back in force, and limits
    // would alternate between versions.
    const oldVersion = await operator.putList(
      "customers",
      customersWith("old"),
    );
    await operator.setFaults({ late_events: [PLAN_LIST_KIND] });
    await operator.putList("customers", customersWith("late-1"));
    await operator.putList("customers", customersWith("late-2"));
    await waitUntilServed(daemons, "late-2");
    await operator.setFaults({
      late_events: [],
      stale: { plan_lists: oldVersion },
    });
    await waitForAlarm(daemons[0] ?? "", "platform_behind", true);
    for (const daemon of daemons) {
      expect(await callStatus(daemon, "late-2")).to.equal(200);
    }
    await operator.setFaults({ stale: { plan_lists: null } });
    await waitForAlarm(daemons[0] ?? "", "platform_behind", false);
  });

  it("keep the last good one when the newest is bad", async () => {
    // A list with errors bypasses the checks, and another program overwrites a
    // list object and a daemon's entry with foreign values. The lists in force
    // must stay; operators must see every error with its position, and the
    // foreign value must stay as it was written.
    await operator.putList("customers", customersWith("good"));
    await waitUntilServed(daemons, "good");
    const badText = customersWith("bad").replace(/plan: readers/g, "plann: 5");
    await operator.putList("customers", badText);
    const foreignValue = { text: 5, by: "hand" };
    await operator.put(PLAN_LIST_KIND, "plans", foreignValue);
    await operator.put("daemons", "by-hand", null);
    await operator.put("daemons", "by-hand-2", { daemon: 7 });
    for (const daemon of daemons) {
      await waitFor(`${daemon} reports the findings`, async () => {
        const { findings } = await statusOf(daemon);
        const expected = [
          "customers:7:5: customers[1].plan: is missing; expected string",
          "customers:8:5: customers[1].plann: is not a known key",
          "customers:10:5: customers[2].plan: is missing; expected string",
          "customers:11:5: customers[2].plann: is not a known key",
          "plan_lists/plans:1:1: text: Invalid input",
        ];
        return expected.every((text) =>
          findings.some((finding) => finding.startsWith(text)),
        );
      });
      expect(await callStatus(daemon, "good")).to.equal(200);
      expect(await callStatus(daemon, "bad")).to.equal(401);
    }
    const address = ["--platform", deployment.platformAddress];
    const result = await deployment.runCommandLine("status", ...address);
    expect(result.output).to.include("daemons/by-hand:1:1: Invalid input");
    expect(result.output).to.include("daemons/by-hand-2:1:1: daemon: Invalid");
    const found = await operator.platform.read(PLAN_LIST_KIND, "plans");
    expect(found.unwrap().unwrap().value).to.deep.equal(foreignValue);
    const output = deployment.process(daemons[0] ?? "").output;
    expect(output).to.match(/customers\[1\]\.plann.*plan_list_refused/);
    await operator.putList("plans", PLANS);
    await operator.putList("customers", customersWith("mended"));
    await waitUntilServed(daemons, "mended");
    await waitForAlarm(daemons[0] ?? "", "plan_list_refused", false);
  });

  it("converge in all zones after 50 edits in 5 s", async () => {
    // The two lists are edited in turn, ten times a second. Every zone must end
    // with the last edit, and the platform's load must not grow with the number
    // of daemons: two watches per zone are open.
    const before = await operator.fetchCallCounts();
    for (let edit = 1; edit <= EDITS; edit++) {
      const [list, text] =
        edit % 2 === 0
          ? ["customers", customersWith(`edit-${edit}`)]
          : ["plans", `${PLANS}# edit ${edit}\n`];
      await operator.putList(list ?? "", text ?? "");
      await sleep(EDIT_INTERVAL);
    }
    await waitUntilServed(daemons, `edit-${EDITS}`);
    const after = await operator.fetchCallCounts();
    expect(after["waiting plan_lists"]).to.be.at.most(2 * ZONES.length);
    const key = "GET watch plan_lists";
    const watches = (after[key] ?? 0) - (before[key] ?? 0);
    expect(watches).to.be.at.most(2 * ZONES.length * (EDITS + EDITS));
  });

  it("survive a platform restored to older content", async () => {
    // The platform is restored from a backup, so its versions are lower than
    // those in force. Daemons must keep the newer lists and raise an alarm, and
    // an operator must be able to recover without restarting anything.
    const backupVersion = await operator.setFaults({});
    await operator.putList("customers", customersWith("after-copy"));
    await waitUntilServed(daemons, "after-copy");
    await operator.setFaults({ restore: backupVersion });
    for (const daemon of daemons) {
      await waitForAlarm(daemon, "platform_behind", true);
      expect(await callStatus(daemon, "after-copy")).to.equal(200);
    }
    const address = ["--platform", deployment.platformAddress];
    for (const list of ["customers", "plans"]) {
      const held = await deployment.runCommandLine("get", list, ...address);
      const version = /version=(\d+)/.exec(held.output)?.[1] ?? "";
      const file = new URL(`${list}.yaml`, EXAMPLES).pathname;
      const words = [list, file, "--edited-from", version, "--after-restore"];
      const put = await deployment.runCommandLine(
        "apply",
        ...words,
        "--wait",
        ...address,
      );
      expect(put.output).to.match(/^version=1\d{12}$/m);
      expect(put.code, put.output).to.equal(0);
    }
    for (const daemon of daemons) {
      expect(await callStatus(daemon, "after-copy")).to.equal(401);
      expect(await callStatus(daemon, "editor-desk-secret")).to.equal(200);
      await waitForAlarm(daemon, "platform_behind", false);
    }
  });

  it("are shown by status, and calls by the burn report", async () => {
    const address = ["--platform", deployment.platformAddress];
    const credential = "editor-desk-secret";
    for (const daemon of daemons) {
      await callStatus(daemon, credential);
      const stream = await sendStreamCall({
        address: deployment.process(daemon).listeningField("callers"),
        credential,
        operation: "summarizer/long-brief",
        body: { prompt: "wire story", maximum_tokens: 20 },
      });
      expect(stream.isWhole).to.equal(true);
    }
    const status = await deployment.runCommandLine("status", ...address);
    expect(status.output).to.match(/customers +1\d{12} +1\d{12} +1\d{12}/);
    expect(status.output).to.match(/vn-north-c-fabric +daemon-vn-north-c-/);
    const result = await deployment.runCommandLine(
      "report",
      "burn",
      "--json",
      ...address,
    );
    const { rows, daemons: counted } = JSON.parse(result.output) as IBurnReport;
    expect(counted).to.have.length(daemons.length);
    const streams = rows.filter(
      ({ service, account }) =>
        service === "summarizer" && account === "editor-desk",
    );
    const totals = streams.map(({ measure, windows }) => [
      measure,
      windows.at(-1)?.total,
    ]);
    expect(totals.slice(0, 2)).to.deep.equal([
      ["whole_on_time", daemons.length],
      ["first_token", daemons.length],
    ]);
    expect(streams[0]?.windows.at(-1)?.bad).to.equal(0);
    expect(streams[2]?.windows.at(-1)?.total).to.be.above(daemons.length);
  });
});
