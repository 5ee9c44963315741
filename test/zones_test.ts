/**
 * Zones and daemons cut from one another, from the platform and from both;
 * peers' connections that go silent; a daemon that dies and one that returns
 * under its address. Judged by what callers get and what the others see.
 */
import { expect } from "chai";
import { request } from "undici";
import { LinkMode } from "../src/stand_ins/fault_proxy/fault_proxy.ts";
import { wholeText } from "../src/stand_ins/engine_member/text.ts";
import { sendCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import { waitFor } from "./support/process_handle.ts";

const ZONES: readonly string[] = ["vn-north-a", "vn-north-b"];
const DAEMONS_PER_ZONE = 3;
const CUT_ZONE = "vn-north-a";

/** Probes a daemon makes in ten to thirty seconds. */
const PROBES_OBSERVED = 50;

interface IZoneStatus {
  readonly id: string;
  readonly live_daemons: readonly string[];
  readonly zones: readonly { readonly zone: string; readonly age: number }[];
  readonly domains: readonly { readonly holding: boolean }[];
}

describe("zones and connections", () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      example: "song_lam",
      zones: ZONES,
      daemonsPerZone: DAEMONS_PER_ZONE,
      enginesPerZone: 4,
      plainService: "delivery-api",
    });
    await waitForWholeViews();
  });

  after(() => deployment[Symbol.asyncDispose]());

  const daemonsOf = (zone: string) => deployment.processNames(`daemon-${zone}`);

  async function statusOf(daemon: string): Promise<IZoneStatus> {
    return (await deployment.status(daemon)) as unknown as IZoneStatus;
  }

  async function waitForLive(
    daemons: readonly string[],
    count: number,
  ): Promise<void> {
    for (const daemon of daemons) {
      await waitFor(`${daemon} sees ${count} live daemons`, async () => {
        const { live_daemons: live } = await statusOf(daemon);
        return live.length === count;
      });
    }
  }

  async function waitForWholeViews(): Promise<void> {
    await waitForLive(deployment.processNames("daemon-"), DAEMONS_PER_ZONE);
  }

  async function expectServed(daemons: readonly string[]): Promise<void> {
    for (const daemon of daemons) {
      const prompt = `through ${daemon}`;
      const reply = await sendCall({
        address: deployment.process(daemon).listeningField("callers"),
        credential: "editor-desk-secret",
        operation: "summarizer/headline",
        body: { prompt, maximum_tokens: 8 },
      });
      expect(reply.body, daemon).to.have.property("outcome", "completed");
      const text = wholeText(prompt, 8);
      expect(reply.body.answer).to.deep.equal({ text, tokens: 8 });
    }
  }

  function setMode(prefix: string, zone: string, mode: LinkMode): void {
    for (const daemon of daemonsOf(zone)) {
      deployment.link(`${prefix}${daemon}`).setMode(mode);
    }
  }

  const timed = async (what: string, wait: Promise<void>) => {
    const started = performance.now();
    await wait;
    const seconds = (performance.now() - started) / 1_000;
    process.stdout.write(`      ${what}: ${seconds.toFixed(1)} s\n`);
  };

  async function probesOf(daemon: string): Promise<number> {
    const address = deployment.process(daemon).listeningField("operations");
    const answer = await request(`http://${address}/metrics`);
    const text = await answer.body.text();
    return Number(/peer_calls_total\{call="probe"\} (\d+)/.exec(text)?.[1]);
  }

  const CUTS = [
    { name: "refuses connections", mode: LinkMode.Cut },
    { name: "is silent", mode: LinkMode.Silent },
    { name: "loses answers only", mode: LinkMode.DropAnswers },
  ];

  for (const { name, mode } of CUTS) {
    // The way from a zone to the platform fails, one way or both. Its lease
    // lapses, so nothing can be formed anew; but what is formed serves on, and
    // an editor in that zone notices nothing.
    it(`a zone whose way to the platform ${name} serves on`, async () => {
      setMode("platform<", CUT_ZONE, mode);
      await waitFor("the zone's lease lapses", async () => {
        const all = await Promise.all(daemonsOf(CUT_ZONE).map(statusOf));
        return all.every(({ domains }) => domains.every((d) => !d.holding));
      });
      await expectServed(deployment.processNames("daemon-"));
      setMode("platform<", CUT_ZONE, LinkMode.Pass);
      const held = waitFor("the zone's lease is held again", async () => {
        const all = await Promise.all(daemonsOf(CUT_ZONE).map(statusOf));
        return all.some(({ domains }) => domains.every((d) => d.holding));
      });
      await timed("lease held again after the cut", held);
    });

    // Nothing reaches a zone's daemons from their peers, in the zone or out of
    // it. Each is alone: it must poll every target itself, and serve.
    it(`daemons whose peers' way ${name} poll alone and serve`, async () => {
      setMode("peers>", CUT_ZONE, mode);
      const alone = waitForLive(daemonsOf(CUT_ZONE), 1);
      await timed("each alone after the cut", alone);
      await expectServed(deployment.processNames("daemon-"));
      setMode("peers>", CUT_ZONE, LinkMode.Pass);
      await timed("views whole after the cut", waitForWholeViews());
    });
  }

  // A zone loses platform and peers at once. What is in memory must do.
  it("a zone cut from the platform and from peers serves on", async () => {
    setMode("platform<", CUT_ZONE, LinkMode.Cut);
    setMode("peers>", CUT_ZONE, LinkMode.Cut);
    await waitForLive(daemonsOf(CUT_ZONE), 1);
    await expectServed(deployment.processNames("daemon-"));
    setMode("platform<", CUT_ZONE, LinkMode.Pass);
    setMode("peers>", CUT_ZONE, LinkMode.Pass);
    await timed("views whole after both cuts", waitForWholeViews());
  });

  // Something between a zone's daemons forgets their open connections, which stay
  // open and silent for good, while new ones work. Nobody may be taken for
  // dead by it: its duties would move, and move back.
  it("peers change silent connections for new ones", async () => {
    const daemons = daemonsOf(CUT_ZONE);
    const changes = () =>
      daemons.map(
        (daemon) =>
          deployment.process(daemon).output.split("event=members_changed")
            .length,
      );
    const before = changes();
    setMode("peers>", CUT_ZONE, LinkMode.SilentExisting);
    // Far more probes than a death takes to be known and logged.
    const probes = await probesOf(daemons[1]!);
    await waitFor("many probes", async () => {
      return (await probesOf(daemons[1]!)) >= probes + PROBES_OBSERVED;
    });
    await waitForWholeViews();
    expect(changes()).to.deep.equal(before);
  });

  // An instance dies without a word and is replaced at once under the same
  // address. The others must drop the old identity and take in the new.
  it("a dead daemon is dropped, and its successor taken in", async () => {
    const [first, second, dead] = daemonsOf(CUT_ZONE) as [
      string,
      string,
      string,
    ];
    const { id } = await statusOf(dead);
    deployment.process(dead).signal("SIGKILL");
    const known = waitForLive([first, second], DAEMONS_PER_ZONE - 1);
    await timed("death known in the zone", known);
    await expectServed([first, second]);
    await deployment.startDaemon(dead, CUT_ZONE);
    await timed("successor known in the zone", waitForWholeViews());
    const { live_daemons: live } = await statusOf(first);
    expect(live).not.to.include(id);
    expect(live).to.include((await statusOf(dead)).id);
  });
});
