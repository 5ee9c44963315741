import { expect } from "chai";
import { callOf } from "../../../test/support/call_fixtures.ts";
import { engineState } from "../../../test/support/engine_fixtures.ts";
import {
  RecordingSender,
  targetsOf,
} from "../../../test/support/forwarding_fixtures.ts";
import { ManualClock } from "../../../test/support/manual_clock.ts";
import { RecordingLog } from "../../../test/support/recording_services.ts";
import { GroupMemberState } from "../calls/types.ts";
import type { IEngineState } from "../calls/types.ts";
import { ForwardedRequests } from "./forwarded_requests.ts";
import { ForwardRefusal } from "./types.ts";

/** Milliseconds after the signal: the end, and until when callers come. */
const END = 7_000;
const REMOVED_AT = 2_500;
const STOPS_AT = 3_000;

/** Milliseconds left to a call that lasts longer than its process. */
const LONG = 9_000;
const SHORT = 2_000;

const MEMBERSHIP = {
  group: "group-1",
  epoch: 1,
  rank: 0,
  state: GroupMemberState.Open,
};

/** Why a stopping process does not take a call; null if it does. */
function refusalOf(
  engine: IEngineState,
  call: { readonly timeLeft: number; readonly at: number },
): ForwardRefusal | null {
  const [target] = targetsOf(["north-a"], 1);
  if (target === undefined) {
    throw new Error("there is no target");
  }
  const clock = new ManualClock();
  const requests = new ForwardedRequests({
    sender: new RecordingSender(),
    engines: {} as never,
    findTarget: () => ({ ...target, engine }),
    reach: { isOutOfReach: () => false, outOfReach: [] },
    clock,
    log: new RecordingLog(),
    lag: () => 0,
    maximumCalls: 10,
  });
  const times = { startedAt: 0, removedAt: REMOVED_AT, end: END };
  requests.stopAt(STOPS_AT, times);
  clock.advance(call.at);
  return requests.refusalOf({
    target: target.id,
    call: { ...callOf(), service: target.service },
    timeLeft: call.timeLeft,
    lastEventId: null,
    needsNewConnection: true,
  });
}

describe("calls that are forwarded to a stopping process", () => {
  // Guards against calls that may not be repeated and are cut with the process.
  it("are refused for a plain target if they may last longer", () => {
    const plain = engineState();
    const early = { timeLeft: LONG, at: 1_000 };
    expect(refusalOf(plain, early)).to.equal(ForwardRefusal.Stopping);
    expect(refusalOf(plain, { ...early, timeLeft: SHORT })).to.equal(null);
  });

  it("are taken for a group until callers reach other processes", () => {
    const head = engineState({ membership: MEMBERSHIP });
    expect(refusalOf(head, { timeLeft: LONG, at: 1_000 })).to.equal(null);
    const late = { timeLeft: LONG, at: REMOVED_AT + 100 };
    expect(refusalOf(head, late)).to.equal(ForwardRefusal.Stopping);
  });
});
