/** Shares of a limit under delayed, lost, duplicated and reordered messages. */
import { expect } from "chai";
import fc from "fast-check";
import { LimitShare } from "./limit_share.ts";
import type { ILoan, ILoanRequest } from "./limit_share.ts";

const SEED = 20_262;
const RUNS = 300;
const DAEMONS = 4;
const LIMIT = 1_000;
const ROUNDING = 1e-6;

/** An event at the daemons or in the network. */
interface IStep {
  readonly kind: "pass" | "ask" | "deliver" | "drop" | "double";
  readonly daemon: number;
  readonly demand: number;
  readonly pick: number;
}

type Message =
  | { readonly to: number; readonly request: ILoanRequest }
  | { readonly to: number; readonly loan: ILoan };

/** Daemons whose messages are delayed, lost or duplicated by the steps. */
class Network {
  readonly shares = Array.from(
    { length: DAEMONS },
    (_, index) => new LimitShare(String(index), LIMIT / DAEMONS),
  );
  readonly demands = new Array<number>(DAEMONS).fill(0);
  readonly messages: Message[] = [];
  now = 0;

  apply(step: IStep): void {
    const index = step.pick % Math.max(1, this.messages.length);
    switch (step.kind) {
      case "pass":
        this.now += step.demand * 3;
        return;
      case "ask":
        this.ask(step.daemon, step.demand);
        return;
      case "drop":
        this.messages.splice(index, 1);
        return;
      case "double":
        this.messages.push(...this.messages.slice(index, index + 1));
        return;
      case "deliver":
        this.messages.splice(index, 1).forEach((each) => this.deliver(each));
    }
  }

  ask(daemon: number, demand: number): void {
    this.demands[daemon] = demand;
    const request = this.shares[daemon]?.requestLoan(demand, this.now) ?? null;
    if (request !== null) {
      for (let to = 0; to < DAEMONS; to++) {
        if (to !== daemon) {
          this.messages.push({ to, request });
        }
      }
    }
  }

  deliver(message: Message): void {
    const share = this.shares[message.to] as LimitShare;
    if ("loan" in message) {
      share.acceptLoan(message.loan, this.now);
      return;
    }
    const demand = this.demands[message.to] ?? 0;
    const loan = share.lend(message.request, demand, this.now);
    if (loan !== null) {
      this.messages.push({ to: Number(loan.borrower), loan });
    }
  }

  get usable(): number {
    return this.shares.reduce((sum, each) => sum + each.usable(this.now), 0);
  }
}

const stepArbitrary: fc.Arbitrary<IStep> = fc.record({
  kind: fc.constantFrom("pass", "ask", "deliver", "deliver", "drop", "double"),
  daemon: fc.nat({ max: DAEMONS - 1 }),
  demand: fc.nat({ max: 1_500 }),
  pick: fc.nat(),
});

describe("limit shares", () => {
  // Guards against an account getting more than its plan allows when daemons
  // are partitioned and messages come late, twice or never.
  it("never sum to more than the limit, whatever the network does", () => {
    const steps = fc.array(stepArbitrary, { minLength: 40, maxLength: 200 });
    fc.assert(
      fc.property(steps, (sequence) => {
        const network = new Network();
        for (const step of sequence) {
          network.apply(step);
          expect(network.usable).to.be.at.most(LIMIT + ROUNDING);
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  // Guards against fixed shares: an account whose callers all reach one daemon
  // would get a quarter of what it pays for.
  it("leave nine tenths usable where all demand is at one daemon", () => {
    const network = new Network();
    for (let second = 0; second < 30; second++) {
      network.now += 1_000;
      network.ask(0, LIMIT * 2);
      while (network.messages.length > 0) {
        network.messages.splice(0, 1).forEach((each) => network.deliver(each));
      }
      if (second > 10) {
        const usable = network.shares[0]?.usable(network.now) ?? 0;
        expect(usable).to.be.above(LIMIT * 0.9);
      }
    }
  });

  // Guards against loans outliving a partition: a daemon that is cut off keeps
  // only its own part, and the others get back what it had borrowed.
  it("fall back to the base when loans are not renewed", () => {
    const network = new Network();
    network.ask(0, LIMIT);
    while (network.messages.length > 0) {
      network.messages.splice(0, 1).forEach((each) => network.deliver(each));
    }
    network.now += 60_000;
    for (const share of network.shares) {
      expect(share.usable(network.now)).to.equal(LIMIT / DAEMONS);
    }
  });
});
