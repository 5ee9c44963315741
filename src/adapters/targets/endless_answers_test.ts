/** Answers of targets and of the platform that have no end. */
import { expect } from "chai";
import {
  ENDLESS_HEAD,
  EndlessTarget,
  FAILURE_HEAD,
  OPEN_HEAD,
} from "../../../test/support/endless_target.ts";
import { inputBarrier } from "../../../test/support/event_loop_fixtures.ts";
import { HttpPlatform } from "../platform/http_platform.ts";
import { HttpTargets } from "./http_targets.ts";

/** Bytes; more than any answer, and what is on its way, may take. */
const MOST_BYTES = 16_777_216;

/** The same for an answer of the platform, which may be larger. */
const MOST_PLATFORM_BYTES = 67_108_864;

/** Milliseconds. */
const TIMEOUT = 2_000;

const BEGINNINGS = [
  OPEN_HEAD,
  FAILURE_HEAD,
  ENDLESS_HEAD,
  `${OPEN_HEAD}data: `,
];

const SERVICE_CALL = {
  requestId: "request-1",
  operation: "publish",
  body: {},
  timeout: TIMEOUT,
  needsNewConnection: true,
};

const ENGINE_CALL = {
  requestId: "request-1",
  group: "fabric/1",
  generation: 1,
  prompt: "text",
  maximumTokens: 10,
  priority: 1,
  resumeFrom: 0,
};

// Guards against a daemon that keeps what a target writes until its memory is
// gone, and with it all calls that it serves.
describe("answers without end to the daemon", () => {
  it("end a report early", async () => {
    for (const beginning of BEGINNINGS) {
      await using target = new EndlessTarget(beginning);
      await using targets = new HttpTargets(inputBarrier());
      const report = await targets.report(await target.listen(), TIMEOUT);
      expect(report.isErr()).to.equal(true);
      expect(target.bytesSent).to.be.at.most(MOST_BYTES);
    }
  });

  it("end a call early", async () => {
    for (const beginning of BEGINNINGS) {
      await using target = new EndlessTarget(beginning);
      await using targets = new HttpTargets(inputBarrier());
      const { signal } = new AbortController();
      const address = await target.listen();
      const answer = await targets.call(address, SERVICE_CALL, signal);
      expect(answer.isErr()).to.equal(true);
      expect(target.bytesSent).to.be.at.most(MOST_BYTES);
    }
  });

  it("end a stream early", async () => {
    for (const beginning of BEGINNINGS) {
      await using target = new EndlessTarget(beginning);
      await using targets = new HttpTargets(inputBarrier());
      const abort = new AbortController();
      // Ends a stream that would go on for good.
      setTimeout(() => abort.abort(), TIMEOUT).unref();
      const options = {
        firstTokenWithin: TIMEOUT,
        nextTokenWithin: TIMEOUT,
        signal: abort.signal,
      };
      const address = await target.listen();
      const stream = targets.generate(address, ENGINE_CALL, options);
      for await (const batch of stream) {
        expect(batch.isErr()).to.equal(true);
      }
      expect(target.bytesSent).to.be.at.most(MOST_BYTES);
    }
  });

  it("end a read of the platform early", async () => {
    for (const beginning of BEGINNINGS) {
      await using target = new EndlessTarget(beginning);
      await using platform = new HttpPlatform(
        `http://${await target.listen()}`,
      );
      const read = await platform.read("plans", "main");
      expect(read.isErr()).to.equal(true);
      expect(target.bytesSent).to.be.at.most(MOST_PLATFORM_BYTES);
    }
  });
});
