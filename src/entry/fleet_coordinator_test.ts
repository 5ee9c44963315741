import { expect } from "chai";
import {
  TestDeployment,
  TestProcess,
} from "../../test/support/fleet_deployment.ts";
import { OrderKind } from "../common/replicas/types.ts";

describe("ordering engines under the lease", () => {
  it("opens the groups of a domain, and keeps spares", async () => {
    const deployment = new TestDeployment();
    const process = new TestProcess(deployment);
    process.coordinator.start();
    await deployment.advance(4_000);
    const models = process.groups.all.map(({ model }) => model).sort();
    expect(models).to.deep.equal(["large", "small", "small"]);
    process.coordinator.dispose();
  });

  // Guards against requests that stall in a group whose head serves on without
  // its members: the platform has dropped the head, which a new holder does not
  // know.
  it("takes no member from a group whose head is not listed", async () => {
    const deployment = new TestDeployment();
    const first = new TestProcess(deployment);
    first.coordinator.start();
    await deployment.advance(4_000);
    const head = deployment.largeHead;
    await first.coordinator.releaseLease();
    first.coordinator.dispose();
    const second = new TestProcess(deployment, "127.0.0.1:2", head);
    second.hasCalls = true;
    const demand = { service: "summaries", waiting: 0 };
    second.demand = [{ ...demand, model: "large", groups: 9 }];
    second.coordinator.start();
    await deployment.advance(12_000);
    const joins = deployment.engines.orders.filter(
      ({ order }) =>
        order.kind === OrderKind.Join && order.plan.epoch > 2_000_000,
    );
    expect(joins).to.not.have.length(0);
    expect(deployment.engines.taken).to.deep.equal([]);
    second.coordinator.dispose();
  });

  // Guards against group numbers that restart when a process regains its lease
  // after a store outage: a new group would take the name of a serving one, and
  // members of an open group would be ordered to join another.
  it("never reuses a group name after it regains the lease", async () => {
    const deployment = new TestDeployment();
    const process = new TestProcess(deployment);
    process.coordinator.start();
    await deployment.advance(4_000);
    const serving = process.groups.all.map(({ group }) => group);
    deployment.store.isUnavailable = true;
    await deployment.advance(3_000);
    deployment.store.isUnavailable = false;
    await deployment.advance(3_000);
    expect(process.groups.all.map(({ group }) => group)).to.deep.equal(serving);
    process.hasCalls = true;
    deployment.killMember();
    await deployment.advance(4_000);
    expect(process.groups.all).to.have.length(serving.length);
    const lists = new Map<string, string>();
    for (const { order } of deployment.engines.orders) {
      if (order.kind === OrderKind.Join) {
        const { group, members } = order.plan;
        const list = members.join(",");
        expect(lists.get(group) ?? list).to.equal(list);
        lists.set(group, list);
      }
    }
    process.coordinator.dispose();
  });
});

describe("learning which groups are lost", () => {
  /** Starts a holder, and a process that learns the groups from it. */
  async function startBoth(
    deployment: TestDeployment,
  ): Promise<readonly [TestProcess, TestProcess]> {
    const holder = new TestProcess(deployment, "127.0.0.1:1");
    const other = new TestProcess(deployment, "127.0.0.1:3");
    holder.hasCalls = true;
    other.hasCalls = true;
    holder.coordinator.start();
    await deployment.advance(4_000);
    other.coordinator.start();
    await deployment.advance(500);
    expect(other.serving).to.have.length(3);
    return [holder, other];
  }

  // Guards against a new lease holder that ends the streams of groups that it
  // has not surveyed yet.
  it("loses no group by taking over the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const { serving } = other;
    await holder.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.coordinator.isHolder).to.equal(true);
    expect(other.lost).to.deep.equal([]);
    expect(other.serving).to.deep.equal(serving);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against calls without a group while a new lease holder has not
  // surveyed the groups yet.
  it("keeps its groups while it takes over the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    other.fewestGroups = other.serving.length;
    await holder.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.coordinator.isHolder).to.equal(true);
    expect(other.fewestGroups).to.equal(3);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against streams ended because their group is missing from another
  // holder's table that is incomplete or out of date.
  it("loses no group that is only missing from a table", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    deployment.editReply = (reply) => ({
      ...reply,
      tableVersion: reply.tableVersion + 1,
      groups: holder.groups.all.slice(1),
    });
    await deployment.advance(1_000);
    expect(other.serving).to.have.length(2);
    expect(other.lost).to.deep.equal([]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  // Guards against streams ended by a process that releases the lease, in a
  // group that opened after it last received the former holder's table.
  it("loses no serving group by releasing the lease", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const before = new Set(other.serving);
    deployment.killMember();
    await deployment.advanceUntilOpened();
    await holder.coordinator.releaseLease();
    await deployment.advance(600);
    expect(other.coordinator.isHolder).to.equal(true);
    const opened = other.serving.filter((group) => !before.has(group));
    expect(opened).to.have.length(1);
    other.lost.length = 0;
    other.fewestGroups = other.serving.length;
    await other.coordinator.releaseLease();
    await deployment.advance(1_000);
    expect(other.lost).to.deep.equal([]);
    expect(other.fewestGroups).to.equal(3);
    expect(other.serving).to.include(opened[0]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });

  it("loses a group that the holder abandons, once", async () => {
    const deployment = new TestDeployment();
    const [holder, other] = await startBoth(deployment);
    const group = deployment.killMember();
    await deployment.advance(4_000);
    expect(holder.lost).to.deep.equal([group]);
    expect(other.lost).to.deep.equal([group]);
    holder.coordinator.dispose();
    other.coordinator.dispose();
  });
});
