/** Requests of a zone that cannot serve are served by another zone. */
import { expect } from "chai";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import type { IEngineLogEntry } from "../src/stand_ins/engine_member/types.ts";
import { sendCall, sendStreamCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import type { IStatus } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const DARK = "vn-north-a";
const LIT = "vn-north-b";
const CREDENTIAL = "editor-desk-secret";

/** The part of a daemon's status that tells of other zones. */
interface IZonesStatus extends IStatus {
  readonly zones: readonly {
    readonly zone: string;
    readonly loads: readonly { service: string; places: number }[];
  }[];
}

/** Requests that engines of a zone began, by their identifiers. */
async function begun(deployment: Deployment, zone: string): Promise<string[]> {
  const requests: string[] = [];
  for (const engine of deployment.processNames(`engine-${zone}`)) {
    const record = await deployment.fetchRecord<{ deeds: IEngineLogEntry[] }>(
      engine,
    );
    const deeds = record.deeds.filter(({ kind }) => kind === "began");
    requests.push(...deeds.map(({ requestId }) => requestId));
  }
  return requests;
}

function callerOf(deployment: Deployment, daemon: string) {
  const address = deployment.process(daemon).listeningField("callers");
  return { address, credential: CREDENTIAL };
}

describe("spilling to another zone", () => {
  // All engines of one zone lose power while their zone's daemons live on. A
  // caller of that zone would be refused, and a stream under way would break,
  // although the next zone stands ready.
  it("serves a dark zone's callers, and finishes its streams", async () => {
    await using deployment = await Deployment.start({
      example: "song_lam",
      zones: [DARK, LIT],
      daemonsPerZone: 1,
      enginesPerZone: 4,
      plainService: "delivery-api",
    });
    const daemon = `daemon-${DARK}-0`;
    const caller = callerOf(deployment, daemon);
    await waitFor("the other zone's groups are known", async () => {
      const { zones } = (await deployment.status(daemon)) as IZonesStatus;
      const lit = zones.find(({ zone }) => zone === LIT);
      const load = lit?.loads.find(({ service }) => service === "summarizer");
      return (load?.places ?? 0) > 0;
    });

    const prompt = "an overseas story";
    const stream = sendStreamCall({
      ...caller,
      operation: "summarizer/long-brief",
      requestId: "under-way",
      body: { prompt, maximum_tokens: 400 },
    });
    await waitFor("the stream is under way", async () => {
      return (await begun(deployment, DARK)).includes("under-way");
    });
    for (const engine of deployment.processNames(`engine-${DARK}`)) {
      deployment.process(engine).signal("SIGKILL");
    }
    const reply = await stream;
    expect(reply.isWhole).to.equal(true);
    expect(reply.text).to.equal(wholeText(prompt, 400));
    expect(await begun(deployment, LIT)).to.include("under-way");

    const headline = await sendCall({
      ...caller,
      operation: "summarizer/headline",
      requestId: "after",
      body: { prompt, maximum_tokens: 8 },
    });
    expect(headline.body.outcome).to.equal("completed");
    expect(await begun(deployment, LIT)).to.include("after");

    // The zones are cut from each other as well: nothing is left to serve by,
    // and the caller is told at once that nothing ran and when to come back.
    deployment.link(`peers>daemon-${LIT}-0`).setMode(LinkMode.Cut);
    const refused = await sendCall({
      ...caller,
      operation: "summarizer/headline",
      requestId: "cut-off",
      body: { prompt, maximum_tokens: 8 },
    });
    expect(refused.body.outcome).to.be.oneOf(["not_run", "unknown"]);
    expect(refused.body.retry_after_ms).to.be.greaterThan(0);
    expect(await begun(deployment, LIT)).to.not.include("cut-off");
  });
});
