/**
 * Replica groups when members fail. The tests run one after another on the same
 * deployment of two groups and one spare, under continuous calls.
 */
import { expect } from "chai";
import type { IReplicaGroup } from "../src/common/groups/types.ts";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { Deployment } from "./support/deployment.ts";
import {
  fetchEngineRecords,
  findHolder,
  groupPlan,
  expectAllMembersWorked,
  readDomainRecord,
  ContinuousCaller,
  waitForGroups,
  ZONE,
} from "./support/group_checks.ts";
import { waitFor } from "./support/process_handle.ts";

/** Lease renewals after which a new holder has inspected its domain. */
const RENEWALS_SEEN = 4;

describe("replica groups in separate processes", () => {
  let deployment: Deployment;
  let caller: ContinuousCaller;
  const restarts: string[] = [];

  before(async () => {
    deployment = await Deployment.start(groupPlan({ enginesPerZone: 9 }));
    caller = new ContinuousCaller(
      deployment,
      deployment.processNames("daemon-"),
    );
  });

  after(async () => {
    await caller.stop();
    await deployment[Symbol.asyncDispose]();
  });

  afterEach(async () => {
    await waitForAllGroups();
    await caller.waitForCompleted(10);
    await expectAllMembersWorked(deployment, restarts);
  });

  async function waitForAllGroups(): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitForGroups(deployment, daemon, 2);
    }
  }

  /** Waits until every daemon sees only that many complete groups. */
  async function waitForCompleteGroups(complete: number): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitForGroups(deployment, daemon, complete);
    }
  }

  async function firstGroup(): Promise<IReplicaGroup> {
    const { groups } = await readDomainRecord(deployment);
    return groups[0] as IReplicaGroup;
  }

  // Guards against a group that stays broken, or takes the other group with
  // it, after a member dies: a spare must replace the member.
  it("replace a dead member with a spare", async () => {
    const group = await firstGroup();
    const deadMember = group.members[2] ?? "";
    deployment.process(deadMember).signal("SIGKILL");
    await waitFor("the group is in its next generation", async () => {
      return (await firstGroup()).generation === group.generation + 1;
    });
    const { members } = await firstGroup();
    expect(members).not.to.include(deadMember);
    expect(members[0]).to.equal(group.members[0]);
  });

  // Guards against a restarted member treated as the previous process: it has
  // lost its state of running requests, but comes back at the same address
  // within moments. Its group would answer without that state.
  it("treat a restarted member as a new one", async () => {
    const group = await firstGroup();
    const restarted = group.members[1] ?? "";
    deployment.process(restarted).signal("SIGKILL");
    await deployment.process(restarted).waitForExit();
    await deployment.startEngine(restarted, ZONE);
    restarts.push(restarted);
    await waitFor("the group is in a later generation", async () => {
      return (await firstGroup()).generation > group.generation;
    });
    await waitForAllGroups();
    const records = await fetchEngineRecords(deployment);
    const entries = records.find(({ engine }) => engine === restarted)?.deeds;
    const generations = (entries ?? [])
      .filter((entry) => entry.group === group.id)
      .map(({ generation }) => generation);
    expect(Math.min(...generations)).to.be.greaterThan(group.generation);
  });

  // Guards against a group dissolved for a pause of one member with no spare
  // left. It serves nobody meanwhile, and must resume at once when the member
  // does, without loading weights again.
  it("survive the pause of a member", async () => {
    const group = await firstGroup();
    const paused = deployment.process(group.members[3] ?? "");
    paused.signal("SIGSTOP");
    await waitForCompleteGroups(1);
    await caller.waitForCompleted(10);
    paused.signal("SIGCONT");
    await waitForAllGroups();
    expect(await firstGroup()).to.deep.equal(group);
  });

  // Guards against groups formed again after all engines of the domain were
  // unreachable and the lease moved: the holder is paused, then every engine.
  // Once the engines are back, both groups must serve without loading.
  it("survive a pause of all engines and of the lease holder", async () => {
    const before = await readDomainRecord(deployment);
    const joinsBefore = await countAppliedOrders();
    const { holder, others } = await findHolder(deployment);
    deployment.process(holder).signal("SIGSTOP");
    const engines = deployment
      .processNames("engine-")
      .map((name) => deployment.process(name))
      .filter((engine) => !engine.hasExited);
    engines.forEach((engine) => engine.signal("SIGSTOP"));
    await waitForGroups(deployment, others[0] ?? "", 0);
    const attempts = new Set<string>();
    await waitFor("another daemon has renewed the lease", async () => {
      const record = await readDomainRecord(deployment);
      attempts.add(record.epoch > before.epoch ? record.attempt : "");
      return attempts.size > RENEWALS_SEEN;
    });
    engines.forEach((engine) => engine.signal("SIGCONT"));
    await waitForGroups(deployment, others[0] ?? "", 2);
    deployment.process(holder).signal("SIGCONT");
    await waitForAllGroups();
    const after = await readDomainRecord(deployment);
    expect(after.groups).to.deep.equal(before.groups);
    expect(await countAppliedOrders()).to.equal(joinsBefore);
  });

  // Guards against a platform outage that stops complete groups: an engine dies
  // during it. The other group must keep serving; the broken one waits for the
  // platform and a new engine.
  it("keep serving while complete when the platform is down", async () => {
    const group = await firstGroup();
    const links = deployment
      .processNames("daemon-")
      .map((daemon) => deployment.link(`platform<${daemon}`));
    links.forEach((link) => link.setMode(LinkMode.Cut));
    deployment.process(group.members[0] ?? "").signal("SIGKILL");
    await waitForCompleteGroups(1);
    await caller.waitForCompleted(20);
    await deployment.startEngine("engine-late", ZONE);
    links.forEach((link) => link.setMode(LinkMode.Pass));
    await waitForAllGroups();
    expect((await firstGroup()).members).to.include("engine-late");
  });

  async function countAppliedOrders(): Promise<number> {
    const records = await fetchEngineRecords(deployment);
    return records
      .flatMap(({ deeds: entries }) => entries)
      .filter(({ kind }) => kind === "joined" || kind === "released").length;
  }
});
