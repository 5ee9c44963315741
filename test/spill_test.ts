/** Requests of a zone that cannot serve them spill to another zone. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import type { IEngineLogEntry } from "../src/stand_ins/engine_member/types.ts";
import { sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import type { IStatus } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const FAILED_ZONE = "vn-north-a";
const HEALTHY_ZONE = "vn-north-b";
const CREDENTIAL = "editor-desk-secret";

/** The part of a daemon's status that describes other zones. */
interface IZonesStatus extends IStatus {
  readonly zones: readonly {
    readonly zone: string;
    readonly loads: readonly { service: string; places: number }[];
  }[];
}

/** The identifiers of requests that engines of a zone began. */
async function begunRequests(
  deployment: Deployment,
  zone: string,
): Promise<string[]> {
  const requests: string[] = [];
  for (const engine of deployment.processNames(`engine-${zone}`)) {
    const record = await deployment.fetchRecord<{ deeds: IEngineLogEntry[] }>(
      engine,
    );
    const entries = record.deeds.filter(({ kind }) => kind === "began");
    requests.push(...entries.map(({ requestId }) => requestId));
  }
  return requests;
}

function callerOf(deployment: Deployment, daemon: string) {
  const address = deployment.process(daemon).listeningField("callers");
  return { address, credential: CREDENTIAL };
}

describe("spilling to another zone", () => {
  // Guards against refused callers and broken streams in a zone whose engines
  // all fail while its daemons run and another zone has capacity.
  it("serves a failed zone's callers, and finishes its streams", async () => {
    await using deployment = await Deployment.start({
      example: "song_lam",
      zones: [FAILED_ZONE, HEALTHY_ZONE],
      daemonsPerZone: 1,
      enginesPerZone: 4,
      plainService: "delivery-api",
    });
    const daemon = `daemon-${FAILED_ZONE}-0`;
    const caller = callerOf(deployment, daemon);
    await waitFor("the other zone's groups are known", async () => {
      const { zones } = (await deployment.status(daemon)) as IZonesStatus;
      const healthy = zones.find(({ zone }) => zone === HEALTHY_ZONE);
      const load = healthy?.loads.find(
        ({ service }) => service === "summarizer",
      );
      return (load?.places ?? 0) > 0;
    });

    const prompt = "an overseas story";
    const stream = sendStreamCall({
      ...caller,
      operation: "summarizer/long-brief",
      requestId: "under-way",
      body: { prompt, maximum_tokens: 400 },
    });
    await waitFor("the stream has begun", async () => {
      return (await begunRequests(deployment, FAILED_ZONE)).includes(
        "under-way",
      );
    });
    for (const engine of deployment.processNames(`engine-${FAILED_ZONE}`)) {
      deployment.process(engine).signal("SIGKILL");
    }
    const reply = await stream;
    expect(reply.isWhole).to.equal(true);
    expect(reply.text).to.equal(wholeText(prompt, 400));
    expect(await begunRequests(deployment, HEALTHY_ZONE)).to.include(
      "under-way",
    );

    const headline = await sendCall({
      ...caller,
      operation: "summarizer/headline",
      requestId: "after",
      body: { prompt, maximum_tokens: 8 },
    });
    expect(headline.body.outcome).to.equal("completed");
    expect(await begunRequests(deployment, HEALTHY_ZONE)).to.include("after");

    // The zones are cut from each other as well, so no capacity is left: the
    // caller must be refused at once, with a retry delay.
    deployment.link(`peers>daemon-${HEALTHY_ZONE}-0`).setMode(LinkMode.Cut);
    const refused = await sendCall({
      ...caller,
      operation: "summarizer/headline",
      requestId: "cut-off",
      body: { prompt, maximum_tokens: 8 },
    });
    expect(refused.body.outcome).to.be.oneOf(["not_run", "unknown"]);
    expect(refused.body.retry_after_ms).to.be.greaterThan(0);
    expect(await begunRequests(deployment, HEALTHY_ZONE)).to.not.include(
      "cut-off",
    );
  });
});
