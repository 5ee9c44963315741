import { expect } from "chai";
import { Reason } from "../types.ts";
import { ScheduleActionKind, ServiceScheduler } from "./service_scheduler.ts";
import type { IWorkItem } from "./work_item.ts";

/** Milliseconds from arrival. */
const DEADLINE = 8_000;
const TOKENS = 40;

function makeWork(account: string, index: number, now: number): IWorkItem {
  return {
    id: `${account}-${index}`,
    account,
    priority: 5,
    promptTokens: 10,
    requestedTokens: TOKENS,
    isCall: false,
    prefix: "",
    arrivedAt: now,
    deadline: now + DEADLINE,
  };
}

/** A scheduler with one target, flooded until its estimate refuses work. */
function flooded(): { scheduler: ServiceScheduler; now: number } {
  const scheduler = new ServiceScheduler();
  const targets = [{ id: "only", reported: 0, describedAt: 0 }];
  scheduler.updateTargets({ targets, daemons: 1 }, 0);
  let now = 0;
  for (let index = 0; index < 400; index += 1) {
    now += 10;
    const work = makeWork("flood", index, now);
    const actions = scheduler.submit(work, now);
    const isRefused = actions.some(
      ({ kind, work: one }) =>
        kind === ScheduleActionKind.Refuse && one === work,
    );
    if (isRefused) {
      return { scheduler, now };
    }
    const request = scheduler.targets.startRequest("only", work, now);
    scheduler.targets.recordTokens(request, 1, now + 6_000);
    scheduler.targets.recordTokens(request, 1, now + 7_000);
    // The first request keeps running: the estimate is capped when none runs.
    if (index > 0) {
      scheduler.finish(work, TOKENS, now);
    }
  }
  throw new Error("no request of the flood was refused");
}

describe("scheduling one service", () => {
  // Guards against refusing an account that sends a request now and then
  // because the run times learned from another account's flood exceed its
  // deadline.
  it("admits work of an account that is not part of the load", () => {
    const { scheduler, now } = flooded();
    const quiet = makeWork("quiet", 0, now);
    const refusals = scheduler
      .submit(quiet, now)
      .filter(({ kind }) => kind === ScheduleActionKind.Refuse);
    expect(refusals.map(({ work }) => work.id)).to.not.include("quiet-0");
  });

  // Guards against an account taking more than one slot on a wrong guess.
  it("admits one trial at a time for each account", () => {
    const { scheduler, now } = flooded();
    scheduler.submit(makeWork("quiet", 0, now), now);
    const second = makeWork("quiet", 1, now);
    const [refusal] = scheduler.submit(second, now);
    expect(refusal).to.include({
      kind: ScheduleActionKind.Refuse,
      work: second,
      reason: Reason.DeadlineTooNear,
    });
  });

  // Guards against refusing work that was admitted before another account's
  // flood raised the estimate.
  it("keeps queued work of an account that is not part of the load", () => {
    const scheduler = new ServiceScheduler();
    const targets = [{ id: "only", reported: 0, describedAt: 0 }];
    scheduler.updateTargets({ targets, daemons: 1 }, 0);
    const started = Array.from({ length: 100 }, (_, index) =>
      makeWork("flood", index, 0),
    )
      .flatMap((work) => scheduler.submit(work, 0))
      .map(({ work }) => ({
        work,
        request: scheduler.targets.startRequest("only", work, 0),
      }));
    const [first, second] = started;
    if (first === undefined || second === undefined) {
      throw new Error("no two calls were started");
    }
    const quiet = makeWork("quiet", 0, 100);
    expect(scheduler.submit(quiet, 100)).to.deep.equal([]);
    for (let round = 0; round < 40; round += 1) {
      for (const { request } of started) {
        scheduler.targets.recordTokens(request, 1, 1_000 + round * 500);
      }
    }
    const actions = scheduler.finish(first.work, TOKENS, 2_000);
    const refused = actions
      .filter(({ kind }) => kind === ScheduleActionKind.Refuse)
      .map(({ work }) => work.account);
    expect(refused).to.include("flood");
    expect(refused).to.not.include("quiet");
    const startedLater = [
      ...actions,
      ...scheduler.finish(second.work, TOKENS, 2_500),
    ].filter(({ kind }) => kind === ScheduleActionKind.Start);
    expect(startedLater.map(({ work }) => work.account)).to.include("quiet");
  });
});
