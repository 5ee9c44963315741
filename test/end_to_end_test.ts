/**
 * The request path through separate processes, for both examples: a buffered
 * answer, a stream, a plain read and a non-repeatable call.
 */
import { expect } from "chai";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import { sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import type { IDeploymentPlan } from "./support/deployment.ts";

interface ICase {
  readonly plan: IDeploymentPlan;
  readonly credential: string;
  readonly buffered: string;
  readonly stream: string;
  readonly read: string;
  readonly once: string;
}

const CASES: readonly ICase[] = [
  {
    plan: {
      example: "song_lam",
      zones: ["vn-north-a", "vn-north-b", "vn-north-c"],
      daemonsPerZone: 2,
      enginesPerZone: 4,
      plainService: "delivery-api",
    },
    credential: "editor-desk-secret",
    buffered: "summarizer/headline",
    stream: "summarizer/long-brief",
    read: "delivery-api/feed",
    once: "delivery-api/publish",
  },
  {
    plan: {
      example: "hormas",
      zones: ["mx-bajio-a", "mx-bajio-b", "mx-bajio-c"],
      daemonsPerZone: 2,
      enginesPerZone: 4,
      plainService: "taller-app",
    },
    credential: "fitter-bench-secret",
    buffered: "horma-llm/specification",
    stream: "horma-llm/bench-answer",
    read: "taller-app/stock",
    once: "taller-app/material-order",
  },
];

describe("the request path", () => {
  for (const { plan, credential, ...operations } of CASES) {
    it(`serves ${plan.example} through six daemons`, async () => {
      await using deployment = await Deployment.start(plan);
      const daemons = deployment.processNames("daemon-");
      expect(daemons).to.have.length(6);
      for (const [index, daemon] of daemons.entries()) {
        const address = deployment.process(daemon).listeningField("callers");
        const caller = { address, credential };
        const prompt = `wire story ${index}`;

        const headline = await sendCall({
          ...caller,
          operation: operations.buffered,
          body: { prompt, maximum_tokens: 8 },
        });
        expect(headline.body).to.have.property("outcome", "completed");
        expect(headline.body.answer).to.deep.equal({
          text: wholeText(prompt, 8),
          tokens: 8,
        });

        const brief = await sendStreamCall({
          ...caller,
          operation: operations.stream,
          body: { prompt, maximum_tokens: 60 },
        });
        expect(brief.text).to.equal(wholeText(prompt, 60));
        expect(brief.isWhole).to.equal(true);

        const read = await sendCall({
          ...caller,
          operation: operations.read,
          body: { page: index },
        });
        expect(read.body.outcome).to.equal("completed");

        const once = {
          ...caller,
          operation: operations.once,
          body: { item: index },
          key: `item-${index}`,
        };
        const first = await sendCall(once);
        const second = await sendCall(once);
        expect(first.body.outcome).to.equal("completed");
        expect(second.body.answer).to.deep.equal(first.body.answer);
      }
    });
  }
});
