/** Series of faulty answers, slow processes and stops, by a seed. */
import { expect } from "chai";
import { AnswerMix, MEMORY } from "./support/answer_mix.ts";

/** First seed and number of plays; the environment names others. */
const SEED = Number(process.env.ANSWER_MIX_SEED ?? 20261206);
const PLAYS = Number(process.env.ANSWER_MIX_PLAYS ?? 1);

/** Milliseconds for which faults come in one play. */
const TIME = 15_000;

describe("targets that are faulty by turns", () => {
  // Guards against processes that end or stand still for what targets write,
  // and against successes that are not whole.
  for (let seed = SEED; seed < SEED + PLAYS; seed += 1) {
    it(`end no process, and leave it able to serve: seed ${seed}`, async () => {
      const outcome = await new AnswerMix(seed).play(TIME);
      expect(outcome.ended).to.deep.equal([]);
      expect(outcome.wrong).to.deep.equal([]);
      expect(outcome.peak).to.be.at.most(MEMORY);
      expect(outcome.served, `of ${outcome.calls} calls`).to.be.above(0);
    });
  }
});
