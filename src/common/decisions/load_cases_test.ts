/**
 * The load cases on a fake clock and small fake targets, judged by what
 * callers get. The same cases are measured against baselines, with figures, by
 * `npm run bench -- decisions`.
 */
import { expect } from "chai";
import { capacityOf } from "../../../bench/decisions/capacity.ts";
import * as cases from "../../../bench/decisions/cases.ts";
import { RoundRobin, Scheduled } from "../../../bench/decisions/policies.ts";
import { percentile } from "../../../bench/decisions/results.ts";
import { World } from "../../../bench/decisions/world.ts";
import type { IScenario } from "../../../bench/decisions/world.ts";

const CAPACITY = 16 * capacityOf(cases.headlines(100));
const USUAL = CAPACITY * 0.6;

function play(scenario: IScenario): World {
  return World.play(scenario, (host) => new Scheduled(host));
}

function firstToken99(world: World): number {
  return percentile(world.all.firstTokens, 0.99);
}

describe("decisions under load", () => {
  // More is asked than can be served, for a minute. Callers notice that all
  // answers are too late if everything is let in, since the targets then work
  // on requests whose callers have left.
  it("keeps the goodput at saturation", () => {
    const { all } = play(cases.scenario([cases.headlines(CAPACITY * 1.5)]));
    expect(all.goodput(10_000, 60_000)).to.be.above(CAPACITY * 0.95);
    expect(all.late).to.be.below(all.offered * 0.02);
  });

  // One account sends four fifths of one and a half times what can be served.
  // The others stay within their part, and notice it if theirs are refused.
  it("serves accounts within their part while another floods", () => {
    const world = play(cases.flood(CAPACITY * 1.5));
    for (const account of [1, 2, 3, 4].map((index) => `steady-${index}`)) {
      expect(world.resultsOf(account).onTimeShare, account).to.be.above(0.99);
    }
  });

  // Ten times the usual load for five seconds. Without a bound on what is let
  // in the targets are still at work on it long after; callers see late first
  // tokens although the burst is over.
  it("is back to normal within twice a burst", () => {
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

  // One target works at a fifth of its speed but says that it is well. Each
  // caller sent there waits five times as long.
  it("does not let a slow target make the service slow", () => {
    const usual = play(cases.scenario([cases.headlines(USUAL)]));
    const slowed = play(cases.oneTarget(USUAL, cases.fifthOfSpeed));
    const ratio = firstToken99(slowed) / firstToken99(usual);
    expect(ratio).to.be.below(1.1);
    expect(slowed.all.onTimeShare).to.equal(1);
  });

  // One target accepts requests and never answers. Callers sent there get
  // nothing until their deadline.
  it("tries elsewhere what a silent target does not answer", () => {
    const { all } = play(cases.oneTarget(USUAL, cases.goSilent));
    expect(all.onTimeShare).to.be.above(0.995);
    // Only the few that show whether it answers again may wait for it.
    const waited = all.series.filter(
      ({ at, firstToken }) => at > 15_000 && firstToken > 1_000,
    );
    expect(waited).to.have.length.below(6);
  });

  // One request in twenty is a long brief. Beside a long brief the tokens of
  // a headline come later, and a headline behind its prompt waits for it.
  it("keeps headlines quick among long briefs", () => {
    const rate = CAPACITY * 0.3;
    const alone = play(cases.longAmongShort(rate, false));
    const among = play(cases.longAmongShort(rate, true));
    const ratio =
      percentile(among.resultsOf("desk").firstTokens, 0.95) /
      percentile(alone.resultsOf("desk").firstTokens, 0.95);
    expect(ratio).to.be.below(1.1);
    expect(among.resultsOf("briefs").onTimeShare).to.equal(1);
  });

  // Many prompts begin alike, one beginning more often than all others. A
  // target that has read the beginning need not read it again, but one alone
  // must not get all of them.
  it("sends prompts that begin alike to where that was read", () => {
    const scenario = cases.hotPrefix(CAPACITY * 0.3);
    const plain = World.play(scenario, (host) => new RoundRobin(host));
    const ratio =
      percentile(play(scenario).all.firstTokens, 0.95) /
      percentile(plain.all.firstTokens, 0.95);
    expect(ratio).to.be.below(0.7);
  });

  // Three quarters of the targets are lost for five seconds, with all they
  // run. If all of it is tried again at once the rest is buried.
  it("adds few retries after an outage", () => {
    const span = { from: 20_000, to: 25_000, share: 0.75 };
    const world = play(cases.outage(CAPACITY * 0.5, span));
    for (const [second, retries] of world.retriesBySecond.entries()) {
      const first = world.firstTriesBySecond[second] ?? 0;
      expect(retries ?? 0, `second ${second}`).to.be.at.most(first * 0.1 + 6);
    }
    expect(world.all.onTimeShare).to.be.above(0.95);
  });

  // Half the targets are lost and come back empty. Every daemon sees them as
  // the idlest at once and would send them everything.
  it("takes a zone back without a wave", () => {
    const span = { from: 20_000, to: 40_000, share: 0.5 };
    const { all } = play(cases.outage(CAPACITY * 0.7, span));
    const later = all.series.filter(({ at }) => at > 45_000);
    const times = later.map((entry) => entry.firstToken);
    expect(percentile(times, 0.99)).to.be.below(820);
  });

  // A request that cannot be served is told so while the caller can still go
  // elsewhere, and never after its deadline.
  it("tells a refused caller before its deadline", () => {
    const { all } = play(cases.flood(CAPACITY * 1.5));
    const { deadline } = cases.HEADLINE;
    expect(Math.max(...all.refusedAfter)).to.be.below(deadline / 2);
    expect(percentile(all.refusedAfter, 0.8)).to.equal(0);
  });
});
