/** The lease on a fabric domain when its holder fails, stops or is paused. */
import { expect } from "chai";
import { RequestFault } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { Deployment } from "./support/deployment.ts";
import {
  fetchEngineRecords,
  findHolder,
  groupPlan,
  expectEpochsNonDecreasing,
  expectAllMembersWorked,
  readDomainRecord,
  ContinuousCaller,
  waitForGroups,
} from "./support/group_checks.ts";
import { waitFor } from "./support/process_handle.ts";

const DOMAIN_WRITE = "PUT /objects/fabric_domains";

describe("a domain's lease in separate processes", () => {
  // Guards against a double or missing takeover: the holder is killed, then an
  // engine dies, and both remaining daemons try to acquire the lease at once.
  // One of them must acquire it and replace the dead member with a spare.
  it("is taken over by only one daemon when its holder is killed", async () => {
    await using deployment = await Deployment.start(
      groupPlan({ daemonsPerZone: 3, enginesPerZone: 6 }),
    );
    const { holder, others } = await findHolder(deployment);
    const before = await readDomainRecord(deployment);
    const caller = new ContinuousCaller(deployment, others);
    await caller.waitForCompleted(5);
    const links = others.map((daemon) => deployment.link(`platform<${daemon}`));
    links.forEach((link) => link.failNext(DOMAIN_WRITE, RequestFault.Hold));
    deployment.process(holder).signal("SIGKILL");
    const deadMember = before.groups[0]?.members[1] ?? "";
    deployment.process(deadMember).signal("SIGKILL");
    // Both remaining daemons write the record at once, and lose the answer.
    await waitFor("both takeover writes are in flight", () =>
      links.every((link) => !link.hasPendingFault),
    );
    links.forEach((link) => link.releaseHeld({ losesAnswer: true }));
    for (const daemon of others) {
      await waitForGroups(deployment, daemon, 1);
    }
    await caller.waitForCompleted(5);
    await caller.stop();
    const after = await readDomainRecord(deployment);
    expect(after.epoch).to.equal(before.epoch + 1);
    expect(after.groups[0]?.members).not.to.include(deadMember);
    const records = await fetchEngineRecords(deployment);
    await expectAllMembersWorked(deployment);
    expectEpochsNonDecreasing(records);

    // A holder that is stopped in order releases the lease, so that the next
    // one acquires it before it would have expired.
    const second = await findHolder(deployment);
    const nextHolder = second.others[0] ?? "";
    const beforeStop = await readDomainRecord(deployment);
    deployment.process(second.holder).signal("SIGTERM");
    await deployment.process(second.holder).waitForExit();
    expect(deployment.process(second.holder).output).to.include(
      "event=lease_lost",
    );
    await waitFor("the next daemon holds the lease", async () => {
      const { domains } = await deployment.status(nextHolder);
      return domains.some(({ holding }) => holding);
    });
    expect((await readDomainRecord(deployment)).epoch).to.equal(
      beforeStop.epoch + 1,
    );
  });

  // Guards against a stopped holder that leaves its lease to expire: no group
  // of the domain could be repaired until then, here for ten minutes.
  it("is released by a write at shutdown", async () => {
    await using deployment = await Deployment.start(
      groupPlan({ enginesPerZone: 4, groups: { lease: "10m" } }),
    );
    const { holder, others } = await findHolder(deployment);
    const { epoch } = await readDomainRecord(deployment);
    deployment.process(holder).signal("SIGTERM");
    await waitFor("the other daemon holds the lease", async () => {
      const { domains } = await deployment.status(others[0] ?? "");
      return domains.some(({ holding }) => holding);
    });
    expect((await readDomainRecord(deployment)).epoch).to.equal(epoch + 1);
  });

  // Guards against orders sent after the lease has expired: the holder is
  // paused just before it orders a new generation and resumes after another
  // daemon has formed a later one. The engines ignore fencing tokens here, so a
  // late order would break the group until it is undone.
  it("prevents orders from a holder that resumes after expiry", async () => {
    await using deployment = await Deployment.start(
      groupPlan({
        enginesPerZone: 6,
        engineArguments: ["--load-time", "100", "--fencing", "ignore"],
      }),
    );
    const { holder, others } = await findHolder(deployment);
    const nextHolder = others[0] ?? "";
    const members =
      (await readDomainRecord(deployment)).groups[0]?.members ?? [];
    const waitForGeneration = (generation: number) =>
      waitFor(`generation ${generation}`, async () => {
        const { groups } = await readDomainRecord(deployment);
        return groups[0]?.generation === generation;
      });
    deployment.process(members[1] ?? "").signal("SIGKILL");
    await waitForGeneration(2);
    deployment.process(holder).signal("SIGSTOP");
    await waitForGroups(deployment, nextHolder, 1);
    deployment.process(members[2] ?? "").signal("SIGKILL");
    await waitForGeneration(3);
    await waitForGroups(deployment, nextHolder, 1);
    deployment.process(holder).signal("SIGCONT");
    await waitForGroups(deployment, holder, 1);
    const caller = new ContinuousCaller(deployment, [nextHolder, holder]);
    await caller.waitForCompleted(10);
    await caller.stop();
    await expectAllMembersWorked(deployment);
    expectEpochsNonDecreasing(await fetchEngineRecords(deployment));
  });

  for (const fencing of ["refuse", "ignore"] as const) {
    // Guards against an order of an old epoch that arrives late: the holder is
    // paused with an order in flight, another daemon takes the lease over and
    // reassigns the engine, then the order arrives and the holder resumes.
    // Callers get complete answers or refusals, with or without fencing.
    it(`is lost by a paused holder; engines ${fencing} old orders`, async () => {
      await using deployment = await Deployment.start(
        groupPlan({
          enginesPerZone: 6,
          engineArguments: ["--load-time", "100", "--fencing", fencing],
        }),
      );
      const { holder, others } = await findHolder(deployment);
      const nextHolder = others[0] ?? "";
      const { epoch, groups } = await readDomainRecord(deployment);
      const members = groups[0]?.members ?? [];
      const spares = deployment
        .processNames("engine-")
        .filter((engine) => !members.includes(engine));
      const caller = new ContinuousCaller(deployment, [nextHolder]);
      await caller.waitForCompleted(5);

      for (const spare of spares) {
        const link = deployment.link(`target>${spare}`);
        link.failNext("POST /orders", RequestFault.Hold);
      }
      deployment.process(members[1] ?? "").signal("SIGKILL");
      let reassigned = "";
      await waitFor("an order to a spare is in flight", () => {
        reassigned =
          spares.find(
            (spare) => !deployment.link(`target>${spare}`).hasPendingFault,
          ) ?? "";
        return reassigned !== "";
      });
      deployment.process(holder).signal("SIGSTOP");
      spares.forEach((spare) =>
        deployment.link(`target>${spare}`).clearPendingFault(),
      );
      await waitForGroups(deployment, nextHolder, 1);
      deployment.process(members[2] ?? "").signal("SIGKILL");
      await waitFor("the next holder has formed generation 3", async () => {
        const record = await readDomainRecord(deployment);
        return record.groups[0]?.generation === 3;
      });
      await waitForGroups(deployment, nextHolder, 1);
      deployment.link(`target>${reassigned}`).releaseHeld();
      deployment.process(holder).signal("SIGCONT");
      await waitFor("the old order has arrived at the engine", async () => {
        const records = await fetchEngineRecords(deployment);
        const entries = records.find(
          ({ engine }) => engine === reassigned,
        )?.deeds;
        const last =
          entries?.findLastIndex((entry) => entry.epoch === epoch) ?? -1;
        return last > 0;
      });
      await waitForGroups(deployment, nextHolder, 1);
      await waitForGroups(deployment, holder, 1);
      await caller.waitForCompleted(5);
      await caller.stop();

      const records = await fetchEngineRecords(deployment);
      await expectAllMembersWorked(deployment);
      const entries =
        records.find(({ engine }) => engine === reassigned)?.deeds ?? [];
      const orders = entries.filter(({ kind }) =>
        ["joined", "released", "refused"].includes(kind),
      );
      const old = orders.findIndex((entry) => entry.epoch === epoch);
      expect(orders[old]?.kind).to.equal(
        fencing === "refuse" ? "refused" : "joined",
      );
      expect(orders.at(-1)?.epoch, "epoch of the last order").to.equal(
        fencing === "refuse" ? epoch : epoch + 1,
      );
      const otherRecords = records.filter(
        ({ engine }) => engine !== reassigned,
      );
      expectEpochsNonDecreasing(otherRecords);
      expect((await readDomainRecord(deployment)).epoch).to.equal(epoch + 1);
    });
  }
});
