/** TLS for callers, and mutual TLS between daemons. */
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Agent, request } from "undici";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { TestCertificateAuthority } from "./support/certificates.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONE = "vn-north-a";
const TRUSTED = `daemon-${ZONE}-0`;
const UNTRUSTED = `daemon-${ZONE}-1`;
const TRUSTED_PEER = `daemon-${ZONE}-2`;

/** Enough edits that an untrusted daemon would receive one if any were sent. */
const EDITS = 5;

async function plansVersion(
  deployment: Deployment,
  daemon: string,
): Promise<number> {
  const { lists } = await deployment.status(daemon);
  return lists.find(({ list }) => list === "plans")?.version ?? 0;
}

/** Applies the plans list again, as an operator would. */
async function applyPlans(deployment: Deployment): Promise<number> {
  const file = new URL("../examples/song_lam/plans.yaml", import.meta.url);
  const platform = ["--platform", deployment.platformAddress];
  const from = await plansVersion(deployment, TRUSTED);
  const words = ["apply", "plans", file.pathname, "--edited-from", `${from}`];
  const applied = await deployment.runCommandLine(...words, ...platform);
  expect(applied.code, applied.output).to.equal(0);
  return Number(/version=(\d+)/.exec(applied.output)?.[1]);
}

async function callOverTls(
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
  // Guards against plan lists exchanged with a daemon whose certificate another
  // authority signed, after a faulty roll-out or by an intruder: a forged list
  // would decide which callers are served.
  it("serves callers, and distributes lists to trusted peers only", async () => {
    using authority = await TestCertificateAuthority.create();
    using otherAuthority = await TestCertificateAuthority.create();
    const callers = await authority.sign("callers");
    const trustedFiles = await authority.sign("peers");
    const untrustedFiles = await otherAuthority.sign("peers");
    const trustedRoot = authority.pathOf("authority.pem");
    const untrustedRoot = otherAuthority.pathOf("authority.pem");
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
            daemon === UNTRUSTED
              ? { ...untrustedFiles, authority: untrustedRoot }
              : { ...trustedFiles, authority: trustedRoot },
        },
      }),
    });
    expect(readFileSync(trustedRoot, "utf8")).to.equal(authority.certificate);
    expect(await callOverTls(deployment, authority)).to.equal(200);

    for (const daemon of [UNTRUSTED, TRUSTED_PEER]) {
      deployment.link(`platform<${daemon}`).setMode(LinkMode.Cut);
    }
    const before = await plansVersion(deployment, UNTRUSTED);
    for (let edit = 0; edit < EDITS; edit++) {
      const version = await applyPlans(deployment);
      await waitFor("the list reaches the other trusted peer", async () => {
        return (await plansVersion(deployment, TRUSTED_PEER)) === version;
      });
    }
    expect(await plansVersion(deployment, UNTRUSTED)).to.equal(before);
  });
});
