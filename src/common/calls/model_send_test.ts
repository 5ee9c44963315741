import { expect } from "chai";
import { callOf } from "../../../test/support/call_fixtures.ts";
import { SUCCESS_HEAD } from "../../../test/support/model_calls_harness.ts";
import { NO_BOUND_RECORDER } from "./answer_bounds.ts";
import { AnswerMemory } from "./answer_memory.ts";
import { ModelSend } from "./model_send.ts";
import type { IModelSendParts } from "./model_send.ts";
import { CallKind } from "./types.ts";

const encoder = new TextEncoder();

/** Bytes of an event beyond what any answer may take. */
const LONG_EVENT = 100_000;

describe("ModelSend", () => {
  // Guards against memory that stays charged for an event that was passed on.
  it("takes memory only for the event that is not complete", () => {
    const memory = new AnswerMemory();
    const call = callOf();
    const parts = {
      call: { ...call, route: { ...call.route, kind: CallKind.Stream } },
      memory,
      bounds: NO_BOUND_RECORDER,
      sentAt: 0,
    };
    let events = 0;
    const send = new ModelSend(parts as unknown as IModelSendParts, {
      onEvents: (_, complete) => (events += complete.length),
      onResponse: () => {
        throw new Error("the response has not ended");
      },
      onEnded: () => undefined,
      onSilence: () => undefined,
    });
    send.onHead(SUCCESS_HEAD);
    send.onData(encoder.encode("x".repeat(LONG_EVENT)));
    expect(memory.used).to.be.at.least(LONG_EVENT);
    send.onData(encoder.encode("\n\nid: 1"));
    expect(events).to.equal(1);
    expect(memory.used).to.be.at.most(1_000);
    send.abort();
    expect(memory.used).to.equal(0);
  });
});
