/** Forming groups: what holds for every domain, and single decisions. */
import { expect } from "chai";
import fc from "fast-check";
import { OrderKind } from "../services/services.ts";
import { InstanceState, ServiceKind, TargetState } from "../types.ts";
import type { IInstance, InstanceId, ISeenReport } from "../types.ts";
import { planGroupChange } from "./formation.ts";
import type { IFormationPolicy, IFormationView } from "./formation.ts";
import { MemberMonitor } from "./member_monitor.ts";
import { planOrders } from "./orders.ts";
import type { IDomainRecord } from "./types.ts";

const WATCH = {
  pauseBound: 1_000,
  replaceAfter: 4_000,
  holdAfterLoss: 10_000,
  longestHold: 60_000,
  forgetHalf: 120_000,
};
const POLICY: IFormationPolicy = {
  membersPerGroup: 4,
  freshness: 2_000,
  orderValidity: 1_000,
  concurrentLoads: 3,
};
const WANTED = [{ service: "summarizer", model: "digest", count: 3 }];
const EMPTY: IDomainRecord = {
  domain: "fabric",
  epoch: 1,
  holder: "daemon",
  attempt: "",
  nextGroup: 1,
  groups: [],
};

/** Engines of one domain whose silence and restarts a test decides. */
class Domain {
  readonly watch = new MemberMonitor(WATCH);
  readonly reports = new Map<InstanceId, ISeenReport>();
  readonly silent = new Set<InstanceId>();
  readonly restarts = new Map<InstanceId, number>();
  readonly instances: readonly IInstance[];
  record = EMPTY;
  now = 0;

  constructor(size: number) {
    this.instances = Array.from({ length: size }, (_, index) => ({
      id: `engine-${String(index).padStart(2, "0")}`,
      zone: "zone",
      domain: "fabric",
      address: `10.0.0.${index}:80`,
      state: InstanceState.Live,
      kind: ServiceKind.Engine,
      service: "",
    }));
  }

  get view(): IFormationView {
    const { instances, reports, watch, now } = this;
    return { instances, reports, monitor: watch, now, orderedAt: new Map() };
  }

  get memberships() {
    return this.record.groups.map(({ id, ...group }) => ({
      group: id,
      ...group,
    }));
  }

  /** Lets time pass with a look each second, and takes over what is planned. */
  pass(seconds: number): void {
    for (let second = 0; second < seconds; second++) {
      this.now += 1_000;
      this.#report();
      this.watch.update(this.instances, this.reports, this.now);
      const next = planGroupChange(this.record, WANTED, this.view, POLICY);
      this.record = { ...this.record, ...next };
      this.#check();
    }
  }

  #report(): void {
    for (const { id } of this.instances) {
      if (!this.silent.has(id)) {
        const incarnation = String(this.restarts.get(id) ?? 0);
        const report = reportOf(id, incarnation);
        this.reports.set(id, { report, seenAt: this.now });
      }
    }
  }

  #check(): void {
    const members = this.record.groups.flatMap((group) => group.members);
    const whole = this.record.groups.length * POLICY.membersPerGroup;
    if (new Set(members).size !== members.length || members.length !== whole) {
      throw new Error(`members ${members.join()}`);
    }
  }
}

function reportOf(instance: InstanceId, incarnation: string) {
  const state = TargetState.Free;
  const load = { running: 0, queued: 0, tokens: 0, lag: 0 };
  const membership = null;
  return { instance, incarnation, state, membership, model: "", ...load };
}

describe("forming groups", () => {
  it("keeps each instance in one group, whatever fails", () => {
    const step = fc.record({
      engine: fc.nat({ max: 13 }),
      what: fc.constantFrom("silence", "return", "restart"),
      wait: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const domain = new Domain(14);
        domain.pass(1);
        for (const { engine, what, wait } of steps) {
          const id = domain.instances[engine]?.id ?? "";
          domain.silent[what === "silence" ? "add" : "delete"](id);
          if (what === "restart") {
            domain.restarts.set(id, (domain.restarts.get(id) ?? 0) + 1);
          }
          domain.pass(wait);
        }
        domain.silent.clear();
        domain.pass(70);
        expect(domain.record.groups, "whole again").to.have.length(3);
      }),
      { seed: 4_711, numRuns: 500, endOnFailure: true },
    );
  });

  // A daemon takes the lease just after it has started, or after a pause, and
  // has no fresh report of anybody. Taking that for silence would tear down
  // every group of the domain, and users would see all of them load again.
  it("does not take its own pause for the members' silence", () => {
    const domain = new Domain(14);
    domain.pass(2);
    domain.now += 60_000;
    // All reports but one have come in again.
    const reports = new Map(domain.reports);
    for (const { id } of domain.instances.slice(1)) {
      reports.set(id, { report: reportOf(id, "0"), seenAt: domain.now });
    }
    const others = new Map([...reports].slice(1));
    for (const [watch, known] of [
      [domain.watch, reports],
      [new MemberMonitor(WATCH), others],
    ] as const) {
      watch.update(domain.instances, known, domain.now);
      const view = { ...domain.view, monitor: watch, reports: known };
      expect(planGroupChange(domain.record, WANTED, view, POLICY)).to.equal(
        null,
      );
    }
  });

  // Two groups lose a member each and nothing is spare: without giving one of
  // them up both would stay dark.
  it("gives one incomplete group up to heal another", () => {
    const domain = new Domain(12);
    domain.pass(2);
    domain.silent.add("engine-00").add("engine-05");
    domain.pass(10);
    expect(domain.record.groups).to.have.length(2);
    expect(domain.record.groups[0]).to.include({ generation: 2 });
  });

  // An engine crashes every few seconds after its start. Each time it came
  // back it would be given its old place, and the group would load again.
  it("keeps a flapping member out for longer each time", () => {
    const domain = new Domain(4);
    domain.pass(2);
    const generations = [];
    for (let flap = 1; flap <= 6; flap++) {
      domain.restarts.set("engine-02", flap);
      domain.pass(5);
      generations.push(domain.record.groups[0]?.generation);
    }
    expect(generations).to.deep.equal([2, 2, 2, 2, 2, 2]);
    domain.pass(120);
    expect(domain.record.groups[0]?.generation).to.equal(3);
  });

  it("loads no more engines at once than the weight store allows", () => {
    const domain = new Domain(12);
    domain.pass(2);
    const orders = planOrders(domain.record, domain.view, POLICY);
    expect(orders.map(({ instance }) => instance)).to.have.length(3);
  });

  // A group's downtime is mostly the load of its new member. A spare that has
  // loaded beforehand takes that away, but must not delay a group that waits.
  it("lets spares load once no group waits for a load", () => {
    const domain = new Domain(14);
    domain.pass(2);
    const loads = () =>
      planOrders(domain.record, domain.view, POLICY)
        .filter(({ order }) => order.kind === OrderKind.Load)
        .map(({ instance }) => instance);
    expect(loads()).to.deep.equal([]);
    for (const { group, generation, epoch, members } of domain.memberships) {
      members.forEach((id, rank) => {
        const membership = { group, generation, epoch, rank };
        const report = { ...reportOf(id, "0"), model: "digest", membership };
        domain.reports.set(id, { report, seenAt: domain.now });
      });
    }
    expect(loads()).to.deep.equal(["engine-12", "engine-13"]);
  });
});
