/** Formation of groups: invariants of every domain, and single decisions. */
import { expect } from "chai";
import fc from "fast-check";
import { OrderKind } from "../services/services.ts";
import { InstanceState, ServiceKind, TargetState } from "../types.ts";
import type { IInstance, InstanceId, ITimestampedReport } from "../types.ts";
import { planGroupChange } from "./formation.ts";
import type { IFormationPolicy, IFormationView } from "./formation.ts";
import { MemberMonitor } from "./member_monitor.ts";
import { planOrders } from "./orders.ts";
import type { IDomainRecord } from "./types.ts";

const MONITOR_POLICY = {
  pauseBound: 1_000,
  replaceAfter: 4_000,
  holdAfterLoss: 10_000,
  longestHold: 60_000,
  halfLife: 120_000,
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

/** Engines of one domain whose silence and restarts the test controls. */
class Domain {
  readonly monitor = new MemberMonitor(MONITOR_POLICY);
  readonly reports = new Map<InstanceId, ITimestampedReport>();
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
    const { instances, reports, monitor, now } = this;
    return { instances, reports, monitor, now, orderedAt: new Map() };
  }

  get memberships() {
    return this.record.groups.map(({ id, ...group }) => ({
      group: id,
      ...group,
    }));
  }

  /** Advances the time with an update each second, and applies each plan. */
  advance(seconds: number): void {
    for (let second = 0; second < seconds; second++) {
      this.now += 1_000;
      this.#report();
      this.monitor.update(this.instances, this.reports, this.now);
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
      throw new Error(`duplicate or missing members: ${members.join()}`);
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
  // Guards against an instance in two groups and groups that stay incomplete,
  // when engines become silent, return and restart in any order.
  it("keeps each instance in one group, whatever fails", () => {
    const step = fc.record({
      engine: fc.nat({ max: 13 }),
      what: fc.constantFrom("silence", "return", "restart"),
      wait: fc.integer({ min: 1, max: 6 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const domain = new Domain(14);
        domain.advance(1);
        for (const { engine, what, wait } of steps) {
          const id = domain.instances[engine]?.id ?? "";
          domain.silent[what === "silence" ? "add" : "delete"](id);
          if (what === "restart") {
            domain.restarts.set(id, (domain.restarts.get(id) ?? 0) + 1);
          }
          domain.advance(wait);
        }
        domain.silent.clear();
        domain.advance(70);
        expect(domain.record.groups, "groups in the end").to.have.length(3);
      }),
      { seed: 4_711, numRuns: 500, endOnFailure: true },
    );
  });

  // Guards against taking a daemon's own start or pause for the silence of all
  // members: it would dissolve every group of the domain, and all would load
  // again.
  it("does not treat its own pause as the members' silence", () => {
    const domain = new Domain(14);
    domain.advance(2);
    domain.now += 60_000;
    // All reports but one have arrived again.
    const reports = new Map(domain.reports);
    for (const { id } of domain.instances.slice(1)) {
      reports.set(id, { report: reportOf(id, "0"), seenAt: domain.now });
    }
    const others = new Map([...reports].slice(1));
    for (const [monitor, known] of [
      [domain.monitor, reports],
      [new MemberMonitor(MONITOR_POLICY), others],
    ] as const) {
      monitor.update(domain.instances, known, domain.now);
      const view = { ...domain.view, monitor, reports: known };
      expect(planGroupChange(domain.record, WANTED, view, POLICY)).to.equal(
        null,
      );
    }
  });

  // Guards against two groups staying down that lack a member each while no
  // instance is spare.
  it("dissolves one incomplete group to heal another", () => {
    const domain = new Domain(12);
    domain.advance(2);
    domain.silent.add("engine-00").add("engine-05");
    domain.advance(10);
    expect(domain.record.groups).to.have.length(2);
    expect(domain.record.groups[0]).to.include({ generation: 2 });
  });

  // Guards against giving an engine that keeps crashing its old place each time
  // it returns: its group would load again and again.
  it("holds a flapping member out for longer each time", () => {
    const domain = new Domain(4);
    domain.advance(2);
    const generations = [];
    for (let flap = 1; flap <= 6; flap++) {
      domain.restarts.set("engine-02", flap);
      domain.advance(5);
      generations.push(domain.record.groups[0]?.generation);
    }
    expect(generations).to.deep.equal([2, 2, 2, 2, 2, 2]);
    domain.advance(120);
    expect(domain.record.groups[0]?.generation).to.equal(3);
  });

  it("loads no more engines at once than the weight store allows", () => {
    const domain = new Domain(12);
    domain.advance(2);
    const orders = planOrders(domain.record, domain.view, POLICY);
    expect(orders.map(({ instance }) => instance)).to.have.length(3);
  });

  // Guards against cold spares, since loading is most of a group's downtime,
  // and against their loads delaying a group that waits for its own.
  it("loads spares once no group waits for a load", () => {
    const domain = new Domain(14);
    domain.advance(2);
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
