/**
 * Load cases on a fake clock with a few fake targets, checked by what callers
 * get. `npm run bench -- decisions` measures the same cases against baselines.
 */
import { expect } from "chai";
import { measureCapacity } from "../../../bench/decisions/capacity.ts";
import * as cases from "../../../bench/decisions/cases.ts";
import {
  RoundRobin,
  SchedulerPolicy,
} from "../../../bench/decisions/policies.ts";
import { percentile } from "../../../bench/decisions/results.ts";
import { Simulation } from "../../../bench/decisions/simulation.ts";
import type { IScenario } from "../../../bench/decisions/simulation.ts";

const CAPACITY = 16 * measureCapacity(cases.headlines(100));
const USUAL = CAPACITY * 0.6;

function play(scenario: IScenario): Simulation {
  return Simulation.run(scenario, (host) => new SchedulerPolicy(host));
}

function firstToken99(simulation: Simulation): number {
  return percentile(simulation.all.firstTokens, 0.99);
}

describe("decisions under load", () => {
  // Guards against admitting everything at 1.5 times the capacity: all answers
  // are then late, since targets work on requests whose callers have left.
  it("keeps the goodput at saturation", () => {
    const { all } = play(cases.scenario([cases.headlines(CAPACITY * 1.5)]));
    expect(all.goodput(10_000, 60_000)).to.be.above(CAPACITY * 0.95);
    expect(all.late).to.be.below(all.offered * 0.02);
  });

  // Guards against refusing accounts within their share while another account
  // sends four fifths of 1.5 times the capacity.
  it("serves accounts within their share while another floods", () => {
    const simulation = play(cases.flood(CAPACITY * 1.5));
    for (const account of [1, 2, 3, 4].map((index) => `steady-${index}`)) {
      expect(simulation.resultsOf(account).onTimeShare, account).to.be.above(
        0.99,
      );
    }
  });

  // Guards against a burst of ten times the usual load for five seconds keeping
  // targets busy long after it: first tokens would stay late although it is
  // over.
  it("recovers within twice the duration of a burst", () => {
    const { all } = play(cases.burst(CAPACITY * 0.4));
    const after = all.series.filter(({ at }) => at > 35_000);
    const before = all.series.filter(({ at }) => at < 20_000);
    const usual = percentile(
      before.map((entry) => entry.firstToken),
      0.95,
    );
    for (const { at, firstToken } of after) {
      expect(firstToken, `at ${at}`).to.be.below(usual * 2);
    }
  });

  // Guards against a target that works at a fifth of its speed but reports that
  // it is healthy: each request sent there takes five times as long.
  it("keeps the service fast with one slow target", () => {
    const usual = play(cases.scenario([cases.headlines(USUAL)]));
    const slowed = play(cases.oneTarget(USUAL, cases.slowFirstTarget));
    const ratio = firstToken99(slowed) / firstToken99(usual);
    expect(ratio).to.be.below(1.1);
    expect(slowed.all.onTimeShare).to.equal(1);
  });

  // Guards against a target that accepts requests and never answers: callers
  // sent there get nothing until their deadline.
  it("retries elsewhere what a silent target does not answer", () => {
    const { all } = play(cases.oneTarget(USUAL, cases.silenceFirstTarget));
    expect(all.onTimeShare).to.be.above(0.995);
    // Only the few probation requests may wait for it.
    const waited = all.series.filter(
      ({ at, firstToken }) => at > 15_000 && firstToken > 1_000,
    );
    expect(waited).to.have.length.below(6);
  });

  // Guards against one long brief in twenty requests delaying the headlines: it
  // slows down the tokens beside it, and a headline queued behind its prompt
  // waits.
  it("keeps headlines fast among long briefs", () => {
    const rate = CAPACITY * 0.3;
    const alone = play(cases.longAmongShort(rate, false));
    const among = play(cases.longAmongShort(rate, true));
    const ratio =
      percentile(among.resultsOf("desk").firstTokens, 0.95) /
      percentile(alone.resultsOf("desk").firstTokens, 0.95);
    expect(ratio).to.be.below(1.1);
    expect(among.resultsOf("briefs").onTimeShare).to.equal(1);
  });

  // Guards against ignoring a target's cached prefix, and against sending all
  // prompts of the most frequent prefix to one target.
  it("sends prompts with the same prefix to targets that have it cached", () => {
    const scenario = cases.hotPrefix(CAPACITY * 0.3);
    const plain = Simulation.run(scenario, (host) => new RoundRobin(host));
    const ratio =
      percentile(play(scenario).all.firstTokens, 0.95) /
      percentile(plain.all.firstTokens, 0.95);
    expect(ratio).to.be.below(0.7);
  });

  // Guards against a retry storm: three quarters of the targets are lost for
  // five seconds with all their requests, and retrying these at once would
  // overload the remaining targets.
  it("adds few retries after an outage", () => {
    const span = { from: 20_000, to: 25_000, share: 0.75 };
    const simulation = play(cases.outage(CAPACITY * 0.5, span));
    for (const [second, retries] of simulation.retriesBySecond.entries()) {
      const first = simulation.firstAttemptsBySecond[second] ?? 0;
      expect(retries ?? 0, `second ${second}`).to.be.at.most(first * 0.1 + 6);
    }
    expect(simulation.all.onTimeShare).to.be.above(0.95);
  });

  // Guards against a wave: half the targets return empty, so every daemon sees
  // them as the least loaded at once and would send them everything.
  it("returns a zone to service without a wave of late answers", () => {
    const span = { from: 20_000, to: 40_000, share: 0.5 };
    const { all } = play(cases.outage(CAPACITY * 0.7, span));
    const later = all.series.filter(({ at }) => at > 45_000);
    const times = later.map((entry) => entry.firstToken);
    expect(percentile(times, 0.99)).to.be.below(820);
  });

  // Guards against late refusals: a refused caller must still have time to go
  // elsewhere before its deadline.
  it("refuses well before the deadline", () => {
    const { all } = play(cases.flood(CAPACITY * 1.5));
    const { deadline } = cases.HEADLINE;
    expect(Math.max(...all.refusalDelays)).to.be.below(deadline / 2);
    expect(percentile(all.refusalDelays, 0.8)).to.equal(0);
  });
});
