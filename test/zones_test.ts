/**
 * Guards against refused calls and wrong membership views when zones or daemons
 * are cut from their peers, the platform or both, when peer connections go
 * silent, and when a daemon dies and another starts at its address. Checked by
 * callers' answers and the other daemons' views.
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

/** Number of probes that a daemon sends in ten to thirty seconds. */
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
    await waitForCompleteViews();
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

  async function waitForCompleteViews(): Promise<void> {
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

  const logDuration = async (what: string, wait: Promise<void>) => {
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
    // The path from a zone to the platform fails in one or both directions. Its
    // lease expires, so no group can be formed; existing ones must still serve.
    it(`a zone whose path to the platform ${name} keeps serving`, async () => {
      setMode("platform<", CUT_ZONE, mode);
      await waitFor("the zone's lease expires", async () => {
        const all = await Promise.all(daemonsOf(CUT_ZONE).map(statusOf));
        return all.every(({ domains }) => domains.every((d) => !d.holding));
      });
      await expectServed(deployment.processNames("daemon-"));
      setMode("platform<", CUT_ZONE, LinkMode.Pass);
      const leaseRegained = waitFor(
        "the zone's lease is held again",
        async () => {
          const all = await Promise.all(daemonsOf(CUT_ZONE).map(statusOf));
          return all.some(({ domains }) => domains.every((d) => d.holding));
        },
      );
      await logDuration("lease held again after the cut", leaseRegained);
    });

    // A zone's daemons receive nothing from peers in or outside the zone. Each
    // must poll every target itself, and serve.
    it(`daemons whose path from peers ${name} poll alone and serve`, async () => {
      setMode("peers>", CUT_ZONE, mode);
      const allAlone = waitForLive(daemonsOf(CUT_ZONE), 1);
      await logDuration("each daemon alone after the cut", allAlone);
      await expectServed(deployment.processNames("daemon-"));
      setMode("peers>", CUT_ZONE, LinkMode.Pass);
      await logDuration("views complete after the cut", waitForCompleteViews());
    });
  }

  // A zone loses platform and peers at once, and must serve from its memory.
  it("a zone cut from the platform and from peers keeps serving", async () => {
    setMode("platform<", CUT_ZONE, LinkMode.Cut);
    setMode("peers>", CUT_ZONE, LinkMode.Cut);
    await waitForLive(daemonsOf(CUT_ZONE), 1);
    await expectServed(deployment.processNames("daemon-"));
    setMode("platform<", CUT_ZONE, LinkMode.Pass);
    setMode("peers>", CUT_ZONE, LinkMode.Pass);
    await logDuration("views complete after both cuts", waitForCompleteViews());
  });

  // A device between a zone's daemons loses the state of open connections: they
  // stay silent forever, while new ones work. No daemon may be considered dead:
  // its duties would be reassigned, and then reassigned back.
  it("peers replace silent connections with new ones", async () => {
    const daemons = daemonsOf(CUT_ZONE);
    const changes = () =>
      daemons.map(
        (daemon) =>
          deployment.process(daemon).output.split("event=members_changed")
            .length,
      );
    const before = changes();
    setMode("peers>", CUT_ZONE, LinkMode.SilentExisting);
    // Many more probes than the detection and logging of a death take.
    const probes = await probesOf(daemons[1]!);
    await waitFor("many probes", async () => {
      return (await probesOf(daemons[1]!)) >= probes + PROBES_OBSERVED;
    });
    await waitForCompleteViews();
    expect(changes()).to.deep.equal(before);
  });

  // An instance is killed and replaced at once at the same address. The others
  // must remove the old identity and add the new one.
  it("a dead daemon is removed, and its successor added", async () => {
    const [first, second, dead] = daemonsOf(CUT_ZONE) as [
      string,
      string,
      string,
    ];
    const { id } = await statusOf(dead);
    deployment.process(dead).signal("SIGKILL");
    const deathKnown = waitForLive([first, second], DAEMONS_PER_ZONE - 1);
    await logDuration("death known in the zone", deathKnown);
    await expectServed([first, second]);
    await deployment.startDaemon(dead, CUT_ZONE);
    await logDuration("successor known in the zone", waitForCompleteViews());
    const { live_daemons: live } = await statusOf(first);
    expect(live).not.to.include(id);
    expect(live).to.include((await statusOf(dead)).id);
  });
});
