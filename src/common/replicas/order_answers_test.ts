import { expect } from "chai";
import { engineView } from "../../../test/support/engine_fixtures.ts";
import { OrderAnswers } from "./order_answers.ts";

/** Milliseconds by which reports lag behind. */
const LAG = 300;

describe("OrderAnswers", () => {
  // Guards against joins that are refused again and again: a report from before
  // the engine's last order names a number of orders that no longer holds.
  it("takes no report as current that may not show the last order", () => {
    const answers = new OrderAnswers();
    answers.record("engine-0", 1_000);
    const viewAt = (askedAt: number) => engineView("engine-0", { askedAt });
    expect(answers.areShown(viewAt(900), LAG)).to.equal(false);
    expect(answers.areShown(viewAt(1_300), LAG)).to.equal(false);
    expect(answers.areShown(viewAt(1_301), LAG)).to.equal(true);
  });

  it("takes any report of an engine without orders as current", () => {
    expect(new OrderAnswers().areShown(engineView("engine-0"), LAG)).to.equal(
      true,
    );
  });

  it("explains a conflict by another order", () => {
    const answers = new OrderAnswers();
    const conflict = { group: "group-7", expectedOrderCount: 4 };
    answers.recordConflict("engine-0", conflict, 1_000);
    const isUnexplained = (orderCount: number, group: string) =>
      answers.isConflictUnexplained(
        engineView("engine-0", { orderCount }),
        group,
      );
    expect(isUnexplained(5, "group-7")).to.equal(false);
    expect(isUnexplained(4, "group-7")).to.equal(true);
    expect(isUnexplained(4, "group-8")).to.equal(false);
  });

  it("keeps nothing of an engine that is gone", () => {
    const answers = new OrderAnswers();
    answers.record("engine-0", 1_000);
    answers.retainOnly(new Map());
    expect(answers.areShown(engineView("engine-0"), LAG)).to.equal(true);
  });
});
