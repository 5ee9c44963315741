/** TLS towards callers, and between daemons with both sides checked. */
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Agent, request } from "undici";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { TestCertificateAuthority } from "./support/certificates.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const TRUSTED = `daemon-${ZONE}-0`;
const STRANGER = `daemon-${ZONE}-1`;
const FOLLOWER = `daemon-${ZONE}-2`;

/** Enough that a stranger that is told anything hears of one of them. */
const EDITS = 5;

async function plansVersion(
  deployment: Deployment,
  daemon: string,
): Promise<number> {
  const { lists } = await deployment.status(daemon);
  return lists.find(({ list }) => list === "plans")?.version ?? 0;
}

/** Puts the plans list in force again, as an operator would. */
async function applyPlans(deployment: Deployment): Promise<number> {
  const file = new URL("../examples/song_lam/plans.yaml", import.meta.url);
  const platform = ["--platform", deployment.platformAddress];
  const from = await plansVersion(deployment, TRUSTED);
  const words = ["apply", "plans", file.pathname, "--edited-from", `${from}`];
  const applied = await deployment.runCommandLine(...words, ...platform);
  expect(applied.code, applied.output).to.equal(0);
  return Number(/version=(\d+)/.exec(applied.output)?.[1]);
}

async function authenticatedCall(
  deployment: Deployment,
  authority: TestCertificateAuthority,
): Promise<number> {
  const address = deployment.process(TRUSTED).listeningField("callers");
  const url = `https://${address}/v1/services/delivery-api/feed`;
  const agent = new Agent({ connect: { ca: authority.certificate } });
  const answer = await request(url, {
    method: "POST",
    dispatcher: agent,
    headers: { authorization: "Bearer editor-desk-secret" },
    body: "{}",
  });
  await answer.body.dump();
  await agent.close();
  return answer.statusCode;
}

describe("TLS", () => {
  // One daemon's certificate is signed by somebody else, as after a mistaken
  // roll-out or by an intruder. Trusted daemons must neither tell it anything
  // nor believe it; a user would otherwise be served by a forged plan list.
  it("serves callers, and passes lists on among trusted peers only", async () => {
    using authority = await TestCertificateAuthority.create();
    using elsewhere = await TestCertificateAuthority.create();
    const callers = await authority.sign("callers");
    const own = await authority.sign("peers");
    const foreign = await elsewhere.sign("peers");
    const root = authority.pathOf("authority.pem");
    const foreignRoot = elsewhere.pathOf("authority.pem");
    await using deployment = await Deployment.start({
      example: "song_lam",
      zones: [ZONE],
      daemonsPerZone: 3,
      enginesPerZone: 4,
      plainService: "delivery-api",
      settings: (daemon) => ({
        tls: {
          callers,
          peers:
            daemon === STRANGER
              ? { ...foreign, authority: foreignRoot }
              : { ...own, authority: root },
        },
      }),
    });
    expect(readFileSync(root, "utf8")).to.equal(authority.certificate);
    expect(await authenticatedCall(deployment, authority)).to.equal(200);

    for (const daemon of [STRANGER, FOLLOWER]) {
      deployment.link(`platform<${daemon}`).setMode(LinkMode.Cut);
    }
    const before = await plansVersion(deployment, STRANGER);
    for (let edit = 0; edit < EDITS; edit++) {
      const version = await applyPlans(deployment);
      await waitFor("the trusted peer passes the list on", async () => {
        return (await plansVersion(deployment, FOLLOWER)) === version;
      });
    }
    expect(await plansVersion(deployment, STRANGER)).to.equal(before);
  });
});
