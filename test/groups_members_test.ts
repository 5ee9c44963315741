/**
 * Replica groups under failures of their members, one after another on the
 * same deployment of two groups and one spare; callers go on all the while.
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

/** Renewals after which a new holder has long looked at its domain. */
const RENEWALS_SEEN = 4;

describe("replica groups in real processes", () => {
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
    await allComplete();
    await caller.waitForCompleted(10);
    await expectAllMembersWorked(deployment, restarts);
  });

  async function allComplete(): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitForGroups(deployment, daemon, 2);
    }
  }

  /** Waits until every daemon sees that groups are not complete. */
  async function noticed(complete: number): Promise<void> {
    for (const daemon of deployment.processNames("daemon-")) {
      await waitForGroups(deployment, daemon, complete);
    }
  }

  async function firstGroup(): Promise<IReplicaGroup> {
    const { groups } = await readDomainRecord(deployment);
    return groups[0] as IReplicaGroup;
  }

  // An engine dies. Users of its group are turned away until a spare has
  // taken its place; the other group serves on.
  it("puts a spare in the place of a member that died", async () => {
    const group = await firstGroup();
    const lost = group.members[2] ?? "";
    deployment.process(lost).signal("SIGKILL");
    await waitFor("the group has its next generation", async () => {
      return (await firstGroup()).generation === group.generation + 1;
    });
    const { members } = await firstGroup();
    expect(members).not.to.include(lost);
    expect(members[0]).to.equal(group.members[0]);
  });

  // An engine crashes and is back at the same address within moments. What it
  // held of running requests is gone, so it must not pass for the one before:
  // users would get answers from a group that has lost a part of its state.
  it("takes a restarted member for another one", async () => {
    const group = await firstGroup();
    const restarted = group.members[1] ?? "";
    deployment.process(restarted).signal("SIGKILL");
    await deployment.process(restarted).waitForExit();
    await deployment.startEngine(restarted, ZONE);
    restarts.push(restarted);
    await waitFor("the group has its next generation", async () => {
      return (await firstGroup()).generation > group.generation;
    });
    await allComplete();
    const records = await fetchEngineRecords(deployment);
    const deeds = records.find(({ engine }) => engine === restarted)?.deeds;
    const generations = (deeds ?? [])
      .filter((deed) => deed.group === group.id)
      .map(({ generation }) => generation);
    expect(Math.min(...generations)).to.be.greaterThan(group.generation);
  });

  // An engine stops answering for a while, and nothing is spare. Its group
  // serves nobody meanwhile; when it returns, the group goes on at once, and
  // no weights are loaded again.
  it("keeps a group whose member pauses", async () => {
    const group = await firstGroup();
    const paused = deployment.process(group.members[3] ?? "");
    paused.signal("SIGSTOP");
    await noticed(1);
    await caller.waitForCompleted(10);
    paused.signal("SIGCONT");
    await allComplete();
    expect(await firstGroup()).to.deep.equal(group);
  });

  // The lease's holder hangs, and then the whole domain goes dark. Users are
  // turned away until it is back; then both groups serve without a load.
  it("keeps groups through a dark domain while the holder is frozen", async () => {
    const before = await readDomainRecord(deployment);
    const joinsBefore = await countOrders();
    const { holder, others } = await findHolder(deployment);
    deployment.process(holder).signal("SIGSTOP");
    const engines = deployment
      .processNames("engine-")
      .map((name) => deployment.process(name))
      .filter((engine) => !engine.hasExited);
    engines.forEach((engine) => engine.signal("SIGSTOP"));
    await waitForGroups(deployment, others[0] ?? "", 0);
    const attempts = new Set<string>();
    await waitFor("another daemon has held the lease for a while", async () => {
      const record = await readDomainRecord(deployment);
      attempts.add(record.epoch > before.epoch ? record.attempt : "");
      return attempts.size > RENEWALS_SEEN;
    });
    engines.forEach((engine) => engine.signal("SIGCONT"));
    await waitForGroups(deployment, others[0] ?? "", 2);
    deployment.process(holder).signal("SIGCONT");
    await allComplete();
    const after = await readDomainRecord(deployment);
    expect(after.groups).to.deep.equal(before.groups);
    expect(await countOrders()).to.equal(joinsBefore);
  });

  // The platform is down when an engine dies. The other group serves on; the
  // one without its member serves nobody until the platform is back and a
  // new engine has come.
  it("serves on what is whole while the platform is down", async () => {
    const group = await firstGroup();
    const links = deployment
      .processNames("daemon-")
      .map((daemon) => deployment.link(`platform<${daemon}`));
    links.forEach((link) => link.setMode(LinkMode.Cut));
    deployment.process(group.members[0] ?? "").signal("SIGKILL");
    await noticed(1);
    await caller.waitForCompleted(20);
    await deployment.startEngine("engine-late", ZONE);
    links.forEach((link) => link.setMode(LinkMode.Pass));
    await allComplete();
    expect((await firstGroup()).members).to.include("engine-late");
  });

  async function countOrders(): Promise<number> {
    const records = await fetchEngineRecords(deployment);
    return records
      .flatMap(({ deeds }) => deeds)
      .filter(({ kind }) => kind === "joined" || kind === "released").length;
  }
});
