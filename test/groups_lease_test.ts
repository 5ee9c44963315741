/** Leases on a fabric domain under failures of their holders. */
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

describe("a domain's lease in real processes", () => {
  // The entry instance that holds the lease is replaced without notice, and
  // right after it an engine dies. Users see one group's requests turned away
  // until another daemon has taken the lease and put a spare in place.
  it("is taken over when its holder is killed, by one daemon only", async () => {
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
    const lost = before.groups[0]?.members[1] ?? "";
    deployment.process(lost).signal("SIGKILL");
    // Both that are left take over at once, and each loses the answer.
    await waitFor("both takeovers are on their way", () =>
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
    expect(after.groups[0]?.members).not.to.include(lost);
    const records = await fetchEngineRecords(deployment);
    await expectAllMembersWorked(deployment);
    expectEpochsNonDecreasing(records);

    // A daemon is stopped in an orderly way. Users notice nothing; the next
    // holder is there before the lease could have run out.
    const second = await findHolder(deployment);
    const heir = second.others[0] ?? "";
    const held = await readDomainRecord(deployment);
    deployment.process(second.holder).signal("SIGTERM");
    await deployment.process(second.holder).waitForExit();
    expect(deployment.process(second.holder).output).to.include(
      "event=lease_lost",
    );
    await waitFor("the next daemon holds", async () => {
      const { domains } = await deployment.status(heir);
      return domains.some(({ holding }) => holding);
    });
    expect((await readDomainRecord(deployment)).epoch).to.equal(held.epoch + 1);
  });

  // A daemon is told to stop. Were its lease left to run out, the domain
  // could not heal for as long; here that would be ten minutes.
  it("is given back by a write at shutdown", async () => {
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

  // The holder hangs just before it orders a new generation. When it wakes,
  // another daemon has long formed a further one, and the engines do not look
  // at fencing numbers: were the order to go out still, users would be served
  // by nobody until it was undone.
  it("sends nothing more once its holder wakes past its end", async () => {
    await using deployment = await Deployment.start(
      groupPlan({
        enginesPerZone: 6,
        engineArguments: ["--load-time", "100", "--fencing", "ignore"],
      }),
    );
    const { holder, others } = await findHolder(deployment);
    const heir = others[0] ?? "";
    const members =
      (await readDomainRecord(deployment)).groups[0]?.members ?? [];
    const generationIs = (generation: number) =>
      waitFor(`generation ${generation}`, async () => {
        const { groups } = await readDomainRecord(deployment);
        return groups[0]?.generation === generation;
      });
    deployment.process(members[1] ?? "").signal("SIGKILL");
    await generationIs(2);
    deployment.process(holder).signal("SIGSTOP");
    await waitForGroups(deployment, heir, 1);
    deployment.process(members[2] ?? "").signal("SIGKILL");
    await generationIs(3);
    await waitForGroups(deployment, heir, 1);
    deployment.process(holder).signal("SIGCONT");
    await waitForGroups(deployment, holder, 1);
    const caller = new ContinuousCaller(deployment, [heir, holder]);
    await caller.waitForCompleted(10);
    await caller.stop();
    await expectAllMembersWorked(deployment);
    expectEpochsNonDecreasing(await fetchEngineRecords(deployment));
  });

  for (const fencing of ["refuse", "ignore"] as const) {
    // The holder is paused with an order on its way to an engine. Another
    // daemon takes the lease and gives the engine another place; then the old
    // order arrives and the old holder wakes. Users get whole answers or are
    // turned away, whether or not engines look at fencing numbers.
    it(`is over for a frozen holder; engines ${fencing} old orders`, async () => {
      await using deployment = await Deployment.start(
        groupPlan({
          enginesPerZone: 6,
          engineArguments: ["--load-time", "100", "--fencing", fencing],
        }),
      );
      const { holder, others } = await findHolder(deployment);
      const heir = others[0] ?? "";
      const { epoch, groups } = await readDomainRecord(deployment);
      const members = groups[0]?.members ?? [];
      const spares = deployment
        .processNames("engine-")
        .filter((engine) => !members.includes(engine));
      const caller = new ContinuousCaller(deployment, [heir]);
      await caller.waitForCompleted(5);

      for (const spare of spares) {
        const link = deployment.link(`target>${spare}`);
        link.failNext("POST /orders", RequestFault.Hold);
      }
      deployment.process(members[1] ?? "").signal("SIGKILL");
      let moved = "";
      await waitFor("an order is on its way to a spare", () => {
        moved =
          spares.find(
            (spare) => !deployment.link(`target>${spare}`).hasPendingFault,
          ) ?? "";
        return moved !== "";
      });
      deployment.process(holder).signal("SIGSTOP");
      spares.forEach((spare) =>
        deployment.link(`target>${spare}`).clearPendingFault(),
      );
      await waitForGroups(deployment, heir, 1);
      deployment.process(members[2] ?? "").signal("SIGKILL");
      await waitFor("the heir has formed a third generation", async () => {
        const record = await readDomainRecord(deployment);
        return record.groups[0]?.generation === 3;
      });
      await waitForGroups(deployment, heir, 1);
      deployment.link(`target>${moved}`).releaseHeld();
      deployment.process(holder).signal("SIGCONT");
      await waitFor("the old order has reached the engine", async () => {
        const records = await fetchEngineRecords(deployment);
        const deeds = records.find(({ engine }) => engine === moved)?.deeds;
        const last = deeds?.findLastIndex((deed) => deed.epoch === epoch) ?? -1;
        return last > 0;
      });
      await waitForGroups(deployment, heir, 1);
      await waitForGroups(deployment, holder, 1);
      await caller.waitForCompleted(5);
      await caller.stop();

      const records = await fetchEngineRecords(deployment);
      await expectAllMembersWorked(deployment);
      const deeds = records.find(({ engine }) => engine === moved)?.deeds ?? [];
      const orders = deeds.filter(({ kind }) =>
        ["joined", "released", "refused"].includes(kind),
      );
      const old = orders.findIndex((deed) => deed.epoch === epoch);
      expect(orders[old]?.kind).to.equal(
        fencing === "refuse" ? "refused" : "joined",
      );
      expect(orders.at(-1)?.epoch, "the heir's order is the last").to.equal(
        fencing === "refuse" ? epoch : epoch + 1,
      );
      const others1 = records.filter(({ engine }) => engine !== moved);
      expectEpochsNonDecreasing(others1);
      expect((await readDomainRecord(deployment)).epoch).to.equal(epoch + 1);
    });
  }
});
